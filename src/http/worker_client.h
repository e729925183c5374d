// The worker side over HTTP, one call at a time on a connection: each attempt on a new one,
// withdrawals and probes, which may be repeated, on what those leave.
#pragma once

#include <map>
#include <unordered_map>

#include "http/client_server.h"

namespace dispatcher::http {

class WorkerClient final : public transport::ConnectionHandler, public routing::WorkerPort {
 public:
  struct Times {
    transport::Duration connect{1000};  // to come up
    transport::Duration idle{
        2000};  // a pooled connection is used no longer than this after its last call
    transport::Duration probe{2000};
    bool reports = false;  // probes ask for the load
  };
  WorkerClient(Platform on, Times times, std::optional<Streaming> streaming)
      : on_(on), times_(times), streaming_(std::move(streaming)) {}

  void attach(routing::Router& router) { router_ = &router; }
  void retime(Times times) { times_ = times; }
  void update(const protocol::EndpointUpdate&
                  list);  // where the workers are; before the scheduler hears of them
  // After it has: what still waits for a connection to a worker that this list has closed to it
  // ends here, as never sent.
  void recall();

  void submit(routing::AttemptRef attempt, const std::string& worker,
              std::shared_ptr<const routing::RequestPayload> cargo, scheduling::Time ends) override;
  void cancel(routing::AttemptRef attempt) override;
  void forget_attempt(routing::AttemptRef attempt) override;
  bool fully_sent(routing::AttemptRef attempt) const override;
  void check_health(const std::string& worker) override;
  bool is_accepted(routing::AttemptRef attempt) const override;
  void cancel_job(const std::string& worker,
                  const std::string& id);  // of an attempt that is not ours

  void on_connected(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  void on_written(transport::SlotRef connection) override;

 private:
  struct Idle {
    transport::SlotRef connection;
    transport::Deadlines::Handle retire;
  };
  struct Worker {
    std::string address;
    std::optional<scheduling::Time> online_since;
    bool gone = false;
    bool closed = false;       // closed: to what is on its way there, by the latest list
    std::size_t attempts = 0;  // active ones: they may still have to be cancelled there
    std::vector<Idle> idle;    // the latest used last
  };
  enum class Kind { Submit, Cancel, HealthCheck };
  struct Stream {                   // of bodies that pass through
    std::optional<Outflow> upload;  // until all of it has gone out
    std::optional<std::uint64_t> length;
    bool up = false;
    bool committed = false;
    bool sent = false;                       // sent: with its last byte
    std::shared_ptr<streaming::Pipe> reply;  // once its head has come
    protocol::BodyReader reader;             // of the reply
    Progress uploads;
    Progress replies;
    transport::Deadlines::Handle stall;
  };
  struct Call {
    Kind kind = Kind::Submit;
    std::string worker;
    std::optional<routing::AttemptRef>
        attempt;  // of a submit that has neither been taken nor ended
    std::optional<routing::AttemptRef> gives_up;  // of a withdrawal that has not been written yet
    std::string bytes;  // of a call on a used connection, to be made once more
    std::shared_ptr<const routing::RequestPayload>
        cargo;                // of a submit whose connection is not up yet...
    scheduling::Time ends{};  // ...and when nobody waits for it any more
    std::string last;         // of a submit, while it is held back: its last byte
    protocol::Parser parser{protocol::Parser::Kind::Response};
    std::unique_ptr<Stream> stream;
    std::shared_ptr<streaming::Pipe> reply;  // for one that passes through
    bool relayed = false;                    // written whole, and counted
    bool taken = false;
    bool keep = false;  // answered 202 before its upload was whole; to be kept then
    transport::Deadlines::Handle connect;
    transport::Deadlines::Handle commit;
    transport::Deadlines::Handle answer;
  };
  struct Active {  // an attempt that has not ended
    std::string worker;
    std::string id;
    std::optional<transport::SlotRef> connection;  // until the worker has taken it
    bool cancelled = false;  // it has, and is to be told that nobody waits any more
    transport::Deadlines::Handle again =
        {};  // of a withdrawal that has to wait, or to be written again
  };

  Stream upload_stream(const HttpRequestPayload& cargo);
  void begin_upload(transport::SlotRef connection);
  void pump_upload(transport::SlotRef connection);
  void commit_upload(transport::SlotRef connection, Stream& s);
  void finish_taken(transport::SlotRef connection);
  void begin_reply(transport::SlotRef connection, protocol::Message message);
  void reply_room(transport::SlotRef connection);
  void on_reply(transport::SlotRef connection, std::string_view bytes);
  void end_reply(transport::SlotRef connection);
  void break_reply(transport::SlotRef connection);
  void watch_stall(transport::SlotRef connection, Stream& s);
  void drop_stream(Call& call);
  bool call(Call call, std::string bytes);  // false: no connection is to be had
  void write_head(transport::SlotRef connection, Call& call);
  bool fully_sent(const Call& call) const;
  void give_up(routing::AttemptRef attempt);
  void hang_up(transport::SlotRef connection);  // on the call that is made there
  void send_cancellation(routing::AttemptRef attempt);
  void tell_again(routing::AttemptRef attempt);
  void given_up(Call& call);
  void commit(transport::SlotRef connection);
  void note_written(transport::SlotRef connection, Call& call);
  void on_message(transport::SlotRef connection, const protocol::Message& message);
  void end(transport::SlotRef connection, scheduling::Outcome outcome);  // the call came to nothing
  void report_end(const Call& call, scheduling::Outcome outcome,
                  const scheduling::LoadReport& report);
  void drop_call(transport::SlotRef connection);
  void keep_or_close(transport::SlotRef connection, const std::string& worker, bool keep);
  void take_from_pool(transport::SlotRef connection);
  void close_pool(Worker& worker);
  std::optional<Active> release(routing::AttemptRef attempt);

  Platform on_;
  Times times_;
  std::optional<Streaming> streaming_;
  routing::Router* router_ = nullptr;
  std::unordered_map<std::string, Worker> workers_;
  std::map<transport::SlotRef, Call> calls_;
  std::map<transport::SlotRef, std::string> pooled_;  // idle connections and whose they are
  std::map<routing::AttemptRef, Active> active_;
};

}  // namespace dispatcher::http

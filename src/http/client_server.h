// The client side over HTTP: what comes on the listening address. Clients hand in commands,
// workers call back, and the front asks whether the program is ready.
#pragma once

#include <deque>
#include <map>

#include "http/platform.h"
#include "http/streams.h"
#include "routing/router.h"

namespace dispatcher::http {

struct HttpRequestPayload final : routing::RequestPayload {
  explicit HttpRequestPayload(protocol::ClientRequest c) : command(std::move(c)) {}
  protocol::ClientRequest command;
  std::optional<std::uint64_t> length;  // of an upload that passes through; nothing: chunks
};

class ClientServer final : public transport::Acceptor, public routing::ClientPort {
 public:
  ClientServer(Platform on, std::optional<Streaming> streaming)
      : on_(on), on_streams_(std::move(streaming)) {}

  void attach(routing::Router& router) { router_ = &router; }
  void set_ready() { stage_ = std::max(stage_, Stage::Ready); }
  bool ready() const { return stage_ == Stage::Ready; }
  // Not ready any more; what comes is served all the same.
  void start_draining() { stage_ = std::max(stage_, Stage::Draining); }
  // Answers close their connections from now on, and each call closes those that are idle.
  void close_connections();
  // What comes from now on is refused: an answer to it could not come any more.
  void refuse_commands() { stage_ = Stage::Ending; }
  bool empty() const { return sessions_.empty(); }

  // The other process of this dispatcher, during an upgrade. Each connection goes there once it is
  // between two messages, with what has been read of the next; `used`: it has brought one before.
  using PassOn =
      std::function<void(transport::Descriptor connection, std::string unread, bool used)>;
  void pass_on(PassOn pass);  // null: no more
  bool passing() const { return pass_ != nullptr; }
  // The connection of an open command, for another process to answer on. Nothing: it cannot be
  // passed.
  struct ReleasedConnection {
    transport::Descriptor connection;
    std::string unread;
    bool keep_alive = true;
    bool old = false;
  };
  std::optional<ReleasedConnection> release_connection(routing::RequestRef command);
  void adopt(transport::SlotRef connection, std::string_view unread,
             bool used);  // one that came from there
  // The same while a command of it is open, which is answered by answer_adopted(); `left`: the
  // client went first.
  void adopt_request_connection(transport::SlotRef connection, const ReleasedConnection& as,
                                std::function<void()> left);
  void answer_adopted(transport::SlotRef connection, int status, std::string_view body);
  // Call-backs are offered here first; true: it was for a ward.
  void on_adopted_job_event(std::function<bool(const protocol::JobEvent&)> hear) {
    adopted_job_event_ = std::move(hear);
  }
  // A call-back for a job that is not known here; false: there is nobody to ask. `told` comes
  // later, with false where the other one is gone.
  using Forward = std::function<bool(std::string_view body, std::function<void(bool taken)> told)>;
  void forward_job_events(Forward forward) { forward_ = std::move(forward); }
  void cut_streams();  // the time is over: replies that are on their way end here

  void on_job_event(protocol::JobEvent news);  // a call-back, wherever it came
  void on_accepted(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  void on_written(transport::SlotRef connection) override;
  bool shed_idle() override;

  void served(routing::RequestRef command, routing::Reply reply) override;
  void reject(routing::RequestRef command, scheduling::Duration retry_after) override;
  void failed(routing::RequestRef command) override;

 private:
  struct Transfer {                           // of bodies that pass through
    std::shared_ptr<streaming::Pipe> upload;  // until the answer
    protocol::BodyReader reader;              // of the upload
    bool expects = false;
    bool ended = false;  // waits for "100 Continue"; the reply's end is sent
    std::optional<Outflow> reply;
    Progress uploads;
    Progress replies;
    transport::Deadlines::Handle stall;
  };
  struct Arrival {
    std::uint64_t upto = 0;
    transport::Time first{};
    transport::Time last{};
  };
  struct Session {
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::optional<routing::RequestRef>
        command;  // one at a time; what follows it waits in the parser
    std::unique_ptr<Transfer> transfer;
    bool keep_alive = true;
    bool held = false;
    bool old = false;                           // old: HTTP/1.0
    bool asks = false;                          // waits for the other process, or for a ward's end
    std::uint64_t fed = 0;                      // bytes given to the parser, ever...
    std::deque<Arrival> arrivals;               // ...and when those came that it has not used yet
    std::optional<transport::Time> held_since;  // what is read next has waited in the network
    std::function<void()> left;                 // of a ward
    std::uint64_t place = 0;                    // in fresh_ or idle_; 0: in neither
    transport::Deadlines::Handle slow;
    transport::Deadlines::Handle
        more;  // a message that does not come whole; one that waits its turn
  };
  using Order = std::map<std::uint64_t, transport::SlotRef>;  // longest there first

  enum class Stage { Starting, Ready, Draining, Closing, Ending };

  Session& begin(transport::SlotRef connection);
  void feed(Session& s, std::string_view bytes);
  transport::Time arrived(
      Session& s) const;  // of the last byte of the message just taken from the parser
  bool keeps(transport::SlotRef connection, const Session& s) const;
  void work(transport::SlotRef connection);
  void handle(transport::SlotRef connection, protocol::Message message);
  void take_command(transport::SlotRef connection, protocol::Message message);
  bool give_pipes(HttpRequestPayload& cargo, bool uploads);
  void stretch_patience(scheduling::Request& request) const;
  void begin_upload(transport::SlotRef connection, Session& s,
                    std::shared_ptr<streaming::Pipe> upload, std::string_view first, bool expects);
  void upload_room(transport::SlotRef connection);
  void on_upload(transport::SlotRef connection, Session& s, std::string_view bytes);
  void abort_upload(transport::SlotRef connection, int status, const std::string& why);
  void leave_upload(transport::SlotRef connection, Session& s);
  void begin_reply(transport::SlotRef connection, Session& s, routing::Reply reply);
  void pump_reply(transport::SlotRef connection);
  void end_reply(transport::SlotRef connection);
  void cut_reply(transport::SlotRef connection, const std::string& why);
  void watch_stall(transport::SlotRef connection, Transfer& t);
  void drop_transfer(transport::SlotRef connection, Session& s);
  void take_news(transport::SlotRef connection, const protocol::Message& message);
  void respond(transport::SlotRef connection, int status, const protocol::Headers& headers,
               std::string_view body);
  void answer(routing::RequestRef command, int status, const protocol::Headers& headers,
              std::string_view body);
  void respond_error(transport::SlotRef connection, int status, const std::string& why);
  void wait_for_whole(transport::SlotRef connection, Session& s, transport::Duration longest);
  void hold(transport::SlotRef connection, Session& s, bool held);
  void note_idle(transport::SlotRef connection, Session& s);
  void leave_orders(Session& s);
  bool shed_one(const Order& from, bool silent_only);
  void finish_all(Order from);
  void forget(transport::SlotRef connection);
  bool try_pass(transport::SlotRef connection);

  Platform on_;
  std::optional<Streaming> on_streams_;
  routing::Router* router_ = nullptr;
  Stage stage_ = Stage::Starting;
  std::map<transport::SlotRef, Session> sessions_;
  std::map<routing::RequestRef, transport::SlotRef>
      waiting_;  // commands and the connections they came on
  Order fresh_;  // have not brought a whole request yet
  Order idle_;   // have, and are between two
  std::uint64_t order_ = 0;
  PassOn pass_;
  Forward forward_;
  std::function<bool(const protocol::JobEvent&)> adopted_job_event_;
};

}  // namespace dispatcher::http

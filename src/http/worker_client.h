// The HTTP client for workers: submits attempts, cancels them and checks the workers' health.
//
// A connection carries one call at a time. Each attempt has a connection of its own; cancellations
// and health checks, which may be repeated, use the connections that other calls leave open.
//
// Parts of the class by file: worker_client.cpp (workers and attempts), worker_client_calls.cpp
// (calls and their connections), worker_client_streams.cpp (relayed bodies).
#pragma once

#include <map>
#include <unordered_map>

#include "http/client_server.h"
#include "http/idle_connections.h"

namespace dispatcher::http {

// Runs on the thread of the loop.
class WorkerClient final : public transport::ConnectionHandler, public routing::WorkerPort {
 public:
  struct Times {
    transport::Duration connect{1000};  // timeout for a connection to come up
    transport::Duration idle{2000};   // a connection is used again for so long after its last call
    transport::Duration probe{2000};  // timeout for health checks and cancellations
    bool reports = false;             // health checks ask for a load report
  };
  WorkerClient(Platform platform, Times times, std::optional<Streaming> streaming)
      : platform_(platform),
        times_(times),
        streaming_(std::move(streaming)),
        idle_(platform.network, platform.deadlines, platform.clock) {}

  void attach(routing::Router& router) { router_ = &router; }
  void set_times(Times times) { times_ = times; }
  // Where the workers are. To be called before the scheduler learns of the update.
  void update(const protocol::EndpointUpdate& update);
  // To be called after the scheduler has learned of the update: ends the attempts that still wait
  // for a connection to a worker that takes no new ones, as not sent.
  void recall();
  // Cancels a job that another process of this dispatcher submitted.
  void cancel_job(const std::string& worker, const std::string& id);

  // routing::WorkerPort
  void submit(routing::AttemptRef attempt, const std::string& worker,
              std::shared_ptr<const routing::RequestPayload> payload,
              scheduling::Time deadline) override;
  void cancel(routing::AttemptRef attempt) override;
  void cancel_and_confirm(routing::AttemptRef attempt) override;
  void forget_attempt(routing::AttemptRef attempt) override;
  bool fully_sent(routing::AttemptRef attempt) const override;
  void check_health(const std::string& worker) override;
  bool is_accepted(routing::AttemptRef attempt) const override;

  // transport::ConnectionHandler
  void on_connected(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  void on_written(transport::SlotRef connection) override;

 private:
  struct Worker {
    std::string address;
    std::optional<scheduling::Time> online_since;
    bool removed = false;          // by the latest update
    bool recalls_pending = false;  // by the latest update: takes no attempts that are not sent yet
    std::size_t attempts = 0;      // active ones, which may still have to be cancelled there
  };

  // Bodies that are relayed in one call.
  struct Transfer {
    std::optional<BodySender> upload;  // until all of it has been written
    bool connected = false;
    bool last_byte_allowed = false;
    bool upload_sent = false;                // with its last byte
    std::shared_ptr<streaming::Pipe> reply;  // from the head of the reply on
    protocol::BodyReader reply_reader;
    StallDetector upload_stall;
    StallDetector reply_stall;
    transport::Deadlines::Handle stall_check;
  };

  enum class CallKind { Submit, Cancel, HealthCheck };
  struct Call {
    Call(CallKind call_kind, std::string to_worker)
        : kind(call_kind), worker(std::move(to_worker)) {}

    CallKind kind;
    std::string worker;
    protocol::Parser parser{protocol::Parser::Kind::Response};
    transport::Deadlines::Handle connect_deadline;
    transport::Deadlines::Handle answer_deadline;

    // Of a health check or a cancellation on a connection that was used before: the call, to be
    // repeated on a new one.
    std::string repeatable_bytes;
    // Of a cancellation whose attempt has not ended yet.
    std::optional<routing::AttemptRef> cancelled_attempt;
    bool cancellation_written = false;

    // Of a submit, until it is accepted or has ended.
    std::optional<routing::AttemptRef> attempt;
    // Of a submit whose connection is not up yet, and when the client stops waiting.
    std::shared_ptr<const routing::RequestPayload> payload;
    scheduling::Time deadline{};
    std::string held_back_byte;  // the last one of a submit, until release_last_byte()
    transport::Deadlines::Handle last_byte_delay;
    std::unique_ptr<Transfer> transfer;
    std::shared_ptr<streaming::Pipe> reply;  // for a reply that is relayed
    std::size_t job_class = 0;
    bool counted_as_sent = false;  // in the metrics
    bool accepted_early = false;   // answered 202 before its upload was complete
    bool keep_connection = false;  // of a relayed body, for another call
  };

  struct ActiveAttempt {
    std::string worker;
    std::string id;
    std::optional<transport::SlotRef> connection;  // until the worker has accepted it
    bool cancelled = false;                        // the worker has to be informed
    bool awaits_confirmation = false;  // cancelled once accepted, and ends with the worker's answer
    transport::Deadlines::Handle next_cancellation = {};
  };

  // Workers and attempts
  void update_worker(const protocol::WorkerEndpoint& endpoint);
  void erase_removed_workers();
  std::optional<ActiveAttempt> remove_attempt(routing::AttemptRef attempt);
  void abandon_attempt(routing::AttemptRef attempt);
  void send_cancellation(routing::AttemptRef attempt);
  void schedule_cancellation(routing::AttemptRef attempt);
  void on_accepted(routing::AttemptRef attempt);
  void on_cancellation_written(Call& call);
  void on_cancellation_answered(Call& call, int status);
  void on_cancellation_failed(const Call& call);

  // Calls and their connections
  Call* find(transport::SlotRef connection);
  bool start_call(Call call, std::string bytes);  // false: no connection is available
  std::optional<transport::SlotRef> open_connection(const std::string& worker,
                                                    const std::string& address);
  transport::Deadlines::Handle end_call_after(transport::SlotRef connection,
                                              transport::Duration timeout,
                                              scheduling::Outcome outcome);
  void send_submit(transport::SlotRef connection, Call& call);
  void release_last_byte(transport::SlotRef connection);
  void schedule_last_byte(transport::SlotRef connection, Call& call, transport::Duration delay);
  bool fully_sent(const Call& call) const;
  void on_call_written(transport::SlotRef connection, Call& call);
  void on_answer(transport::SlotRef connection, const protocol::Message& message);
  void on_submit_answer(const Call& call, const protocol::Message& message);
  bool repeat_call(const Call& call);
  void end_call(transport::SlotRef connection, scheduling::Outcome outcome);
  void report_outcome(const Call& call, scheduling::Outcome outcome);
  void close_call(transport::SlotRef connection);
  void close_connection(transport::SlotRef connection, bool relays_body);
  void drop_call(transport::SlotRef connection);
  void reuse_or_close(transport::SlotRef connection, const std::string& worker, bool reusable);

  // Relayed bodies
  std::unique_ptr<Transfer> upload_transfer(const HttpRequestPayload& payload) const;
  void begin_upload(transport::SlotRef connection);
  void send_upload(transport::SlotRef connection);
  void finish_early_accepted(transport::SlotRef connection);
  void begin_reply(transport::SlotRef connection, const protocol::Message& head);
  void decline_reply(transport::SlotRef connection, std::optional<routing::AttemptRef> attempt);
  Transfer& begin_reply_transfer(transport::SlotRef connection, const protocol::Message& head);
  void grant_reply(transport::SlotRef connection);
  void on_reply_bytes(transport::SlotRef connection, std::string_view bytes);
  void end_reply(transport::SlotRef connection);
  void abort_reply(transport::SlotRef connection);
  void schedule_stall_check(transport::SlotRef connection, Transfer& transfer);
  void drop_transfer(Call& call);

  Platform platform_;
  Times times_;
  std::optional<Streaming> streaming_;
  routing::Router* router_ = nullptr;
  std::unordered_map<std::string, Worker> workers_;
  std::map<transport::SlotRef, Call> calls_;
  std::map<routing::AttemptRef, ActiveAttempt> attempts_;  // those that have not ended
  IdleConnections idle_;
};

}  // namespace dispatcher::http

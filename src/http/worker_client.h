// The HTTP client for workers: submits attempts, cancels them and checks the workers' health.
//
// A connection carries one call at a time. Each attempt opens a new connection; cancellations and
// health checks, which are safe to repeat, reuse connections that other calls have left open.
//
// Parts of the class by file: worker_client.cpp (workers and attempts), worker_client_calls.cpp
// (calls and their connections), worker_client_streams.cpp (relayed bodies).
#pragma once

#include <map>
#include <unordered_map>

#include "http/client_server.h"
#include "http/idle_connections.h"

namespace dispatcher::http {

// Runs on the event loop's thread.
class WorkerClient final : public transport::ConnectionHandler, public routing::WorkerPort {
 public:
  struct CallOptions {
    transport::Duration connection_timeout{1000};  // for a connection to be established
    transport::Duration idle_lifetime{2000};  // a connection may be reused this long after a call
    transport::Duration call_timeout{2000};   // for health checks and cancellations
    bool asks_load_reports = false;           // health checks ask for a load report
  };
  WorkerClient(Platform platform, CallOptions options, std::optional<Streaming> streaming)
      : platform_(platform),
        options_(options),
        streaming_(std::move(streaming)),
        idle_(platform.network, platform.deadlines, platform.clock) {}

  void attach(routing::Router& router) { router_ = &router; }
  void set_call_options(CallOptions options) {
    options_ = options;
    idle_.limit_lifetime(options.idle_lifetime);
  }
  // Updates the workers' addresses. Call before the scheduler receives the update.
  void update(const protocol::EndpointUpdate& update);
  // Call after the scheduler has received the update. Attempts that are still waiting for a
  // connection end as NotSent if their worker was replaced or no longer accepts new attempts.
  void recall_unsent_attempts();
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
    bool removed = false;         // by the latest update
    bool recall_pending = false;  // by the latest update: attempts not sent yet must be recalled
    std::size_t attempts = 0;     // active ones, which may still have to be cancelled
  };

  // State of the bodies relayed in one call.
  struct Transfer {
    std::optional<BodySender> upload;  // until all of it has been written
    bool connected = false;
    bool last_byte_allowed = false;
    bool upload_sent = false;                // including its last byte
    std::shared_ptr<streaming::Pipe> reply;  // set once the head of the reply has arrived
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

    // Bytes of a health check or cancellation on a reused connection, for repeating it on a new
    // one.
    std::string repeatable_bytes;
    // Set for a cancellation until its attempt has ended.
    std::optional<routing::AttemptRef> cancelled_attempt;
    bool cancellation_written = false;

    // Set for a submit until the attempt is accepted or has ended.
    std::optional<routing::AttemptRef> attempt;
    // Set for a submit until its connection is established.
    std::shared_ptr<const routing::RequestPayload> payload;
    scheduling::Time deadline{};  // of a submit: the client times out
    std::string held_back_byte;   // last byte of a submit, until release_last_byte()
    transport::Deadlines::Handle last_byte_delay;
    std::unique_ptr<Transfer> transfer;
    std::shared_ptr<streaming::Pipe> reply;  // receives the reply if it is relayed
    std::size_t job_class = 0;
    bool counted_as_sent = false;  // in the metrics
    bool accepted_early = false;   // answered 202 before its upload was complete
    bool keep_connection = false;  // reuse it after a relayed body
  };

  struct ActiveAttempt {
    std::string worker;
    std::string id;
    std::optional<transport::SlotRef> connection;  // until the worker has accepted it
    bool cancelled = false;                        // a cancellation must reach the worker
    bool awaits_confirmation = false;  // to be cancelled once accepted; the worker's answer ends it
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
  void permit_reply_reading(transport::SlotRef connection);
  void on_reply_bytes(transport::SlotRef connection, std::string_view bytes);
  void end_reply(transport::SlotRef connection);
  void abort_reply(transport::SlotRef connection);
  void schedule_stall_check(transport::SlotRef connection, Transfer& transfer);
  void drop_transfer(Call& call);

  Platform platform_;
  CallOptions options_;
  std::optional<Streaming> streaming_;
  routing::Router* router_ = nullptr;
  std::unordered_map<std::string, Worker> workers_;
  std::map<transport::SlotRef, Call> calls_;
  std::map<routing::AttemptRef, ActiveAttempt> attempts_;  // those that have not ended
  IdleConnections idle_;
};

}  // namespace dispatcher::http

// The HTTP server on the listening address: requests of clients, job events that workers report by
// call-backs, and the readiness check of the load balancer.
//
// Parts of the class by file: client_server.cpp (connections and responses),
// client_server_requests.cpp (message handlers), client_server_streams.cpp (relayed bodies),
// client_server_hot_restart.cpp (connections that are handed over between two processes).
#pragma once

#include <map>

#include "http/adopted_jobs.h"
#include "http/arrival_log.h"
#include "http/body_sender.h"
#include "http/platform.h"
#include "http/stall_detector.h"
#include "http/streams.h"
#include "routing/router.h"

namespace dispatcher::http {

struct HttpRequestPayload final : routing::RequestPayload {
  explicit HttpRequestPayload(protocol::ClientRequest parsed) : request(std::move(parsed)) {}
  protocol::ClientRequest request;
  std::optional<std::uint64_t> length;  // of a relayed upload, in bytes; nullopt: chunked
};

// Runs on the event loop's thread. A connection has at most one open request; pipelined requests
// wait in the parser.
class ClientServer final : public transport::Acceptor, public routing::ClientPort {
 public:
  ClientServer(Platform platform, std::optional<Streaming> streaming)
      : platform_(platform), streaming_(std::move(streaming)) {}

  void attach(routing::Router& router) { router_ = &router; }

  // ---- Life cycle ----
  void set_ready() { stage_ = std::max(stage_, Stage::Ready); }
  bool ready() const { return stage_ == Stage::Ready; }
  // The readiness check fails from now on; requests are still served.
  void start_draining() { stage_ = std::max(stage_, Stage::Draining); }
  // Each response closes its connection from now on; every call closes the idle connections.
  void close_connections();
  // Rejects new requests, as no answer to them could arrive before the process ends.
  void reject_requests() { stage_ = Stage::Ending; }
  // Aborts the replies that are still being relayed.
  void abort_replies();
  bool empty() const { return sessions_.empty(); }

  // ---- Hot restart ----
  // Hands a connection that is between two messages over to the other process of this dispatcher.
  // `unread`: input that has been read but not parsed; `used`: it has carried a message.
  using ConnectionHandover =
      std::function<void(transport::Descriptor connection, std::string unread, bool used)>;
  void set_connection_handover(ConnectionHandover handover);  // null: connections stay here
  bool hands_over_connections() const { return connection_handover_ != nullptr; }
  // The connection of an open request, on which another process will respond.
  struct ReleasedConnection {
    transport::Descriptor connection;
    std::string unread;
    bool keep_alive = true;
    bool uses_http_1_0 = false;
  };
  // Nullopt if the connection cannot be released now.
  std::optional<ReleasedConnection> release_connection(routing::RequestRef request);
  // The same for the connection of an adopted request.
  std::optional<ReleasedConnection> release_adopted_connection(transport::SlotRef connection);
  // Serves a connection that the other process has handed over.
  void adopt_connection(transport::SlotRef connection, std::string_view unread, bool used);
  // The same for a connection with an open request, which answer_adopted() answers.
  // `on_client_left` is called if the client closes the connection before that.
  void adopt_request_connection(transport::SlotRef connection, const ReleasedConnection& released,
                                std::function<void()> on_client_left);
  void answer_adopted(transport::SlotRef connection, int status, std::string_view body);
  // `adopted` receives the job events of its requests; it must outlive this object's last event.
  void set_adopted_jobs(AdoptedJobs& adopted) { adopted_jobs_ = &adopted; }
  // Whether this process answers the request's client, or has done so recently.
  bool knows(scheduling::RequestId id) const;
  // Forwards a job event for an unknown request to the other processes; returns false if there is
  // no other process. `done` is called later, with false if the worker must report the event again.
  using JobEventForwarder =
      std::function<bool(std::string_view body, std::function<void(bool accepted)> done)>;
  void set_job_event_forwarder(JobEventForwarder forwarder) {
    job_event_forwarder_ = std::move(forwarder);
  }

  // Handles a worker's job event for a request that this process knows, whichever process received
  // it.
  void on_job_event(protocol::JobEvent event);

  // transport::Acceptor
  void on_accepted(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  void on_written(transport::SlotRef connection) override;
  bool shed_idle() override;

  // routing::ClientPort
  void respond_with_reply(routing::RequestRef request, routing::Reply reply) override;
  void respond_with_rejection(routing::RequestRef request,
                              scheduling::Duration retry_after) override;
  void respond_with_failure(routing::RequestRef request) override;

 private:
  enum class Stage { Starting, Ready, Draining, Closing, Ending };

  // State of the bodies relayed for one request.
  struct Transfer {
    std::shared_ptr<streaming::Pipe> upload;  // until the response
    protocol::BodyReader upload_reader;
    bool awaits_continue = false;  // the client waits for "100 Continue"
    std::optional<BodySender> reply;
    bool reply_terminated = false;  // its last byte has been passed to the connection
    StallDetector upload_stall;
    StallDetector reply_stall;
    transport::Deadlines::Handle stall_check;
  };

  struct Session {
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::optional<routing::RequestRef> open_request;
    std::unique_ptr<Transfer> transfer;
    bool keep_alive = true;
    bool http_1_0 = false;
    bool awaits_other_process = false;     // after a forwarded job event, or for an adopted request
    std::function<void()> on_client_left;  // of an adopted request
    ArrivalLog arrivals;
    int messages_this_turn = 0;  // handled since input arrived or the session was resumed
    bool reading_paused = false;
    std::optional<transport::Time> paused_since;  // unread bytes may have arrived since then
    std::uint64_t sequence = 0;                   // key in without_request_ or idle_; 0: in neither
    transport::Deadlines::Handle request_deadline;  // for the rest of a message
    transport::Deadlines::Handle resume;            // continues with the next message

    // The next message has to wait until the current one is answered.
    bool is_busy() const { return open_request || transfer || awaits_other_process; }
  };
  using ConnectionsByAge = std::map<std::uint64_t, transport::SlotRef>;  // oldest first

  enum class ShedRule { AnyWithoutInput, OnlySilent };

  // Connections and responses
  Session* find(transport::SlotRef connection);
  Session& open_session(transport::SlotRef connection);
  void remove_session(transport::SlotRef connection);
  void feed_parser(Session& session, std::string_view bytes);
  void process_messages(transport::SlotRef connection);
  void wait_for_more(transport::SlotRef connection, Session& session);
  void schedule_resume(transport::SlotRef connection, Session& session);
  void schedule_request_deadline(transport::SlotRef connection, Session& session,
                                 transport::Duration limit);
  void pause_reading(transport::SlotRef connection, Session& session, bool paused);
  bool stays_open(transport::SlotRef connection, const Session& session) const;
  void respond(transport::SlotRef connection, int status, const protocol::Headers& headers,
               std::string_view body);
  void respond_error(transport::SlotRef connection, int status, const std::string& reason);
  void respond_to_request(routing::RequestRef request, int status, const protocol::Headers& headers,
                          std::string_view body);
  void mark_idle(transport::SlotRef connection, Session& session);
  void unmark_idle(Session& session);
  bool shed_oldest(const ConnectionsByAge& candidates, ShedRule rule);
  void finish_idle(ConnectionsByAge candidates);

  // Message handlers
  void handle_message(transport::SlotRef connection, protocol::Message message);
  void respond_readiness(transport::SlotRef connection);
  void handle_request(transport::SlotRef connection, protocol::Message message);
  void submit_request(transport::SlotRef connection, protocol::ClientRequest parsed,
                      const protocol::Message& message);
  void reject_unscheduled(transport::SlotRef connection, bool streamed, std::string_view reason);
  void handle_job_event(transport::SlotRef connection, const protocol::Message& message);
  bool forward_job_event(transport::SlotRef connection, const std::string& body);

  // Relayed bodies
  bool open_pipes(HttpRequestPayload& payload, bool has_upload);
  void split_timeout(scheduling::Request& request) const;
  void begin_upload(transport::SlotRef connection, Session& session,
                    std::shared_ptr<streaming::Pipe> upload, const protocol::Message& message);
  void permit_upload_reading(transport::SlotRef connection);
  void on_upload_bytes(transport::SlotRef connection, Session& session, std::string_view bytes);
  void abort_upload(transport::SlotRef connection, int status, const std::string& reason);
  void detach_upload(transport::SlotRef connection, Session& session);
  void begin_reply(transport::SlotRef connection, Session& session, routing::Reply reply);
  void send_reply(transport::SlotRef connection);
  void end_reply(transport::SlotRef connection);
  void abort_reply(transport::SlotRef connection, const std::string& reason);
  void schedule_stall_check(transport::SlotRef connection, Transfer& transfer);
  void drop_transfer(transport::SlotRef connection, Session& session);

  // Hot restart
  bool try_hand_over(transport::SlotRef connection);
  std::optional<ReleasedConnection> release_session(transport::SlotRef connection);

  Platform platform_;
  std::optional<Streaming> streaming_;
  routing::Router* router_ = nullptr;
  Stage stage_ = Stage::Starting;
  std::map<transport::SlotRef, Session> sessions_;
  std::map<routing::RequestRef, transport::SlotRef> connection_of_;  // of each open request
  ConnectionsByAge without_request_;  // no complete request received yet
  ConnectionsByAge idle_;             // between two requests
  std::uint64_t last_sequence_ = 0;
  ConnectionHandover connection_handover_;
  JobEventForwarder job_event_forwarder_;
  AdoptedJobs* adopted_jobs_ = nullptr;  // null: no hot restart
};

}  // namespace dispatcher::http

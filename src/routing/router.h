// Routes requests: turns events of the ports into calls of the scheduler, and the scheduler's
// actions into calls of the ports. The scheduler relies on these rules: each attempt that it sends
// ends exactly once, open attempts time out at the client's deadline, and the first success goes
// straight to the client.
//
// Single-threaded. An event that a port reports while another event is handled is queued.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "operations/metrics.h"
#include "routing/event_queue.h"
#include "routing/ports.h"
#include "routing/request_table.h"
#include "routing/request_trace.h"
#include "transport/deadlines.h"

namespace dispatcher::routing {

struct NewRequest {
  scheduling::Request request;
  std::shared_ptr<const RequestPayload> payload;
};

// What a worker reports of a job by a call of its own.
struct Progress {
  scheduling::RequestId id = 0;
  std::string worker;
  bool started = false;
  bool progress = false;  // neither of both: it has ended, as the fields below say
  scheduling::Outcome outcome = scheduling::Outcome::Failure;
  scheduling::LoadReport report;
  std::string result;
};

class Router {
 public:
  struct Ports {
    ClientPort& clients;
    WorkerPort& workers;
    DiscoveryPort& discovery;
    GossipPort* gossip = nullptr;  // null: no gossip
  };
  using Log = std::function<void(const std::string&)>;

  enum class AdmissionResult {
    Admitted,
    TableFull,  // too many requests are open
    Duplicate   // a request with this id is open, or ended recently
  };

  // What another process needs to go on with a request.
  struct ReleasableRequest {
    scheduling::RequestId id = 0;
    std::size_t job_class = 0;
    transport::Time ends{};            // the client times out
    std::vector<std::string> workers;  // that have accepted it
  };

  // The references must outlive the router.
  Router(scheduling::Settings settings, std::size_t max_requests, const transport::Clock& clock,
         transport::Deadlines& deadlines, Ports ports, operations::Metrics& metrics, Log log);

  // Call before start().
  void attach_gossip(GossipPort& peers) { ports_.gossip = &peers; }
  // A trace line for each event of a request; call before start().
  void trace(Log sink) { trace_.write_to(std::move(sink)); }

  // Starts the scheduler with the cached endpoint list.
  void start(const std::vector<scheduling::WorkerEntry>& known);
  // For the requests to come.
  void apply_settings(const scheduling::Settings& settings);

  // `on_admitted` receives the request's reference before anything is decided, as the answer may
  // come inside this call.
  AdmissionResult admit(NewRequest request, const std::function<void(RequestRef)>& on_admitted);
  void client_gone(RequestRef request);
  void attempt_ended(AttemptRef attempt, scheduling::Outcome outcome,
                     const scheduling::LoadReport& report, Reply reply = {});
  // The worker has confirmed the cancellation of an attempt: it does not run it any more.
  void attempt_stopped(AttemptRef attempt);
  void progress(Progress event);
  // A reply that passes through broke off at its worker after its head.
  void reply_broken(const std::string& worker, std::size_t job_class);
  void health_check_ended(const std::string& worker, scheduling::Outcome outcome,
                          const scheduling::LoadReport& report);
  void on_endpoint_update(scheduling::EndpointUpdateKind kind,
                          const std::vector<scheduling::WorkerEntry>& entries);
  void on_load_gossip(const std::string& worker, int jobs);

  // ---- Hot restart ----

  // Requests that the other process of this dispatcher holds or held recently: they are duplicates
  // here.
  void add_external_ids(const std::vector<scheduling::RequestId>& ids) {
    table_.add_external_ids(ids);
  }
  bool knows(scheduling::RequestId id) const { return table_.knows(id); }
  // Of requests that are open here, or ended recently.
  std::vector<scheduling::RequestId> known_ids() const { return table_.known_ids(); }
  std::vector<RequestRef> open_refs() const { return table_.unanswered(); }
  // Nothing: the request is over, or no worker has accepted its job, or an attempt is not accepted
  // yet, or a body passes through.
  std::optional<ReleasableRequest> releasable(RequestRef request) const;
  // Another process goes on with the request: workers and client hear nothing from here.
  void release(RequestRef request);
  void on_request_accepted(std::function<void(scheduling::RequestId)> callback) {
    on_request_accepted_ = std::move(callback);
  }

  // Answers all open requests now, as the program is about to end.
  void fail_all();

  std::size_t open_requests() const { return table_.unanswered_count(); }
  bool avoids(const std::string& worker) const { return scheduler_ && scheduler_->avoids(worker); }
  // Counts a request that was rejected before it reached the router.
  void count_rejected(std::size_t job_class) { ++metrics_.of(job_class).throttled; }

 private:
  using Actions = std::vector<scheduling::Action>;

  // Calls the scheduler and carries out the actions that it returns.
  template <class Call>
  void run_scheduler(Call call) {
    Actions actions;
    call(*scheduler_, actions);
    for (const scheduling::Action& action : actions)
      carry_out(action);
  }
  void carry_out(const scheduling::Action& action);
  void set_timer(transport::Time at);

  // Answers. Each request gets exactly one.
  void answer(const scheduling::Action& action);
  void reject(RequestRef ref, const OpenRequest& request, scheduling::Duration retry_after);
  void fail(RequestRef ref, const OpenRequest& request);
  void fail_or_reject(RequestRef ref, const OpenRequest& request);
  void drop_client(RequestRef ref);
  bool may_have_run(RequestRef ref, const OpenRequest& request) const;
  void close_if_answered(RequestRef ref);

  // The life cycle of an attempt (router_attempts.cpp).
  void send(const scheduling::Action& action);
  bool may_send(const OpenRequest& request) const;
  void cancel(const scheduling::Action& action);
  SubmitProgress submit_progress(AttemptRef ref) const;
  void on_job_event(Progress event);
  // Who reports the end of an attempt.
  enum class EndSource { Connection, Worker };
  void on_job_end(AttemptRef ref, const OpenRequest& request, Progress event);
  // Whether the event may be of an earlier attempt while this one runs.
  bool is_ambiguous_end(const Progress& event, const OpenRequest& request, AttemptRef ref) const;
  void end_attempt(AttemptRef ref, scheduling::Outcome outcome,
                   const scheduling::LoadReport& report, Reply reply,
                   EndSource source = EndSource::Connection);
  void answer_served(RequestRef ref, OpenRequest& request, Reply reply);
  void answer_unrepeatable(RequestRef ref, OpenRequest& request, scheduling::Outcome outcome);
  void report_attempt_end(const scheduling::AttemptEnd& end);
  void report_not_sent(scheduling::RequestId id, int attempt, bool final,
                       const std::string& worker);
  void forget_open_attempts(RequestRef ref, OpenRequest& request);
  void on_deadline(RequestRef ref);
  void end_overdue_attempts(RequestRef ref);
  void end_overdue_attempt(AttemptRef ref, const OpenRequest& request);
  void answer_overdue(RequestRef ref);
  void count_attempts(const std::string& worker, int change);

  scheduling::Settings settings_;
  const transport::Clock& clock_;
  transport::Deadlines& deadlines_;
  Ports ports_;
  operations::Metrics& metrics_;
  Log log_;
  RequestTrace trace_;
  RequestTable table_;
  EventQueue events_;
  std::optional<scheduling::Scheduler> scheduler_;
  std::function<void(scheduling::RequestId)> on_request_accepted_;
  std::unordered_map<std::string, int> open_attempts_;  // by worker
};

}  // namespace dispatcher::routing

// Routes requests: translates events from the ports into calls to the scheduler, and the
// scheduler's actions into calls to the ports. The scheduler relies on these guarantees: each
// attempt that it sends ends exactly once, open attempts time out at the client's deadline, and the
// first success is forwarded to the client immediately.
//
// Single-threaded. Events that ports report while another event is being handled are queued.
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

// A job event that a worker has sent in a separate call.
struct WorkerJobEvent {
  scheduling::RequestId id = 0;
  std::string worker;
  bool started = false;
  bool progress = false;  // if neither is set, the job has ended; the fields below describe how
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
    Duplicate   // a request with this id is open or ended recently
  };

  // What another process needs to take over a request.
  struct ReleasableRequest {
    scheduling::RequestId id = 0;
    std::size_t job_class = 0;
    transport::Time expires_at{};      // when the client times out
    std::vector<std::string> workers;  // those that have accepted the request
  };

  // The references must outlive the router.
  Router(scheduling::Settings settings, std::size_t max_requests, const transport::Clock& clock,
         transport::Deadlines& deadlines, Ports ports, operations::Metrics& metrics, Log log);

  // Call before start().
  void attach_gossip(GossipPort& peers) { ports_.gossip = &peers; }
  // Writes a trace line for each event of a request. Call before start().
  void set_trace_sink(Log sink) { trace_.set_sink(std::move(sink)); }

  // Starts the scheduler with the cached endpoint list.
  void start(const std::vector<scheduling::WorkerEntry>& cached_workers);
  // Applies to future requests.
  void apply_settings(const scheduling::Settings& settings);
  // Limit of open requests. Those that are open already stay.
  void set_max_requests(std::size_t max_requests) { table_.set_max_requests(max_requests); }

  // Calls `on_admitted` with the request's reference before the scheduler decides anything, because
  // the request may be answered before this call returns.
  AdmissionResult admit(NewRequest request, const std::function<void(RequestRef)>& on_admitted);
  void client_disconnected(RequestRef request);
  void attempt_ended(AttemptRef attempt, scheduling::Outcome outcome,
                     const scheduling::LoadReport& report, Reply reply = {});
  // The worker has confirmed the cancellation of an attempt: the job no longer runs.
  void cancellation_confirmed(AttemptRef attempt);
  void job_event_reported(WorkerJobEvent event);
  // The worker broke off a streamed reply after its head.
  void reply_broken(const std::string& worker, std::size_t job_class);
  void health_check_ended(const std::string& worker, scheduling::Outcome outcome,
                          const scheduling::LoadReport& report);
  void on_endpoint_update(scheduling::EndpointUpdateKind kind,
                          const std::vector<scheduling::WorkerEntry>& entries);
  void on_load_gossip(const std::string& worker, int jobs);

  // ---- Hot restart ----

  // Requests that are open at another process or ended there recently; here they are rejected as
  // duplicates.
  void add_external_ids(const std::vector<scheduling::RequestId>& ids) {
    table_.add_external_ids(ids);
  }
  // Whether the request is open here or ended here recently. False for one that was released.
  bool knows(scheduling::RequestId id) const { return table_.knows(id); }
  // Ids of the requests that are open or ended recently, here or at an earlier process. The newest
  // ones are last.
  std::vector<scheduling::RequestId> known_ids() const { return table_.known_ids(); }
  std::vector<RequestRef> open_refs() const { return table_.unanswered(); }
  // Returns nullopt if the request is answered, has no open attempt, has an open attempt that its
  // worker has not accepted yet, or has a streamed body.
  std::optional<ReleasableRequest> releasable(RequestRef request) const;
  // Another process takes over the request: nothing more is sent to its workers or its client.
  void release(RequestRef request);
  void on_request_accepted(std::function<void(scheduling::RequestId)> callback) {
    on_request_accepted_ = std::move(callback);
  }

  // Answers all open requests immediately, before the process exits.
  void fail_all();

  std::size_t open_requests() const { return table_.unanswered_count(); }
  bool avoids(const std::string& worker) const { return scheduler_ && scheduler_->avoids(worker); }
  // Call for a request that is rejected before it reaches the router.
  void count_rejected(std::size_t job_class) { ++metrics_.for_class(job_class).throttled; }

 private:
  using Actions = std::vector<scheduling::Action>;

  // Calls the scheduler and executes the actions that it returns.
  template <class Call>
  void run_scheduler(Call call) {
    Actions actions;
    call(*scheduler_, actions);
    for (const scheduling::Action& action : actions)
      carry_out(action);
  }
  void carry_out(const scheduling::Action& action);
  void set_timer(transport::Time at);

  // Answers: each request gets exactly one.
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
  void on_job_event(WorkerJobEvent event);
  // Where the end of an attempt was reported.
  enum class EndSource { Connection, Worker };
  void on_job_end(AttemptRef ref, const OpenRequest& request, WorkerJobEvent event);
  // Whether the event may belong to an earlier attempt while this one still runs.
  bool is_ambiguous_end(const WorkerJobEvent& event, const OpenRequest& request,
                        AttemptRef ref) const;
  void end_attempt(AttemptRef ref, scheduling::Outcome outcome,
                   const scheduling::LoadReport& report, Reply reply,
                   EndSource source = EndSource::Connection);
  void answer_served(RequestRef ref, OpenRequest& request, Reply reply);
  void answer_without_retry(RequestRef ref, OpenRequest& request, scheduling::Outcome outcome);
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

// Monitors open attempts: handles job events and ends, detects slow or silent attempts, hedges.
#pragma once

#include "dispatcher/scheduling/types.h"
#include "scheduling/attempt_recorder.h"
#include "scheduling/candidate_selector.h"
#include "scheduling/load_estimator.h"
#include "scheduling/outlier_ejection.h"
#include "scheduling/request_lifecycle.h"
#include "scheduling/request_state.h"
#include "scheduling/retry_budget.h"
#include "scheduling/slow_start.h"
#include "scheduling/timer_queue.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// A hedge is sent, where the idempotency rules allow it, when an attempt is slow and another worker
// can still be in time. A request has at most two attempts open at a time. In a sampled fleet it
// gets two in total: if neither of them starts, queues are long everywhere, and cancelled attempts
// may keep running.
//
// Where late answers have no value, a request is abandoned when its attempts still wait in workers'
// queues and would end too late even if started now, so that the requests behind them move up. This
// cannot be told without a cost hint.
class AttemptMonitor {
 public:
  // All references must outlive the monitor.
  AttemptMonitor(const Settings& settings, TimerQueue& timers, RequestTable& requests,
                 WorkerRegistry& registry, RetryBudget& budget, const SlowStart& slow_start,
                 LoadEstimator& load, OutlierEjection& ejection, CandidateSelector& selector,
                 AttemptRecorder& recorder, RequestLifecycle& lifecycle)
      : settings_(settings),
        timers_(timers),
        requests_(requests),
        registry_(registry),
        budget_(budget),
        slow_start_(slow_start),
        load_(load),
        ejection_(ejection),
        selector_(selector),
        recorder_(recorder),
        lifecycle_(lifecycle) {}

  void on_job_event(Time now, RequestId id, int attempt, std::string_view worker,
                    JobEventKind kind);
  void on_ambiguous_end(Time now, RequestId id, int attempt);
  void on_attempt_end(Time now, const AttemptEnd& end);
  // May end the request and invalidate `state`.
  void on_timer(RequestState& state, Time now);

 private:
  struct Findings {
    bool slow = false;    // an attempt is waiting, silent or overdue
    bool urgent = false;  // a hedge is worthwhile even if it has to queue
    Duration next_inspection;
  };

  void on_started(Worker& worker, OutstandingAttempt& outstanding, const RequestState* state,
                  Time now);
  void end_attempt(RequestState& state, const AttemptEnd& end);
  Findings inspect(const RequestState& state, Time now);
  void inspect_attempt(const RequestState& state, Worker& worker,
                       const OutstandingAttempt& outstanding, Time now, Findings& findings);
  bool cannot_meet_objective(const RequestState& state, Time now) const;
  void hedge(RequestState& state, bool urgent, Time now);

  const Settings& settings_;
  TimerQueue& timers_;
  RequestTable& requests_;
  WorkerRegistry& registry_;
  RetryBudget& budget_;
  const SlowStart& slow_start_;
  LoadEstimator& load_;
  OutlierEjection& ejection_;
  CandidateSelector& selector_;
  AttemptRecorder& recorder_;
  RequestLifecycle& lifecycle_;
};

}  // namespace dispatcher::scheduling

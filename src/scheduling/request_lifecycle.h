// Drives a request from its arrival through the pending queue and its attempts to its answer.
#pragma once

#include "dispatcher/scheduling/types.h"
#include "scheduling/action_sink.h"
#include "scheduling/attempt_recorder.h"
#include "scheduling/candidate_selector.h"
#include "scheduling/load_estimator.h"
#include "scheduling/outlier_ejection.h"
#include "scheduling/pending_queue.h"
#include "scheduling/pre_dispatch_check.h"
#include "scheduling/request_state.h"
#include "scheduling/retry_budget.h"
#include "scheduling/slow_start.h"
#include "scheduling/timer_queue.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// A request that no worker can start soon stays pending until a worker has room. A pending request
// that can no longer meet its latency objective is rejected early: in an overload it would take the
// slot of another dispatcher's request and make that one late too. It stays pending only if late
// answers have a value and the fleet is not full.
class RequestLifecycle {
 public:
  // All references must outlive this object.
  RequestLifecycle(const Settings& settings, ActionSink& actions, TimerQueue& timers,
                   RequestTable& requests, const WorkerRegistry& registry, RetryBudget& budget,
                   const SlowStart& slow_start, const LoadEstimator& load,
                   OutlierEjection& ejection, CandidateSelector& selector, PreDispatchCheck& check,
                   AttemptRecorder& recorder)
      : settings_(settings),
        actions_(actions),
        timers_(timers),
        requests_(requests),
        registry_(registry),
        budget_(budget),
        slow_start_(slow_start),
        load_(load),
        ejection_(ejection),
        selector_(selector),
        check_(check),
        recorder_(recorder),
        pending_(settings) {}

  // Starts pre-dispatch checks, dispatches or enqueues a request that is not placed yet.
  void check_or_dispatch(RequestState& state, Time now);
  // For a request without open attempts whose client still waits: retries if the idempotency rules
  // allow it, else answers.
  void retry_or_answer(RequestState& state, Time now);
  // The worker has reported an end that may be of this open attempt. Cancels the attempt if a retry
  // could follow; else leaves it open, as it may still succeed.
  void cancel_for_retry(const RequestState& state, int attempt, Time now);
  void send(RequestState& state, Worker& worker, Time now);

  // Capacity may have become free on any worker: dispatches the first pending requests.
  void dispatch_pending(Time now);
  // Capacity may have become free at this worker.
  void dispatch_pending_to(const Worker& worker, Time now);

  // A worker has answered a health check. Requests that wait for this check are sent to the worker
  // if it is `usable` and has room; otherwise they wait for their other checks.
  void on_health_check_answer(Worker& worker, bool usable, Time now);
  // All pre-dispatch checks of the request were answered or have timed out.
  void on_checks_finished(RequestState& state, Time now);
  void on_objective_deadline(RequestState& state, Time now);
  void on_pending_sweep(Time now);

  // answer(), finish() and forget() end the request and invalidate `state`.
  void answer(RequestState& state);
  void finish(RequestState& state, ActionKind answer);
  void forget(RequestState& state);

  enum class CancelScope { AllOpen, NotStarted };
  void cancel_attempts(const RequestState& state, CancelScope scope);

 private:
  // Whether the idempotency rules allow another attempt at any worker.
  bool may_retry(const RequestState& state, Time now) const;
  // Runs the pre-dispatch checks; false if the request remains to be dispatched.
  bool check(RequestState& state, Time now);
  // Chooses a worker and sends; false if none can start the request soon or the retry budget does
  // not allow another attempt.
  bool dispatch(RequestState& state, Time now);
  void dispatch_or_enqueue(RequestState& state, Time now);
  void enqueue(RequestState& state, Time now);
  // Marks those of the first pending requests for which all workers are unavailable.
  void find_requests_without_workers(Time now);

  const Settings& settings_;
  ActionSink& actions_;
  TimerQueue& timers_;
  RequestTable& requests_;
  const WorkerRegistry& registry_;
  RetryBudget& budget_;
  const SlowStart& slow_start_;
  const LoadEstimator& load_;
  OutlierEjection& ejection_;
  CandidateSelector& selector_;
  PreDispatchCheck& check_;
  AttemptRecorder& recorder_;
  PendingQueue pending_;
  bool sweep_scheduled_ = false;
};

}  // namespace dispatcher::scheduling

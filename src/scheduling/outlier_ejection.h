// Scores the health of workers from symptoms, ejects outliers and probes them for recovery.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "dispatcher/scheduling/types.h"
#include "scheduling/action_sink.h"
#include "scheduling/request_state.h"
#include "scheduling/slow_start.h"
#include "scheduling/timer_queue.h"
#include "scheduling/worker.h"

namespace dispatcher::scheduling {

// Failure score: symptoms raise a worker's score, and a sign of life removes most of it. From
// kSuspectScore on, the worker is suspect and gets no non-idempotent requests. From kEjectionScore
// on, it is ejected and gets only recovery probes. A score below kEjectionScore decays with time,
// but an ejected worker stays ejected until it shows a sign of life. If health checks are not
// allowed, an idempotent request serves as the recovery probe.
//
// Class ejection: a worker that fails a request of a class gets no more requests of that class for
// a while; it may still get other classes. The time grows with each failure until the worker serves
// a request of the class. A single failure after several successes is tolerated. The rule is too
// strict where errors are frequent on all workers.
//
// All workers unavailable: if the health rules exclude every worker that could run a pending
// request, the workers are probably not the cause, and waiting helps nobody. In this case ejected
// workers are checked without delay, and workers that are suspect or ejected for the class get one
// request at a time. This does not apply if only one worker could run the request.
//
// Error rate: a worker that fails requests quickly looks idle and would attract more of them. A
// worker that reports far more errors than the others, relative to the number of requests that it
// could serve, gets no requests for a while.
class OutlierEjection {
 public:
  // All references must outlive this object.
  OutlierEjection(const Settings& settings, ActionSink& actions, TimerQueue& timers,
                  const SlowStart& slow_start)
      : settings_(settings), actions_(actions), timers_(timers), slow_start_(slow_start) {}

  bool ejected(const Worker& worker, Time now) const {
    return failure_score(worker, now) >= kEjectionScore;
  }
  bool accepts(const Worker& worker, const RequestState& state, Time now) const {
    const double score = failure_score(worker, now);
    if (now < worker.backoff_until || state.failure_deferred_at(worker))
      return false;
    if (ejected_for_class(worker, state.request.job_class, now) &&
        !(state.all_workers_unavailable && class_trial_due(worker, state.request.job_class, now)))
      return false;
    const bool allowed =
        repeatable(state) || (state.all_workers_unavailable && worker.outstanding.empty());
    if (score >= kEjectionScore) {
      return !settings_.health_checks_allowed && now >= worker.recovery_probe_at &&
             worker.outstanding.empty() && allowed;
    }
    return score < kSuspectScore || allowed;
  }
  // Whether the worker may not get such requests because of its health, whatever its load.
  bool unavailable_for(const Worker& worker, const RequestState& state, Time now) const {
    const double score = failure_score(worker, now);
    return score >= kEjectionScore || (score >= kSuspectScore && !repeatable(state)) ||
           ejected_for_class(worker, state.request.job_class, now);
  }

  // Starts a health check, unless one is open at the worker.
  void check_health(Worker& worker, Time now);
  // Called once per request where load reports come only with health checks: checks the worker with
  // the oldest report.
  void check_oldest_report(const std::vector<Worker*>& workers, Time now);
  void probe_ejected(const std::vector<Worker*>& workers, Time now);
  // While requests wait with all workers unavailable: checks a few of the ejected workers, those
  // with the oldest check first.
  void probe_urgently(const std::vector<Worker*>& workers, Time now);
  void on_send(Worker& worker, std::size_t job_class, Time now);
  void schedule_recovery_probe(Worker& worker, Time now);

  void on_alive(Worker& worker, Time now);
  void on_attempt_end(Worker& worker, std::size_t job_class, Outcome outcome, Time now);
  // Undoes the last success, which was counted when the head of the reply arrived; the reply then
  // broke off.
  void on_reply_broken(Worker& worker, std::size_t job_class, Time now);
  // The worker is full. It gets no requests until a slot may be free; the wait grows with each
  // rejection.
  void on_rejected(Worker& worker, Duration slot_release_interval, Time now);
  void on_attempt_started(Worker& worker) { worker.rejection_backoff = Duration(0); }
  void on_attempt_slow(Worker& worker, bool silent, Time now);
  void on_health_check_failed(Worker& worker, Outcome outcome, Time now);
  // `slot_release_interval` (see LoadEstimator) is a measure of what the worker could serve.
  void on_error_rate(Worker& worker, double errors_per_s, Duration slot_release_interval, Time now);

 private:
  static constexpr double kSuspectScore = 0.5;
  static constexpr double kEjectionScore = 1.0;
  static constexpr Duration kScoreHalfLife = std::chrono::seconds(5);

  static double failure_score(const Worker& worker, Time now) {
    if (worker.failure_score <= 0)
      return 0;
    if (worker.failure_score >= kEjectionScore)
      return worker.failure_score;
    return worker.failure_score / (1 + (now - worker.failure_score_at) / kScoreHalfLife);
  }
  static bool ejected_for_class(const Worker& worker, std::size_t job_class, Time now) {
    const auto found = worker.class_ejections.find(job_class);
    return found != worker.class_ejections.end() && now < found->second.until;
  }
  static bool class_trial_due(const Worker& worker, std::size_t job_class, Time now) {
    return now >= worker.class_ejections.at(job_class).next_trial;
  }
  static bool repeatable(const RequestState& state) {
    return state.class_settings.idempotency != Idempotency::NonIdempotent;
  }
  static void record_class_failure(ClassEjection& ejection, Time now);
  void add_failure(Worker& worker, double score, std::string_view symptom, double maximum,
                   Time now);

  const Settings& settings_;
  ActionSink& actions_;
  TimerQueue& timers_;
  const SlowStart& slow_start_;
  double mean_error_fraction_ = 0;  // errors relative to what a worker could serve
};

}  // namespace dispatcher::scheduling

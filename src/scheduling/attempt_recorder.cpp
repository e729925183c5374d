#include "scheduling/attempt_recorder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

constexpr double kSpeedSampleDecay = 0.85;  // applied to the older samples with each new one
constexpr double kMinSpeed = 0.01;
constexpr double kWarmSpeedFraction = 0.8;  // of the known speed; a faster worker is warm

void remove_outstanding(Worker& worker, const OutstandingAttempt& attempt) {
  worker.own_work -= attempt.work_ms * attempt.slots;
  worker.own_slots -= attempt.slots;
  worker.own_memory -= attempt.memory;
  if (attempt.started_at)
    worker.started_slots -= attempt.slots;
  worker.outstanding.erase(worker.outstanding.begin() + (&attempt - worker.outstanding.data()));
  if (!worker.outstanding.empty())
    return;
  // Clears accumulated rounding errors.
  worker.own_work = 0;
  worker.own_slots = 0;
  worker.own_memory = 0;
  worker.started_slots = 0;
}

bool failed_at_another_worker(const RequestState& state, const Worker& worker) {
  return std::ranges::any_of(state.attempts, [&worker](const Attempt& attempt) {
    return attempt.failed() && attempt.worker != &worker;
  });
}

}  // namespace

OutstandingAttempt* find_outstanding(Worker& worker, RequestId id, int attempt) {
  const auto found =
      std::ranges::find_if(worker.outstanding, [&](const OutstandingAttempt& outstanding) {
        return outstanding.id == id && outstanding.attempt == attempt;
      });
  return found == worker.outstanding.end() ? nullptr : &*found;
}

void AttemptRecorder::open(Worker& worker, const RequestState& state, Time now) {
  const Request& request = state.request;
  worker.outstanding.push_back({.id = request.id,
                                .attempt = static_cast<int>(state.attempts.size()),
                                .job_class = request.job_class,
                                .work_ms = state.work_ms,
                                .slots = request.slots,
                                .memory = request.memory,
                                .sent_at = now,
                                .started_at = {},
                                .last_heard = now});
  worker.own_work += state.slot_work();
  worker.own_slots += request.slots;
  worker.own_memory += request.memory;
  slow_start_.on_send(worker, state, registry_.mean_speed(), now);
}

void AttemptRecorder::close(Worker& worker, const AttemptEnd& end, Time now) {
  const OutstandingAttempt* attempt = find_outstanding(worker, end.id, end.attempt);
  if (!attempt)
    return;
  if (end.outcome == Outcome::Success)
    learn_from_success(worker, *attempt, now);
  record_outcome(worker, attempt->job_class, end, now);
  if (end.outcome == Outcome::Rejected)
    on_rejected(worker, *attempt, now);
  load_.record_peak(worker, now);
  remove_outstanding(worker, *attempt);
  on_report(worker, end.report, true, now);
}

void AttemptRecorder::record_outcome(Worker& worker, std::size_t job_class, const AttemptEnd& end,
                                     Time now) {
  const auto found = requests_.find(end.id);
  Attempt* attempt = found == requests_.end() ? nullptr : found->second.find(end.attempt);
  if (attempt) {
    if (end.outcome == Outcome::Failure && failed_at_another_worker(found->second, worker)) {
      attempt->failure_deferred = true;
      return;
    }
    if (end.outcome == Outcome::Success)
      count_deferred_failures(found->second, now);
  }
  ejection_.on_attempt_end(worker, job_class, end.outcome, now);
}

void AttemptRecorder::count_deferred_failures(RequestState& state, Time now) {
  for (Attempt& attempt : state.attempts) {
    if (std::exchange(attempt.failure_deferred, false))
      ejection_.on_attempt_end(*attempt.worker, state.request.job_class, Outcome::Failure, now);
  }
}

void AttemptRecorder::on_report(Worker& worker, const LoadReport& report, bool with_attempt_end,
                                Time now) {
  ejection_.on_error_rate(worker, report.fail_rate.value_or(NAN),
                          load_.mean_slot_release_interval(worker), now);
  load_.on_report(worker, report, with_attempt_end, now);
}

void AttemptRecorder::on_rejected(Worker& worker, const OutstandingAttempt& attempt, Time now) {
  // Rejected while all slots were free: the request does not fit.
  if (worker.outstanding.size() == 1 && attempt.slots > 1 &&
      load_.external_slots(worker, now) < 0.5)
    worker.min_rejected_slots = attempt.slots;
  ejection_.on_rejected(worker, load_.mean_slot_release_interval(worker), now);
  load_.on_rejected(worker, now);
}

void AttemptRecorder::learn_from_success(Worker& worker, const OutstandingAttempt& attempt,
                                         Time now) {
  const auto found = requests_.find(attempt.id);
  // The run time of a streamed request depends on the client, not on the worker.
  const bool paced_by_worker = found == requests_.end() || !found->second.request.streamed;
  double work_ms = attempt.work_ms;
  if (paced_by_worker && found != requests_.end())
    work_ms = learn_work(worker, attempt, found->second, now);
  if (attempt.started_at || (!settings_.reports_job_start && paced_by_worker))
    learn_speed(worker, attempt, work_ms, now);
}

// Returns the best estimate of the request's work. Without hints the cost of a class is known only
// from finished attempts, measured at the mean speed of the workers: work and speeds estimated from
// each other would drift together.
double AttemptRecorder::learn_work(const Worker& worker, const OutstandingAttempt& attempt,
                                   const RequestState& state, Time now) {
  if (!attempt.started_at && settings_.reports_job_start)
    return attempt.work_ms;
  const double elapsed_ms =
      std::max(milliseconds(now - attempt.started_at.value_or(attempt.sent_at)),
               milliseconds(settings_.tick));
  const double observed_work_ms =
      elapsed_ms * worker.speed * slow_start_.capacity_fraction(worker, now);
  ClassCosts& costs = costs_.of_class(state.request.job_class);
  if (state.cost_hint_ms <= 0)
    return costs.learn(observed_work_ms / registry_.mean_speed());
  if (attempt.started_at && observed_work_ms > 0)
    costs.hints.learn(state.cost_hint_ms, observed_work_ms);
  return attempt.work_ms;
}

void AttemptRecorder::learn_speed(Worker& worker, const OutstandingAttempt& attempt, double work_ms,
                                  Time now) {
  const double elapsed_ms = milliseconds(now - attempt.started_at.value_or(attempt.sent_at));
  if (elapsed_ms <= 0)
    return;
  const double mean_work_ms = costs_.mean_work_ms();
  worker.speed_sample_work_ms = kSpeedSampleDecay * worker.speed_sample_work_ms + work_ms;
  worker.speed_sample_time_ms = kSpeedSampleDecay * worker.speed_sample_time_ms +
                                elapsed_ms * slow_start_.capacity_fraction(worker, now);
  // Assumed to have restarted while it was ejected, but its speed shows that it had not.
  if (worker.warming_up_since && worker.warming_up_since != worker.online_since &&
      work_ms / elapsed_ms > kWarmSpeedFraction * worker.speed)
    worker.warming_up_since.reset();
  worker.speed = std::max(kMinSpeed, (worker.speed_sample_work_ms + mean_work_ms * worker.speed) /
                                         (worker.speed_sample_time_ms + mean_work_ms));
}

}  // namespace dispatcher::scheduling

#include "scheduling/load_estimator.h"

#include <cmath>

namespace dispatcher::scheduling {
namespace {

constexpr Duration kMaxReportAge{1000};      // of load reports on arrival
constexpr double kBusyFractionWeight = 0.8;  // of the reported busy fraction against free slots
constexpr double kMeanGain = 0.05;           // weight of each new sample
constexpr double kMaxReportedSlots = 1e4;
constexpr Duration kMaxImmediateStartDelay{20};    // plus four ticks
constexpr double kMinRemainingRunFraction = 0.25;  // of the time an attempt has already run

}  // namespace

Duration LoadEstimator::start_delay(const Worker& worker, const RequestState& state, Time now) {
  const double external = external_slots(worker, now);
  const double needed = state.request.slots;
  if (worker.own_slots + external + needed <= worker.slots + 0.5 &&
      worker.own_memory + state.request.memory <= worker.slots)
    return Duration(0);
  double queued_ms = 0;
  const double speed = slow_start_.likely_speed(worker, now);
  releases_.clear();
  for (const OutstandingAttempt& attempt : worker.outstanding) {
    if (!attempt.started_at && settings_.reports_job_start) {
      queued_ms += attempt.work_ms * attempt.slots / speed;
      continue;
    }
    const double elapsed_ms = milliseconds(now - attempt.started_at.value_or(attempt.sent_at));
    releases_.push_back(
        {std::max(attempt.work_ms / speed - elapsed_ms, kMinRemainingRunFraction * elapsed_ms),
         attempt.slots});
  }
  const double external_running =
      std::min(external, std::max(0.0, worker.slots - worker.started_slots));
  queued_ms += (external - external_running) * costs_.mean_work_ms() / speed;
  if (external_running >= 0.5)
    releases_.push_back({0.5 * costs_.mean_work_ms() / speed, external_running});
  std::sort(releases_.begin(), releases_.end());
  double free = worker.slots - external_running - worker.started_slots;
  double wait_ms = 0;
  for (std::size_t i = 0; i < releases_.size() && free + 0.5 < needed; ++i) {
    wait_ms = releases_[i].after_ms;
    free += releases_[i].slots;
  }
  return Duration(wait_ms + queued_ms / worker.slots);
}

void LoadEstimator::on_report(Worker& worker, const LoadReport& report, bool with_attempt_end,
                              Time now) {
  if (!report.free_slots || !std::isfinite(*report.free_slots))
    return;
  const double free = std::max(0.0, *report.free_slots);
  worker.slots = std::max(
      {worker.slots, worker.started_slots, free < kMaxReportedSlots ? std::round(free) : 0});
  max_slots_ = std::max(max_slots_, worker.slots);
  worker.slots_known = true;
  // A report that comes with the end of an attempt was taken while that attempt, and others of this
  // dispatcher that have ended since, were still running: they must not count as external.
  const bool peak_counts = with_attempt_end && now - worker.peak_at < kMaxReportAge;
  const double own = std::max(worker.own_slots, peak_counts ? worker.peak_slots : 0);
  const double own_running = std::min(own, worker.slots);
  double external = worker.slots - free - own_running;
  // Free slots are a snapshot; the busy fraction covers a time span and shows lasting load.
  if (report.busy && std::isfinite(*report.busy)) {
    external += kBusyFractionWeight *
                (worker.slots * std::clamp(*report.busy, 0.0, 1.0) - own_running - external);
  }
  double with_queue = external;
  if (report.inflight) {
    with_queue = *report.inflight - own;
  } else if (report.queue) {
    with_queue = external + *report.queue;
  }
  set_external_slots(worker, std::isfinite(with_queue) ? std::max(external, with_queue) : external,
                     now);
  const double utilization = (worker.external_slots + worker.own_slots) / worker.slots;
  mean_utilization_ += kMeanGain * (utilization - mean_utilization_);
}

void LoadEstimator::on_started(Worker& worker, OutstandingAttempt& attempt, Time now) {
  const bool immediate = now - attempt.sent_at < kMaxImmediateStartDelay + 4 * settings_.tick;
  attempt.started_at = now;
  immediate_start_fraction_ += kMeanGain * ((immediate ? 1 : 0) - immediate_start_fraction_);
  worker.started_slots += attempt.slots;
  worker.slots = std::max(worker.slots, worker.started_slots);
  const double left = worker.slots - worker.started_slots;
  if (immediate) {  // all attempts of this dispatcher had a slot
    set_external_slots(worker,
                       std::min(external_slots(worker, now), worker.slots - worker.own_slots), now);
  } else if (left > 0) {  // the queue in which it waited may still be as long
    set_external_slots(
        worker,
        std::max(external_slots(worker, now),
                 left + 0.5 * (now - attempt.sent_at) / mean_slot_release_interval(worker)),
        now);
  }
}

void LoadEstimator::on_still_waiting(Worker& worker, Time now) {
  set_external_slots(
      worker, std::max(external_slots(worker, now), worker.slots - worker.started_slots), now);
}

void LoadEstimator::record_peak(Worker& worker, Time now) const {
  if (now - worker.peak_at < kMaxReportAge && worker.own_slots < worker.peak_slots)
    return;
  worker.peak_slots = worker.own_slots;
  worker.peak_at = now;
}

}  // namespace dispatcher::scheduling

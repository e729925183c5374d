#include "scheduling/outlier_ejection.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>
#include <utility>

#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

constexpr double kMaxScore = 2.0;
// Limit on the score from slowness where health checks are allowed: a busy worker is slow too, and
// a health check tells the difference.
constexpr double kMaxSlownessScore = 0.9;
constexpr double kConnectionScore = 1.0;
constexpr double kTimeoutScore = 0.5;
constexpr double kSilenceScore = 0.5;
constexpr double kSlownessScore = 0.15;
constexpr double kFailedCheckScore = 0.6;
constexpr double kScoreFractionKeptWhenAlive = 0.3;

constexpr Duration kRepeatedEjectionInterval = std::chrono::seconds(2);
constexpr Duration kMaxProbeBackoff = 4 * kRecoveryProbeInterval;
// While requests wait and all workers are unavailable.
constexpr Duration kUrgentProbeInterval{200};  // between two health checks of a worker
constexpr std::ptrdiff_t kMaxUrgentProbes = 3;
constexpr Duration kClassTrialInterval{250};  // between two requests of a class it is ejected for

constexpr Duration kRecentCheckAge{500};  // a worker checked this recently needs no check
constexpr Duration kRecentSignOfLifeAge = std::chrono::seconds(1);

constexpr int kMinSuccessesToTolerateFailure = 3;  // consecutive; one failure may follow
constexpr Duration kMinClassBackoff = std::chrono::seconds(5);
constexpr Duration kMaxClassBackoff = 8 * kMinClassBackoff;
constexpr double kMaxRejectionBackoffIntervals = 8;

// A worker backs off when its errors, as a fraction of what it could serve, exceed kErrorFraction,
// which is beyond chance, plus kErrorMeanFactor times the mean of all workers.
constexpr double kErrorFraction = 0.15;
constexpr double kErrorMeanFactor = 2;
constexpr double kErrorMeanGain = 0.02;
constexpr Duration kErrorBackoff = std::chrono::seconds(2);

}  // namespace

void OutlierEjection::check_health(Worker& worker, Time now) {
  if (std::exchange(worker.health_check_open, true))
    return;
  worker.checked_at = now;
  actions_.check_health(worker.id);
}

void OutlierEjection::check_oldest_report(const std::vector<Worker*>& workers, Time now) {
  Worker* oldest = nullptr;
  for (Worker* worker : workers) {
    if (!worker->health_check_open && !ejected(*worker, now) &&
        (!oldest || worker->checked_at < oldest->checked_at))
      oldest = worker;
  }
  if (oldest && settings_.health_checks_allowed && now - oldest->checked_at > kRecentCheckAge)
    check_health(*oldest, now);
}

void OutlierEjection::probe_ejected(const std::vector<Worker*>& workers, Time now) {
  for (Worker* worker : workers) {
    if (ejected(*worker, now) && now >= worker->recovery_probe_at && !worker->health_check_open) {
      check_health(*worker, now);
      schedule_recovery_probe(*worker, now);
    }
  }
}

void OutlierEjection::probe_urgently(const std::vector<Worker*>& workers, Time now) {
  if (!settings_.health_checks_allowed)
    return;
  std::vector<Worker*> due;
  std::ranges::copy_if(workers, std::back_inserter(due), [&](const Worker* worker) {
    return ejected(*worker, now) && !worker->health_check_open &&
           now - worker->checked_at >= kUrgentProbeInterval;
  });
  const auto count = std::min(std::ssize(due), kMaxUrgentProbes);
  std::ranges::partial_sort(due, due.begin() + count, {}, &Worker::checked_at);
  due.resize(static_cast<std::size_t>(count));
  for (Worker* worker : due)
    check_health(*worker, now);
}

void OutlierEjection::on_send(Worker& worker, std::size_t job_class, Time now) {
  if (ejected(worker, now))
    schedule_recovery_probe(worker, now);
  if (ejected_for_class(worker, job_class, now))
    worker.class_ejections.at(job_class).next_trial = now + kClassTrialInterval;
}

void OutlierEjection::schedule_recovery_probe(Worker& worker, Time now) {
  worker.recovery_probe_at = now + worker.recovery_probe_backoff;
  worker.recovery_probe_backoff = std::min(2 * worker.recovery_probe_backoff, kMaxProbeBackoff);
  if (settings_.health_checks_allowed)
    timers_.schedule(worker.recovery_probe_at, TimerKind::RecoveryProbe, 0);
}

void OutlierEjection::add_failure(Worker& worker, double score, std::string_view symptom,
                                  double maximum, Time now) {
  const double before = failure_score(worker, now);
  if (before >= maximum)
    return;
  worker.failure_score = std::min(maximum, before + score);
  worker.failure_score_at = now;
  if (before >= kEjectionScore || worker.failure_score < kEjectionScore)
    return;
  actions_.log("worker " + worker.id + " ejected: " + std::string(symptom));
  worker.recovery_probe_backoff = kRecoveryProbeInterval;
  schedule_recovery_probe(worker, now);
  // A single lost connection does not mean that the worker has failed: an immediate health check
  // may clear it, but not after each ejection in quick succession.
  if (settings_.health_checks_allowed && now - worker.ejected_at > kRepeatedEjectionInterval)
    check_health(worker, now);
  worker.ejected_at = now;
}

void OutlierEjection::on_alive(Worker& worker, Time now) {
  worker.last_heard = now;
  if (worker.failure_score <= 0)
    return;
  if (ejected(worker, now)) {
    actions_.log("worker " + worker.id + " recovered");
    // It may have restarted, so it is warming up until shown otherwise.
    if (!slow_start_.warming_up(worker, now) &&
        now - worker.ejected_at >= kRecoveryProbeInterval / 2)
      worker.warming_up_since = now;
  }
  worker.failure_score =
      kScoreFractionKeptWhenAlive * std::min(failure_score(worker, now), kEjectionScore);
  worker.failure_score_at = now;
  worker.recovery_probe_backoff = kRecoveryProbeInterval;
}

void OutlierEjection::on_attempt_end(Worker& worker, std::size_t job_class, Outcome outcome,
                                     Time now) {
  ClassEjection& ejection = worker.class_ejections[job_class];
  switch (outcome) {
    case Outcome::Success:
      on_alive(worker, now);
      ejection = {.consecutive_successes = ejection.consecutive_successes + 1,
                  .backoff_before_success = ejection.backoff};
      break;
    case Outcome::Failure:
      record_class_failure(ejection, now);
      break;
    case Outcome::ConnectFailed:
      add_failure(worker, kConnectionScore, "connect failed", kMaxScore, now);
      break;
    case Outcome::ConnectionReset:
      add_failure(worker, kConnectionScore, "connection reset", kMaxScore, now);
      break;
    case Outcome::TimedOut:
      add_failure(worker, kTimeoutScore, "timeout", kMaxScore, now);
      break;
    case Outcome::Rejected:
    case Outcome::Cancelled:
    case Outcome::NotSent:
      break;
  }
}

void OutlierEjection::record_class_failure(ClassEjection& ejection, Time now) {
  if (std::exchange(ejection.consecutive_successes, 0) >= kMinSuccessesToTolerateFailure)
    return;
  ejection.backoff = std::clamp(2 * ejection.backoff, kMinClassBackoff, kMaxClassBackoff);
  ejection.until = now + ejection.backoff;
}

void OutlierEjection::on_reply_broken(Worker& worker, std::size_t job_class, Time now) {
  ClassEjection& ejection = worker.class_ejections[job_class];
  ejection.consecutive_successes = std::max(0, ejection.consecutive_successes - 1);
  ejection.backoff = std::max(ejection.backoff, ejection.backoff_before_success);
  record_class_failure(ejection, now);
}

void OutlierEjection::on_rejected(Worker& worker, Duration slot_release_interval, Time now) {
  worker.rejection_backoff = std::clamp(2 * worker.rejection_backoff, slot_release_interval,
                                        kMaxRejectionBackoffIntervals * slot_release_interval);
  worker.backoff_until = now + worker.rejection_backoff;
}

void OutlierEjection::on_attempt_slow(Worker& worker, bool silent, Time now) {
  if (settings_.health_checks_allowed && now - worker.checked_at > kRecentCheckAge)
    check_health(worker, now);
  add_failure(worker, silent ? kSilenceScore : kSlownessScore, "slow or silent",
              settings_.health_checks_allowed ? kMaxSlownessScore : kMaxScore, now);
}

// A worker heard from recently is only busy: a health check that does real work may have to queue.
void OutlierEjection::on_health_check_failed(Worker& worker, Outcome outcome, Time now) {
  if (outcome == Outcome::Rejected || outcome == Outcome::NotSent ||
      now - worker.last_heard < kRecentSignOfLifeAge)
    return;
  add_failure(worker, kFailedCheckScore, "health check failed", kMaxScore, now);
}

void OutlierEjection::on_error_rate(Worker& worker, double errors_per_s,
                                    Duration slot_release_interval, Time now) {
  const double fraction = errors_per_s * seconds(slot_release_interval);
  if (fraction > kErrorFraction + kErrorMeanFactor * mean_error_fraction_)
    worker.backoff_until = std::max(worker.backoff_until, now + kErrorBackoff);
  if (fraction >= 0)
    mean_error_fraction_ += kErrorMeanGain * (std::min(1.0, fraction) - mean_error_fraction_);
}

}  // namespace dispatcher::scheduling

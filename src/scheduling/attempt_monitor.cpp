#include "scheduling/attempt_monitor.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "scheduling/idempotency.h"
#include "scheduling/monitor_timing.h"
#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

constexpr Duration kMaxInspectionInterval = std::chrono::seconds(1);
constexpr Duration kMinInspectionInterval{200};
constexpr Duration kOverdueMargin{40};
constexpr Duration kMaxWorkerSilence = std::chrono::seconds(1);
constexpr double kSilentProgressIntervals = 2.1;  // without an event, an attempt is silent
constexpr double kProgressInspectionIntervals = 2.2;
constexpr double kUrgentWaitFraction = 0.2;  // of the slack spent waiting makes a hedge urgent
constexpr std::ptrdiff_t kMaxHedgedAttempts = 2;

}  // namespace

void AttemptMonitor::on_job_event(Time now, RequestId id, int attempt, std::string_view worker_id,
                                  JobEventKind kind) {
  RequestState* state = nullptr;
  const auto it = requests_.find(id);
  Attempt* found = it != requests_.end() ? it->second.find(attempt) : nullptr;
  if (found) {
    state = &it->second;
    // Even if the reported end said that it never ran.
    found->may_have_run = true;
    found->started = true;
  }
  Worker* worker = registry_.find(worker_id);
  OutstandingAttempt* outstanding = worker ? find_outstanding(*worker, id, attempt) : nullptr;
  if (!outstanding)
    return;
  outstanding->last_heard = now;
  ejection_.on_alive(*worker, now);
  if (kind == JobEventKind::Started && !outstanding->started_at)
    on_started(*worker, *outstanding, state, now);
}

void AttemptMonitor::on_started(Worker& worker, OutstandingAttempt& outstanding,
                                const RequestState* state, Time now) {
  ejection_.on_attempt_started(worker);
  load_.on_started(worker, outstanding, now);
  if (!state)
    return;
  lifecycle_.cancel_attempts(*state, RequestLifecycle::CancelScope::NotStarted);
  const Duration run = slow_start_.run_time(worker, *state, now);
  timers_.schedule(now + kOverdueFactor * run + kRoundTripAllowance, TimerKind::AttemptMonitor,
                   outstanding.id);
  if (milliseconds(settings_.progress_interval) > 0) {
    timers_.schedule(now + kProgressInspectionIntervals * settings_.progress_interval,
                     TimerKind::AttemptMonitor, outstanding.id);
  }
}

void AttemptMonitor::on_ambiguous_end(Time now, RequestId id, int attempt) {
  const auto it = requests_.find(id);
  const Attempt* found = it != requests_.end() ? it->second.find(attempt) : nullptr;
  if (found && found->open)
    lifecycle_.cancel_for_retry(it->second, attempt, now);
}

void AttemptMonitor::on_attempt_end(Time now, const AttemptEnd& end) {
  Worker* worker = registry_.find(end.worker);
  if (worker)
    recorder_.close(*worker, end, now);
  const auto it = requests_.find(end.id);
  if (it != requests_.end()) {
    RequestState& state = it->second;
    end_attempt(state, end);
    if (end.final) {
      lifecycle_.forget(state);
    } else if (!state.any_open()) {
      lifecycle_.retry_or_answer(state, now);
    }
  }
  if (worker)
    lifecycle_.dispatch_pending_to(*worker, now);
}

// An outcome proves that the attempt never ran only if its own worker reports it while the attempt
// is open and no start or progress event came before.
void AttemptMonitor::end_attempt(RequestState& state, const AttemptEnd& end) {
  Attempt* attempt = state.find(end.attempt);
  if (!attempt)
    return;
  const bool never_ran = proves_not_run(end.outcome);
  if (!never_ran)
    attempt->may_have_run = true;
  if (!attempt->open || attempt->worker->id != end.worker)
    return;
  attempt->open = false;
  attempt->outcome = end.outcome;
  attempt->reported_by_worker = end.reported_by_worker;
  if (never_ran && !attempt->started)
    attempt->may_have_run = false;
  if (end.outcome == Outcome::NotSent && end.attempt > 0)
    budget_.on_extra_attempt_not_sent(attempt->sent_at);
}

void AttemptMonitor::on_timer(RequestState& state, Time now) {
  // The client may be the one that is slow, and a streamed body cannot be sent twice.
  if (state.request.streamed)
    return;
  const Findings findings = inspect(state, now);
  if (!state.any_open())
    return;
  if (cannot_meet_objective(state, now)) {
    lifecycle_.answer(state);
    return;
  }
  timers_.schedule(now + findings.next_inspection, TimerKind::AttemptMonitor, state.request.id);
  if (findings.slow)
    hedge(state, findings.urgent, now);
}

AttemptMonitor::Findings AttemptMonitor::inspect(const RequestState& state, Time now) {
  Findings findings{.next_inspection = kMaxInspectionInterval};
  for (std::size_t i = 0; i < state.attempts.size(); ++i) {
    if (!state.attempts[i].open)
      continue;
    Worker& worker = *state.attempts[i].worker;
    const OutstandingAttempt* outstanding =
        find_outstanding(worker, state.request.id, static_cast<int>(i));
    if (outstanding)
      inspect_attempt(state, worker, *outstanding, now, findings);
  }
  return findings;
}

void AttemptMonitor::inspect_attempt(const RequestState& state, Worker& worker,
                                     const OutstandingAttempt& outstanding, Time now,
                                     Findings& findings) {
  const Duration run = slow_start_.run_time(worker, state, now);
  const Duration elapsed = now - outstanding.started_at.value_or(outstanding.sent_at);
  const bool waiting = settings_.reports_job_start && !outstanding.started_at;
  const bool silent =
      outstanding.started_at && milliseconds(settings_.progress_interval) > 0 &&
      now - outstanding.last_heard > kSilentProgressIntervals * settings_.progress_interval;
  const bool overdue = !waiting && elapsed > kOverdueFactor * run + kOverdueMargin;
  if (waiting)
    load_.on_still_waiting(worker, now);
  if (silent || overdue || (waiting && now - worker.last_heard > kMaxWorkerSilence))
    ejection_.on_attempt_slow(worker, silent, now);
  const Duration slack = state.objective_deadline - run - outstanding.sent_at;
  findings.slow |= waiting || silent || overdue;
  findings.urgent |= silent || overdue || (waiting && elapsed > kUrgentWaitFraction * slack);
  findings.next_inspection =
      std::min(findings.next_inspection, std::max(kMinInspectionInterval, run));
}

bool AttemptMonitor::cannot_meet_objective(const RequestState& state, Time now) const {
  const bool may_abandon = settings_.reports_job_start && settings_.cancellation_allowed &&
                           state.class_settings.late_weight <= 0 && state.cost_hint_ms > 0;
  return may_abandon && now >= selector_.latest_useful_start(state) &&
         std::ranges::none_of(state.attempts, &Attempt::started);
}

void AttemptMonitor::hedge(RequestState& state, bool urgent, Time now) {
  if (state.class_settings.idempotency == Idempotency::NonIdempotent || !settings_.hedging_allowed)
    return;
  const auto counted = registry_.uses_sampling() ? &Attempt::may_have_run : &Attempt::open;
  if (std::ranges::count(state.attempts, true, counted) >= kMaxHedgedAttempts ||
      !budget_.allows_hedge(now, load_.immediate_start_fraction()))
    return;
  Worker* worker = selector_.choose(state, now);
  if (worker && (urgent || load_.has_room(*worker, state, now)))
    lifecycle_.send(state, *worker, now);
}

}  // namespace dispatcher::scheduling

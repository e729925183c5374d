#include "scheduling/request_lifecycle.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <variant>

#include "scheduling/idempotency.h"
#include "scheduling/monitor_timing.h"

namespace dispatcher::scheduling {
namespace {

// Limits on visits to pending requests and on failed dispatches, to bound the CPU time of a pass.
constexpr std::size_t kMaxPendingVisits = 24;
constexpr std::size_t kMaxDispatchMisses = 4;
constexpr Duration kSweepInterval{50};

}  // namespace

void RequestLifecycle::check_or_dispatch(RequestState& state, Time now) {
  if (!check(state, now))
    dispatch_or_enqueue(state, now);
}

void RequestLifecycle::on_checks_finished(RequestState& state, Time now) {
  state.open_checks = 0;
  if (check(state, now))
    return;
  // Workers that have not answered are considered busy.
  std::erase_if(state.checked_workers,
                [](const Worker* worker) { return worker->health_check_open; });
  dispatch_or_enqueue(state, now);
}

bool RequestLifecycle::check(RequestState& state, Time now) {
  const PreDispatchCheck::Result result = check_.run(state, now);
  if (const auto* chosen = std::get_if<PreDispatchCheck::SendTo>(&result))
    send(state, *chosen->worker, now);
  return !std::holds_alternative<PreDispatchCheck::NotApplicable>(result);
}

bool RequestLifecycle::dispatch(RequestState& state, Time now) {
  if (!state.attempts.empty()) {
    const bool allowed = state.any_open()
                             ? budget_.allows_hedge(now, load_.immediate_start_fraction())
                             : budget_.allows_retry(now);
    if (!allowed)
      return false;
  }
  Worker* worker = selector_.choose(state, now);
  if (!worker)
    return false;
  send(state, *worker, now);
  return true;
}

void RequestLifecycle::dispatch_or_enqueue(RequestState& state, Time now) {
  if (!dispatch(state, now))
    enqueue(state, now);
}

void RequestLifecycle::send(RequestState& state, Worker& worker, Time now) {
  pending_.remove(state);
  state.all_workers_unavailable = false;
  state.open_checks = 0;
  state.checked_workers.clear();
  if (state.any_open())
    budget_.on_hedge();
  recorder_.open(worker, state, now);
  ejection_.on_send(worker, state.request.job_class, now);
  if (!state.attempts.empty())
    budget_.on_extra_attempt(now);
  Time window_start = now;
  for (const Attempt& attempt : state.attempts) {
    if (attempt.may_have_run)
      window_start = std::min(window_start, attempt.window_start);
  }
  state.attempts.push_back({.worker = &worker,
                            .sent_at = now,
                            .window_start = window_start,
                            .zone = worker.zone,
                            .cell = worker.cell});
  const RequestId id = state.request.id;
  actions_.send(id, worker.id);
  const Duration run = settings_.reports_job_start
                           ? Duration(0)
                           : kOverdueFactor * slow_start_.run_time(worker, state, now);
  timers_.schedule(now + kRoundTripAllowance + 4 * settings_.tick + run, TimerKind::AttemptMonitor,
                   id);
  if (settings_.reports_job_start && state.class_settings.late_weight <= 0)
    timers_.schedule(selector_.latest_useful_start(state), TimerKind::AttemptMonitor, id);
}

void RequestLifecycle::enqueue(RequestState& state, Time now) {
  if (state.queue_priority)
    return;
  state.checked_workers.clear();
  pending_.add(state);
  timers_.schedule(std::max(now, selector_.latest_useful_start(state)),
                   TimerKind::ObjectiveDeadline, state.request.id);
  if (!sweep_scheduled_) {
    timers_.schedule(now + kSweepInterval, TimerKind::PendingSweep, 0);
    sweep_scheduled_ = true;
  }
}

void RequestLifecycle::on_objective_deadline(RequestState& state, Time now) {
  if (!state.queue_priority)
    return;
  // The latest start changes with the estimated speeds of the workers.
  const Time latest_start = selector_.latest_useful_start(state);
  if (now < latest_start) {
    timers_.schedule(latest_start, TimerKind::ObjectiveDeadline, state.request.id);
    return;
  }
  if (dispatch(state, now))
    return;
  pending_.remove(state);
  if (state.class_settings.late_weight > 0 && !state.late && load_.mean_utilization() < 1) {
    state.objective_deadline = state.deadline;
    state.late = true;
    dispatch_or_enqueue(state, now);
  } else if (may_reject(state)) {
    actions_.log("shed: a pending request can no longer be in time");
    answer(state);
  } else if (!state.any_open()) {
    answer(state);
  }
}

void RequestLifecycle::dispatch_pending(Time now) {
  std::size_t visits = 0;
  for (auto it = pending_.begin(); it != pending_.end() && visits < kMaxPendingVisits; ++visits) {
    // Advance first: a dispatch removes the entry.
    const RequestId id = (it++)->second;
    dispatch(requests_.at(id), now);
  }
}

// Visits only requests that would be in time at the worker; each is dispatched as on arrival, so it
// may go to another worker.
void RequestLifecycle::dispatch_pending_to(const Worker& worker, Time now) {
  std::size_t visits = 0;
  std::size_t misses = 0;
  for (auto it = pending_.begin(); it != pending_.end() && visits < kMaxPendingVisits; ++visits) {
    if (!worker.ready || misses >= kMaxDispatchMisses ||
        worker.own_slots + load_.external_slots(worker, now) > worker.slots - 0.5)
      return;
    const RequestId id = (it++)->second;
    RequestState& state = requests_.at(id);
    if (worker.own_slots + state.request.slots > worker.slots + 0.5 ||
        state.objective_deadline < now + slow_start_.run_time(worker, state, now))
      continue;
    if (!dispatch(state, now))
      ++misses;
  }
}

void RequestLifecycle::find_requests_without_workers(Time now) {
  std::size_t visits = 0;
  bool any_without_workers = false;
  for (auto it = pending_.begin(); it != pending_.end() && visits < kMaxPendingVisits;
       ++it, ++visits) {
    RequestState& state = requests_.at(it->second);
    state.all_workers_unavailable = false;  // the check below must respect slow start budgets
    state.all_workers_unavailable = selector_.all_workers_unavailable(state, now);
    any_without_workers |= state.all_workers_unavailable;
  }
  if (any_without_workers)
    ejection_.probe_urgently(registry_.ready(), now);
}

void RequestLifecycle::on_pending_sweep(Time now) {
  find_requests_without_workers(now);
  dispatch_pending(now);
  sweep_scheduled_ = !pending_.empty();
  if (sweep_scheduled_)
    timers_.schedule(now + kSweepInterval, TimerKind::PendingSweep, 0);
}

void RequestLifecycle::on_health_check_answer(Worker& worker, bool usable, Time now) {
  for (const RequestId id : std::exchange(worker.requests_awaiting_check, {})) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.open_checks == 0)
      continue;
    RequestState& state = it->second;
    --state.open_checks;
    if (usable && selector_.eligible(worker, state, now) && load_.has_room(worker, state, now)) {
      send(state, worker, now);
    } else if (state.open_checks == 0) {
      on_checks_finished(state, now);
    }
  }
}

void RequestLifecycle::retry_or_answer(RequestState& state, Time now) {
  if (may_retry(state, now)) {
    dispatch_or_enqueue(state, now);
  } else {
    answer(state);
  }
}

bool RequestLifecycle::may_retry(const RequestState& state, Time now) const {
  return std::ranges::any_of(registry_.ready(), [&](const Worker* worker) {
    return may_send(*worker, state, settings_, now);
  });
}

void RequestLifecycle::cancel_for_retry(const RequestState& state, int attempt, Time now) {
  if (!settings_.cancellation_allowed)
    return;
  RequestState cancelled = state;
  Attempt& ended = *cancelled.find(attempt);
  ended.open = false;
  ended.outcome = Outcome::Cancelled;
  ended.reported_by_worker = true;
  if (may_retry(cancelled, now))
    actions_.cancel_and_confirm(state.request.id, attempt);
}

void RequestLifecycle::answer(RequestState& state) {
  finish(state, may_reject(state) ? ActionKind::Reject : ActionKind::Fail);
}

void RequestLifecycle::finish(RequestState& state, ActionKind answer) {
  const Duration retry_after =
      answer == ActionKind::Reject ? settings_.max_retry_after : Duration(0);
  actions_.answer(answer, state.request.id, retry_after);
  forget(state);
}

void RequestLifecycle::forget(RequestState& state) {
  pending_.remove(state);
  cancel_attempts(state, CancelScope::AllOpen);
  requests_.erase(state.request.id);
}

void RequestLifecycle::cancel_attempts(const RequestState& state, CancelScope scope) {
  if (!settings_.cancellation_allowed)
    return;
  for (std::size_t i = 0; i < state.attempts.size(); ++i) {
    const Attempt& attempt = state.attempts[i];
    if (attempt.open && !(scope == CancelScope::NotStarted && attempt.started))
      actions_.cancel(state.request.id, static_cast<int>(i));
  }
}

}  // namespace dispatcher::scheduling

#include "scheduling/candidate_selector.h"

#include "scheduling/idempotency.h"

namespace dispatcher::scheduling {
namespace {

constexpr double kMaxQueueDelayShare = 0.3;    // of the slack, spent waiting in a worker's queue
constexpr double kCrossZoneSavingsFactor = 4;  // required ratio of estimated savings to cost
constexpr double kOverQuotaToleranceSlots = -0.5;  // keeps a slot free for requests within quota
constexpr double kMinRunFraction = 0.7;            // of the expected run time, surely needed
constexpr double kMinSpeed = 0.01;
constexpr Duration kMinSlack{1e-3};

}  // namespace

double CandidateSelector::cross_zone_cost(const RequestState& state) const {
  return kCrossZoneSavingsFactor * settings_.cross_zone_penalty * costs_.mean_priority_weight() /
         std::max(1e-9, priority_weight(state, settings_));
}

bool CandidateSelector::cross_zone_may_pay_off(const RequestState& state) const {
  return cross_zone_cost(state) < kCrossZoneSavingsFactor * kMaxQueueDelayShare;
}

bool CandidateSelector::can_run(const Worker& worker, const RequestState& state) const {
  if (state.class_settings.kind >= 0 && state.class_settings.kind != worker.kind)
    return false;
  if (state.request.slots >= worker.min_rejected_slots)
    return false;
  return !worker.slots_known ||
         std::max(state.request.slots, state.request.memory) <= load_.max_slots() + 0.5;
}

bool CandidateSelector::eligible(Worker& worker, const RequestState& state, Time now) const {
  return worker.ready && can_run(worker, state) && ejection_.accepts(worker, state, now) &&
         may_send(worker, state, settings_, now) &&
         !(state.connection_reset_at(worker) && another_may_run(state, now)) &&
         slow_start_.within_budget(worker, state, registry_.mean_speed(), now);
}

bool CandidateSelector::another_may_run(const RequestState& state, Time now) const {
  return state.any_open() || std::ranges::any_of(registry_.ready(), [&](const Worker* worker) {
           return !state.connection_reset_at(*worker) && can_run(*worker, state) &&
                  may_send(*worker, state, settings_, now);
         });
}

bool CandidateSelector::all_workers_unavailable(const RequestState& state, Time now) const {
  int unavailable = 0;
  for (Worker* worker : registry_.ready()) {
    if (!can_run(*worker, state))
      continue;
    const bool held_back = slow_start_.restart_unconfirmed(*worker, now) &&
                           !slow_start_.within_budget(*worker, state, registry_.mean_speed(), now);
    if (!held_back && !ejection_.unavailable_for(*worker, state, now))
      return false;
    ++unavailable;
  }
  return unavailable > 1;
}

Time CandidateSelector::latest_useful_start(const RequestState& state) const {
  double max_speed = registry_.list_known() ? kMinSpeed : registry_.mean_speed();
  for (const Worker* worker : registry_.ready()) {
    if (can_run(*worker, state))
      max_speed = std::max(max_speed, worker->speed);
  }
  return state.objective_deadline - Duration(kMinRunFraction * state.work_ms / max_speed);
}

Worker* CandidateSelector::choose(const RequestState& state, Time now) {
  const Candidate local = best_candidate(state, false, now);
  const double cost = cross_zone_cost(state);
  if (local.worker && local.delay_share <= cost)
    return local.worker;
  if (cost >= 1)
    return local.worker;
  const Candidate remote = best_candidate(state, true, now);
  const bool use_remote = remote.worker && remote.delay_share + cost < local.delay_share;
  return use_remote ? remote.worker : local.worker;
}

CandidateSelector::Candidate CandidateSelector::best_candidate(const RequestState& state,
                                                               bool remote, Time now) {
  const bool prefers_short = cutoff_.is_short(state);
  const bool may_queue = !state.late && settings_.hedging_allowed;
  Candidate best;
  for (const double max_delay_share : {0.0, kMaxQueueDelayShare}) {
    if (max_delay_share > 0 && !may_queue)
      break;
    for (const bool short_pool : {prefers_short, !prefers_short}) {
      const Round round{remote, short_pool, max_delay_share};
      visit_candidates(state, registry_.pool(remote, short_pool), now,
                       [&](Worker& worker) { consider(worker, state, round, now, best); });
      if (best.worker)
        return best;
    }
  }
  return best;
}

void CandidateSelector::consider(Worker& worker, const RequestState& state, const Round& round,
                                 Time now, Candidate& best) {
  if (!eligible(worker, state, now) || (worker.zone != settings_.zone) != round.remote ||
      worker.short_pool != round.short_pool)
    return;
  const Duration delay = load_.start_delay(worker, state, now);
  const Duration slack = state.objective_deadline - now - slow_start_.run_time(worker, state, now);
  if (slack < Duration(0) ||
      (state.over_quota && !load_.has_room(worker, state, now, kOverQuotaToleranceSlots)))
    return;
  const double delay_share = delay / std::max(slack, kMinSlack);
  if (!best.worker)
    best.delay_share = std::min(best.delay_share, delay_share);
  if (delay_share > round.max_delay_share)
    return;
  // Among sampled workers with equal load, the first one drawn wins rather than the fastest.
  const double added_work = registry_.uses_sampling() ? 0 : state.slot_work();
  const double relative_load =
      (worker.own_work + load_.external_slots(worker, now) * costs_.mean_work_ms() + added_work) /
      (worker.slots * slow_start_.likely_speed(worker, now));
  if (!best.worker || relative_load < best.relative_load)
    best = {&worker, delay_share, relative_load};
}

}  // namespace dispatcher::scheduling

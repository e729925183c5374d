#include "scheduling/pre_dispatch_check.h"

#include <algorithm>
#include <utility>

namespace dispatcher::scheduling {
namespace {

constexpr int kMaxCheckRounds = 3;
constexpr std::size_t kWorkersPerRound = 2;
constexpr Duration kAnswerTimeout{8};   // plus five ticks
constexpr Duration kMaxReportAge{100};  // a newer report need not be requested again
// With gossip, which contains nearly everything that a report does.
constexpr Duration kMaxReportAgeWithGossip{1000};

bool already_checked(const RequestState& state, const Worker& worker) {
  return std::ranges::find(state.checked_workers, &worker) != state.checked_workers.end();
}

}  // namespace

PreDispatchCheck::Result PreDispatchCheck::run(RequestState& state, Time now) {
  if (!settings_.health_checks_allowed || settings_.reports == LoadReportMode::Off ||
      !registry_.uses_sampling())
    return NotApplicable{};
  while (state.check_rounds < kMaxCheckRounds) {
    const std::size_t checked_before = state.checked_workers.size();
    add_workers(state, state.check_rounds++, now);
    for (std::size_t i = checked_before; i < state.checked_workers.size(); ++i) {
      Worker& worker = *state.checked_workers[i];
      if (load_known(worker, now)) {
        if (load_.has_room(worker, state, now))
          return SendTo{&worker};
        continue;
      }
      ejection_.check_health(worker, now);
      worker.requests_awaiting_check.push_back(state.request.id);
      ++state.open_checks;
    }
    if (state.open_checks > 0) {
      timers_.schedule(now + kAnswerTimeout + 5 * settings_.tick, TimerKind::PreDispatchCheck,
                       state.request.id);
      return Waiting{};
    }
  }
  return NotApplicable{};
}

// Rounds: own pool in the local zone; own pool in another zone if that may pay off; the other pool.
void PreDispatchCheck::add_workers(RequestState& state, int round, Time now) {
  const bool remote = round == 1 && selector_.cross_zone_may_pay_off(state);
  const bool short_pool = (round < 2) == cutoff_.is_short(state);
  const auto consider = [&](Worker& worker) {
    if (load_.has_gossip(worker, now) && !load_.has_room(worker, state, now))
      return;
    if (selector_.eligible(worker, state, now) && !already_checked(state, worker))
      state.checked_workers.push_back(&worker);
  };
  Worker* best = best_with_gossip(state, now);
  // sample() visits workers that are warming up first, even with a sample size of 0.
  selector_.sample(registry_.pool(remote, short_pool), best ? 0 : kWorkersPerRound, now, consider);
  if (best)
    consider(*best);
}

Worker* PreDispatchCheck::best_with_gossip(const RequestState& state, Time now) const {
  const bool prefers_short = cutoff_.is_short(state);
  const auto order = [&](const Worker& worker) {
    const double work = worker.own_work + *worker.gossiped_slots * costs_.mean_work_ms();
    return std::pair(worker.short_pool != prefers_short,
                     work / (worker.slots * slow_start_.likely_speed(worker, now)));
  };
  Worker* best = nullptr;
  for (Worker* worker : registry_.ready()) {
    if (load_.has_gossip(*worker, now) && (!best || order(*worker) < order(*best)) &&
        load_.has_room(*worker, state, now) && selector_.eligible(*worker, state, now) &&
        !already_checked(state, *worker))
      best = worker;
  }
  return best;
}

bool PreDispatchCheck::load_known(const Worker& worker, Time now) const {
  if (slow_start_.warming_up(worker, now))
    return true;
  const Duration max_age = load_.has_gossip(worker, now) ? kMaxReportAgeWithGossip : kMaxReportAge;
  return !worker.health_check_open && now - worker.checked_at <= max_age;
}

}  // namespace dispatcher::scheduling

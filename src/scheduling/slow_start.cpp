#include "scheduling/slow_start.h"

#include <cstdint>

namespace dispatcher::scheduling {
namespace {

constexpr double kMaxBudgetHolders = 3;      // one long request must not use up the whole budget
constexpr double kHolderTermWindows = 4;     // term of the holders, in overload windows
constexpr std::uint64_t kHolderStep = 7919;  // a prime, so that all dispatchers get their turn
constexpr double kMinHintUncertainty = 1.5;  // factor by which a hint may be too low

}  // namespace

double SlowStart::total_budget(const Worker& worker, double mean_speed, Time now) const {
  return settings_.overload_multiple * milliseconds(settings_.overload_window) * worker.slots *
         std::min(worker.speed, mean_speed) * capacity_fraction(worker, now);
}

double SlowStart::budget_share(const Worker& worker, double mean_speed, Time now) const {
  const double holders = std::min(kMaxBudgetHolders, 1.0 * settings_.dispatchers);
  const bool start_known = worker.online_since == worker.warming_up_since;
  const double since_start_ms =
      milliseconds(now - (start_known ? *worker.warming_up_since : Time{}));
  const double window_ms = milliseconds(settings_.overload_window);
  const double term = std::floor(since_start_ms / (kHolderTermWindows * window_ms));
  const bool waiting = term > 0 && holders < settings_.dispatchers &&
                       since_start_ms - term * kHolderTermWindows * window_ms <= window_ms;
  const auto first =
      static_cast<std::uint64_t>(worker.hash + kHolderStep * term) % settings_.dispatchers;
  const auto place = (settings_.index + settings_.dispatchers - first) % settings_.dispatchers;
  if (waiting || static_cast<double>(place) >= holders)
    return 0;
  const bool predecessor_counts =
      worker.warming_up_since < started_at_ && now - started_at_ <= settings_.overload_window;
  const double shares = (holders + 1) * (predecessor_counts ? holders : 1);
  return total_budget(worker, mean_speed, now) / shares;
}

// At least the mean of the class, since hints may be too low. A request of a class without samples
// takes the whole share.
double SlowStart::budgeted_cost(const Worker& worker, const RequestState& state, double uncertainty,
                                double mean_speed, Time now) const {
  const ClassCosts& costs = costs_.of_class(state.request.job_class);
  const double known = costs.samples > 0 ? costs.mean_work_ms * state.request.slots
                                         : budget_share(worker, mean_speed, now);
  return std::max(uncertainty * state.slot_work(), known);
}

bool SlowStart::within_budget(Worker& worker, const RequestState& state, double mean_speed,
                              Time now) const {
  if (!warming_up(worker, now))
    return true;
  if (state.all_workers_unavailable && restart_unconfirmed(worker, now) &&
      worker.own_slots + state.request.slots <=
          std::max(1.0, worker.slots * capacity_fraction(worker, now)))
    return true;
  const double spread = costs_.of_class(state.request.job_class).hints.spread();
  // Three standard deviations.
  if (state.slot_work() * spread * spread * spread > total_budget(worker, mean_speed, now))
    return false;
  double used =
      budgeted_cost(worker, state, std::max(kMinHintUncertainty, spread), mean_speed, now);
  std::list<SentWork>& sends = worker.recent_sends;
  while (!sends.empty() && sends.front().at + settings_.overload_window < now)
    sends.pop_front();
  for (const SentWork& sent : sends)
    used += sent.work_ms;
  return used <= budget_share(worker, mean_speed, now);
}

void SlowStart::on_send(Worker& worker, const RequestState& state, double mean_speed,
                        Time now) const {
  if (warming_up(worker, now))
    worker.recent_sends.push_back({now, budgeted_cost(worker, state, 1, mean_speed, now)});
}

}  // namespace dispatcher::scheduling

// Capacity and load budget of workers that are warming up.
#pragma once

#include <algorithm>
#include <cmath>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/request_state.h"
#include "scheduling/units.h"
#include "scheduling/worker.h"

namespace dispatcher::scheduling {

// A worker that has just started has only a fraction of its capacity, which grows to full capacity,
// and it fails when overloaded. Within any overload window, all dispatchers together may send it at
// most the work `overload multiple x capacity x window`. A few of them, the budget holders, split
// that budget and leave one share unused in reserve for hints that are too low. Holders are picked
// by the worker's hash and the dispatcher's index, and change every few windows because an idle
// holder wastes its share. New holders wait for one window, until the sends of the old ones no
// longer count. A dispatcher that has just started divides its share once more, since its
// predecessor's sends still count.
class SlowStart {
 public:
  // `settings` and `costs` must outlive this object.
  SlowStart(const Settings& settings, const CostEstimator& costs, Time started_at)
      : settings_(settings), costs_(costs), started_at_(started_at) {}

  // A lower bound of the worker's current capacity, as a fraction of its full capacity.
  double capacity_fraction(const Worker& worker, Time now) const {
    if (!worker.warming_up_since || milliseconds(settings_.slow_start_duration) <= 0)
      return 1;
    const double progress =
        std::clamp((now - *worker.warming_up_since) / settings_.slow_start_duration, 0.0, 1.0);
    return settings_.slow_start_initial_fraction +
           (1 - settings_.slow_start_initial_fraction) * progress;
  }
  bool warming_up(const Worker& worker, Time now) const {
    return capacity_fraction(worker, now) < 1;
  }

  double likely_speed(const Worker& worker, Time now) const {
    return worker.speed * std::sqrt(capacity_fraction(worker, now));
  }
  Duration run_time(const Worker& worker, const RequestState& state, Time now) const {
    return Duration(state.work_ms / likely_speed(worker, now));
  }

  // The work that this dispatcher may send within an overload window; 0 if it holds no budget.
  // `mean_speed` is that of the fleet.
  double budget_share(const Worker& worker, double mean_speed, Time now) const;
  // Whether the worker is warming up only because it may have restarted while it was ejected,
  // without an endpoint list that confirms it.
  bool restart_unconfirmed(const Worker& worker, Time now) const {
    return warming_up(worker, now) && worker.warming_up_since != worker.online_since;
  }
  // Whether the request fits into this dispatcher's budget; always true for a worker at full
  // capacity. Where all workers are unavailable, one whose restart is unconfirmed also gets what
  // fits into the slots of its current capacity.
  bool within_budget(Worker& worker, const RequestState& state, double mean_speed, Time now) const;
  void on_send(Worker& worker, const RequestState& state, double mean_speed, Time now) const;

 private:
  double total_budget(const Worker& worker, double mean_speed, Time now) const;
  double budgeted_cost(const Worker& worker, const RequestState& state, double uncertainty,
                       double mean_speed, Time now) const;

  const Settings& settings_;
  const CostEstimator& costs_;
  Time started_at_;
};

}  // namespace dispatcher::scheduling

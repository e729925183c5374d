// The cutoff between short and long requests (SITA-U-fair; Schroeder and Harchol-Balter).
#pragma once

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/load_estimator.h"
#include "scheduling/request_state.h"
#include "scheduling/slow_start.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// Requests below the cutoff go to the short pool. In a sampled fleet, a request without a cost hint
// goes to a random pool, weighted by capacity: otherwise its whole class would load a single pool.
class SizeCutoff {
 public:
  // All references must outlive this object.
  SizeCutoff(const Settings& settings, const CostEstimator& costs, const SlowStart& slow_start,
             WorkerRegistry& registry, LoadEstimator& load)
      : settings_(settings),
        costs_(costs),
        slow_start_(slow_start),
        registry_(registry),
        load_(load) {}

  // Calibrates the workers' speeds and recomputes the cutoff, at most once every 2 s.
  void update(Time now);

  double cutoff_ms() const { return cutoff_ms_; }
  bool is_short(const RequestState& state) const {
    return state.cost_hint_ms <= 0 && registry_.uses_sampling()
               ? state.pool_draw < registry_.short_share()
               : state.slot_work() < cutoff_ms_;
  }

 private:
  double fleet_load(Time now) const;

  const Settings& settings_;
  const CostEstimator& costs_;
  const SlowStart& slow_start_;
  WorkerRegistry& registry_;
  LoadEstimator& load_;
  double cutoff_ms_ = 0;
  Time next_update_{};
};

}  // namespace dispatcher::scheduling

// Chooses the worker for a request.
#pragma once

#include <algorithm>
#include <cstddef>
#include <random>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/load_estimator.h"
#include "scheduling/outlier_ejection.h"
#include "scheduling/request_state.h"
#include "scheduling/size_cutoff.h"
#include "scheduling/slow_start.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// Implements SITA-U-fair (size-interval task assignment with fair slowdown), but treats the
// assignment as a preference. Among the workers of its size pool that can start a request
// immediately, the request goes to the one with the least work relative to its capacity.
//
// Spillover: if no worker of its own pool can start the request immediately, it goes to the other
// pool. If no worker of either pool can, it joins the queue of a worker, but only if the wait takes
// a limited part of its slack and hedging is allowed: only a hedge can rescue a request that is
// stuck in a queue.
//
// Zones: a request goes to another zone if the fraction of its slack that this saves is larger than
// the cross-zone cost as a fraction of its priority weight.
class CandidateSelector {
 public:
  // All references must outlive the selector.
  CandidateSelector(const Settings& settings, const CostEstimator& costs,
                    const SlowStart& slow_start, const WorkerRegistry& registry,
                    LoadEstimator& load, const OutlierEjection& ejection, const SizeCutoff& cutoff,
                    std::mt19937_64& random)
      : settings_(settings),
        costs_(costs),
        slow_start_(slow_start),
        registry_(registry),
        load_(load),
        ejection_(ejection),
        cutoff_(cutoff),
        random_(random) {}

  // The worker to send to; null if no worker can start the request soon.
  Worker* choose(const RequestState& state, Time now);

  // Whether the request may go to the worker now, regardless of the worker's load.
  bool eligible(Worker& worker, const RequestState& state, Time now) const;
  // Whether several workers could run the request and each of them is unavailable: ejected for it,
  // or held back by a slow start after a restart that no endpoint list confirms.
  bool all_workers_unavailable(const RequestState& state, Time now) const;
  // The latest start at which the request can still meet its objective at the fastest worker.
  Time latest_useful_start(const RequestState& state) const;
  // Whether going to another zone can cost less than waiting in the longest permitted queue.
  bool cross_zone_may_pay_off(const RequestState& state) const;

  // Visits the pool's workers that are warming up and for which this dispatcher holds a budget,
  // then `count` workers drawn with replacement, weighted by capacity.
  template <class Visit>
  void sample(const WorkerPool& pool, std::size_t count, Time now, Visit visit) {
    for (Worker* worker : pool.workers) {
      if (slow_start_.warming_up(*worker, now) &&
          slow_start_.budget_share(*worker, registry_.mean_speed(), now) > 0)
        visit(*worker);
    }
    const auto& cumulative = pool.cumulative_capacity;
    if (pool.workers.empty() || cumulative.back() <= 0)
      return;
    std::uniform_real_distribution<double> point(0, cumulative.back());
    for (std::size_t i = 0; i < count; ++i) {
      const auto at = std::upper_bound(cumulative.begin(), cumulative.end() - 1, point(random_));
      visit(*pool.workers[at - cumulative.begin()]);
    }
  }

 private:
  struct Candidate {
    Worker* worker = nullptr;
    double delay_share = 1;  // of the request's slack; without a worker, the least one considered
    double relative_load = 0;
  };
  struct Round {
    bool remote;  // in another zone
    bool short_pool;
    double max_delay_share;
  };

  Candidate best_candidate(const RequestState& state, bool remote, Time now);
  void consider(Worker& worker, const RequestState& state, const Round& round, Time now,
                Candidate& best);
  bool can_run(const Worker& worker, const RequestState& state) const;
  // Whether the request has an open attempt, or may be sent to a worker that can run it and at
  // which none of its attempts ended by a connection reset.
  bool another_may_run(const RequestState& state, Time now) const;
  double cross_zone_cost(const RequestState& state) const;

  // Visits all workers of the pool, those whose load was checked for this request, or a sample.
  template <class Visit>
  void visit_candidates(const RequestState& state, const WorkerPool& pool, Time now, Visit visit) {
    const std::size_t sample_size = registry_.sample_size();
    const bool restricted = state.class_settings.kind >= 0 || state.any_may_have_run();
    const bool all = !registry_.uses_sampling() || restricted || sample_size >= pool.workers.size();
    if (!all && state.checked_workers.empty()) {
      sample(pool, sample_size, now, visit);
      return;
    }
    for (Worker* worker : all ? pool.workers : state.checked_workers)
      visit(*worker);
  }

  const Settings& settings_;
  const CostEstimator& costs_;
  const SlowStart& slow_start_;
  const WorkerRegistry& registry_;
  LoadEstimator& load_;
  const OutlierEjection& ejection_;
  const SizeCutoff& cutoff_;
  std::mt19937_64& random_;
};

}  // namespace dispatcher::scheduling

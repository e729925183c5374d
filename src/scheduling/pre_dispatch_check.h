// Health checks of candidate workers before a request is dispatched in a sampled fleet.
#pragma once

#include <cstddef>
#include <variant>

#include "dispatcher/scheduling/types.h"
#include "scheduling/candidate_selector.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/load_estimator.h"
#include "scheduling/outlier_ejection.h"
#include "scheduling/request_state.h"
#include "scheduling/size_cutoff.h"
#include "scheduling/slow_start.h"
#include "scheduling/timer_queue.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// In a sampled fleet a dispatcher does not know the current load of most workers. Before it sends a
// request, it therefore checks the health of a few workers and sends to the first one that has
// room. It tries the request's pool in the local zone, then in other zones, then the other pool. A
// health check costs far less than the wait that it avoids. A worker that does not answer within a
// few ms is considered busy.
//
// Affinity: workers whose load is known from gossip are preferred. Among those that have room, the
// request goes to the one with the least work.
class PreDispatchCheck {
 public:
  struct SendTo {
    Worker* worker;
  };
  struct Waiting {};        // for responses to health checks
  struct NotApplicable {};  // no check is due, or all rounds are over
  using Result = std::variant<SendTo, Waiting, NotApplicable>;

  // All references must outlive this object.
  PreDispatchCheck(const Settings& settings, TimerQueue& timers, const CostEstimator& costs,
                   const SlowStart& slow_start, const WorkerRegistry& registry,
                   const LoadEstimator& load, OutlierEjection& ejection, const SizeCutoff& cutoff,
                   CandidateSelector& selector)
      : settings_(settings),
        timers_(timers),
        costs_(costs),
        slow_start_(slow_start),
        registry_(registry),
        load_(load),
        ejection_(ejection),
        cutoff_(cutoff),
        selector_(selector) {}

  // Runs the next round of checks, and further ones as long as no worker needs a health check.
  Result run(RequestState& state, Time now);

 private:
  void add_workers(RequestState& state, int round, Time now);
  Worker* best_with_gossip(const RequestState& state, Time now) const;
  bool load_known(const Worker& worker, Time now) const;

  const Settings& settings_;
  TimerQueue& timers_;
  const CostEstimator& costs_;
  const SlowStart& slow_start_;
  const WorkerRegistry& registry_;
  const LoadEstimator& load_;
  OutlierEjection& ejection_;
  const SizeCutoff& cutoff_;
  CandidateSelector& selector_;
};

}  // namespace dispatcher::scheduling

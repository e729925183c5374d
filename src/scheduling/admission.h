// What is decided about a request when it arrives: its expected work, deadlines and quota.
#pragma once

#include <random>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/request_state.h"
#include "scheduling/retry_budget.h"
#include "scheduling/tenant_quota.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// Short timeout: a client's repeat comes with a shorter timeout than a first try, and the
// difference is time already lost of the latency objective. Where that leaves no time at all, the
// request may as well be a first try with a short timeout: it goes where it delays no other. That
// may hurt when repeats of a long overload find free slots.
//
// Over quota: a request beyond its tenant's quota has a low priority. It goes where it delays no
// other and a slot stays free beside it, and after all others that are pending.
class Admission {
 public:
  // All references must outlive this object.
  Admission(const Settings& settings, CostEstimator& costs, RetryBudget& budget, TenantQuota& quota,
            const WorkerRegistry& registry, std::mt19937_64& random)
      : settings_(settings),
        costs_(costs),
        budget_(budget),
        quota_(quota),
        registry_(registry),
        random_(random) {}

  // The class of the request must be among those of the settings.
  RequestState admit(const Request& request, Time now);

 private:
  void set_deadlines(RequestState& state, ClassCosts& costs, Time now) const;

  const Settings& settings_;
  CostEstimator& costs_;
  RetryBudget& budget_;
  TenantQuota& quota_;
  const WorkerRegistry& registry_;
  std::mt19937_64& random_;
};

}  // namespace dispatcher::scheduling

// Decisions made when a request arrives: its expected work, deadlines and quota.
#pragma once

#include <random>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/request_state.h"
#include "scheduling/retry_budget.h"
#include "scheduling/tenant_quota.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// Short timeout: when a client repeats a request, its timeout is shorter than that of the first
// try, and the difference is the part of the latency objective that has already elapsed. If that
// leaves no time at all, the request may instead be a first try with a short timeout. It is treated
// as late: it only goes where it delays no other request. The cost of this rule is that repeats
// from a long overload may occupy free slots.
//
// Over quota: a request beyond its tenant's quota has low priority. It is sent after all other
// pending requests, and only where it delays no other request and leaves a slot free.
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

  // `request.job_class` must be a valid index into the classes of the settings.
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

// Enforces this dispatcher's share of the tenant quotas.
#pragma once

#include <cstddef>
#include <vector>

#include "dispatcher/scheduling/types.h"
#include "scheduling/decaying_count.h"

namespace dispatcher::scheduling {

// A token bucket per tenant. Quotas are in requests per second, summed over all dispatchers. This
// dispatcher's share of each quota is its own request rate divided by the sum of all quotas: if all
// tenants use their full quotas, that is its share of the traffic. If the other tenants together
// send more than that, clients have moved here from another dispatcher, and the share grows.
//
// A request over quota has a lower priority. This is too strict for a short time after the clients
// of a single tenant have moved to another dispatcher, whose share of the traffic is not yet known.
class TenantQuota {
 public:
  // `settings` must outlive this object; call apply_settings() initially and after each change.
  explicit TenantQuota(const Settings& settings) : settings_(settings) {}

  void apply_settings();
  // Charges a request to its tenant's quota; returns true, without taking a token, if it is over
  // quota. `work_ms` is its slot-weighted work: requests far heavier than the mean may borrow from
  // the tenant's future tokens.
  bool charge(Time now, std::size_t tenant, double work_ms, double mean_work_ms);

 private:
  struct Tenant {
    double quota_per_s = 0;
    double tokens = 0;
    Time refilled_at{};
    DecayingCount recent;
  };

  double update_traffic_fraction(Time now);

  const Settings& settings_;
  std::vector<Tenant> tenants_;
  double quota_sum_per_s_ = 0;
  double traffic_ = 0;             // requests, exponentially decayed
  double traffic_duration_s_ = 0;  // the time in which they arrived, decayed likewise
  Time traffic_at_{};
  DecayingCount recent_;
};

}  // namespace dispatcher::scheduling

#include "scheduling/tenant_quota.h"

#include <algorithm>
#include <cmath>

#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

constexpr double kBurstSeconds = 2;  // seconds' worth of a tenant's quota that may arrive at once
constexpr double kMinBurstRequests = 2;
constexpr double kHeavyWorkFactor = 2;  // times the mean work; a heavier request may borrow
constexpr double kBorrowedRequests = 3;
constexpr Duration kTrafficTimeConstant = std::chrono::seconds(60);
constexpr double kPriorSeconds = 5;  // of an even share of the traffic, assumed as already seen
constexpr Duration kRelocationTimeConstant = std::chrono::seconds(4);

}  // namespace

void TenantQuota::apply_settings() {
  quota_sum_per_s_ = 0;
  tenants_.resize(settings_.tenant_quotas.size());
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    tenants_[i].quota_per_s = settings_.tenant_quotas[i];
    quota_sum_per_s_ += tenants_[i].quota_per_s;
  }
}

double TenantQuota::update_traffic_fraction(Time now) {
  if (traffic_at_ == Time{})
    traffic_at_ = now;
  const double keep = std::exp(-((now - traffic_at_) / kTrafficTimeConstant));
  traffic_ = keep * traffic_ + 1;
  traffic_duration_s_ = keep * traffic_duration_s_ + (1 - keep) * seconds(kTrafficTimeConstant);
  traffic_at_ = now;
  const double even_rate = quota_sum_per_s_ / settings_.dispatchers;
  return (traffic_ + kPriorSeconds * even_rate) / (traffic_duration_s_ + kPriorSeconds) /
         quota_sum_per_s_;
}

bool TenantQuota::charge(Time now, std::size_t tenant_index, double work_ms, double mean_work_ms) {
  if (tenant_index >= tenants_.size() || tenants_[tenant_index].quota_per_s <= 0 ||
      settings_.over_quota_weight >= 1)
    return false;
  double fraction = update_traffic_fraction(now);
  Tenant& tenant = tenants_[tenant_index];
  recent_.decay(now, kRelocationTimeConstant);
  tenant.recent.decay(now, kRelocationTimeConstant);
  const double rate_of_others =
      (recent_.value() - tenant.recent.value()) / seconds(kRelocationTimeConstant);
  recent_.add(1);
  tenant.recent.add(1);
  if (tenant.quota_per_s < quota_sum_per_s_)
    fraction = std::max(fraction, rate_of_others / (quota_sum_per_s_ - tenant.quota_per_s));
  const double rate = tenant.quota_per_s * fraction;
  const double burst = std::max(kMinBurstRequests, kBurstSeconds * rate);
  tenant.tokens = tenant.refilled_at == Time{}
                      ? burst
                      : std::min(burst, tenant.tokens + rate * seconds(now - tenant.refilled_at));
  tenant.refilled_at = now;
  const double needed = work_ms > kHeavyWorkFactor * mean_work_ms ? -kBorrowedRequests : 1;
  const bool over_quota = tenant.tokens < needed;
  if (!over_quota)
    tenant.tokens -= 1;
  return over_quota;
}

}  // namespace dispatcher::scheduling

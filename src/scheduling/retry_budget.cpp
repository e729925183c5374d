#include "scheduling/retry_budget.h"

#include <algorithm>

namespace dispatcher::scheduling {
namespace {

constexpr Duration kTrafficTimeConstant = std::chrono::seconds(60);
constexpr double kMaxHedgeFraction = 0.1;          // of the recent requests
constexpr double kAttemptsReservedForRetries = 1;  // not available to hedges
constexpr double kRoundingToleranceAttempts = 1e-9;

}  // namespace

void RetryBudget::on_request_received(Time now) {
  if (!settings_.retry_budget_window)
    return;
  trim(now);
  received_.push_back(now);
}

void RetryBudget::on_request_accepted(Time now) {
  recent_requests_.decay(now, kTrafficTimeConstant);
  recent_requests_.add(1);
}

void RetryBudget::on_extra_attempt(Time now) {
  if (settings_.retry_budget_window)
    extra_attempts_.push_back(now);
}

void RetryBudget::on_extra_attempt_not_sent(Time at) {
  const auto found = std::ranges::find(extra_attempts_, at);
  if (found != extra_attempts_.end())
    extra_attempts_.erase(found);
}

bool RetryBudget::allows_retry(Time now) {
  return allows(now, 0);
}

bool RetryBudget::allows_hedge(Time now, double immediate_start_fraction) {
  const double fraction = settings_.reports == LoadReportMode::Off
                              ? kMaxHedgeFraction * std::max(0.0, 2 * immediate_start_fraction - 1)
                              : kMaxHedgeFraction;
  const double hedges = recent_hedges_.decay(now, kTrafficTimeConstant);
  if (hedges >= 1 + fraction * recent_requests_.decay(now, kTrafficTimeConstant))
    return false;
  return allows(now, kAttemptsReservedForRetries);
}

void RetryBudget::trim(Time now) {
  const Time start = now - *settings_.retry_budget_window;
  while (!received_.empty() && received_.front() <= start + 2 * settings_.tick)
    received_.pop_front();
  while (!extra_attempts_.empty() && extra_attempts_.front() < start - 2 * settings_.tick)
    extra_attempts_.pop_front();
}

bool RetryBudget::allows(Time now, double reserved) {
  if (!settings_.retry_budget_window)
    return true;
  trim(now);
  const double allowed = *settings_.retry_budget_free +
                         *settings_.retry_budget_ratio * static_cast<double>(received_.size());
  return static_cast<double>(extra_attempts_.size()) + 1 + reserved <=
         allowed + kRoundingToleranceAttempts;
}

}  // namespace dispatcher::scheduling

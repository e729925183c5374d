// Limits on attempts beyond a request's first one: the retry budget and the hedging allowance.
#pragma once

#include <deque>

#include "dispatcher/scheduling/types.h"
#include "scheduling/decaying_count.h"

namespace dispatcher::scheduling {

// Retry budget: within every sliding window of length `retry_budget_window`, retries and hedges
// together number at most `retry_budget_free` plus `retry_budget_ratio` times the requests received
// in the window. Requests leave the window two ticks early and attempts two ticks late, because
// both are timestamped when they are handled rather than when they happen. A hedge must leave one
// attempt in the budget for a retry after a failure.
//
// Hedging allowance: hedges are limited to one plus a fraction of the recent requests, so that they
// cannot amplify an overload. Without load reports the fraction shrinks as more requests wait
// before they start, down to zero when half of them do.
class RetryBudget {
 public:
  // `settings` must outlive the budget and may change between calls.
  explicit RetryBudget(const Settings& settings) : settings_(settings) {}

  void on_request_received(Time now);
  void on_request_accepted(Time now);
  void on_hedge() { recent_hedges_.add(1); }  // right after allows_hedge() returned true
  void on_extra_attempt(Time now);            // a retry or a hedge was sent
  void on_extra_attempt_not_sent(Time at);    // undoes on_extra_attempt(at)

  bool allows_retry(Time now);
  // `immediate_start_fraction`: the fraction of recent requests that started without waiting.
  bool allows_hedge(Time now, double immediate_start_fraction);

 private:
  void trim(Time now);
  bool allows(Time now, double reserved);

  const Settings& settings_;
  std::deque<Time> received_;        // requests of the last window
  std::deque<Time> extra_attempts_;  // retries and hedges of the last window
  DecayingCount recent_requests_;
  DecayingCount recent_hedges_;
};

}  // namespace dispatcher::scheduling

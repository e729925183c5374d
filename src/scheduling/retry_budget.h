// Limits on attempts beyond a request's first: the retry budget and the hedging allowance.
#pragma once

#include <deque>

#include "dispatcher/scheduling/types.h"
#include "scheduling/decaying_count.h"

namespace dispatcher::scheduling {

// The retry budget holds over every sliding window of `retry_budget_window`: retries and hedges
// together number at most `retry_budget_free` plus `retry_budget_ratio` times the requests received
// in it. Requests leave the window two ticks early and attempts two ticks late, since both are
// counted when they are handled and not when they happen. A hedge leaves one attempt in the budget
// for a retry after a failure.
//
// The hedging allowance bounds hedges to a fraction of the recent requests, so that hedges cannot
// feed an overload. Without load reports it shrinks as requests wait to start, down to none when
// half of them wait.
class RetryBudget {
 public:
  // `settings` must outlive the budget and may change between calls.
  explicit RetryBudget(const Settings& settings) : settings_(settings) {}

  void on_request_received(Time now);
  void on_request_accepted(Time now);
  void on_hedge() { recent_hedges_.add(1); }  // just allowed by allows_hedge()
  void on_extra_attempt(Time now);            // a retry or a hedge was sent
  void on_extra_attempt_not_sent(Time at);    // the one counted at `at` never left

  bool allows_retry(Time now);
  // `immediate_start_fraction`: of recent requests, those that started without waiting.
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

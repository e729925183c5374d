// The retry budget: attempts beyond the first of a request, counted in a sliding window.
#include <cmath>

#include "scheduling/retry_budget.h"
#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

Settings budget(double free, double share, double window) {
  Settings config = settings();
  config.retry_budget_free = free;
  config.retry_budget_ratio = share;
  config.retry_budget_window = Duration(window);
  config.max_attempts = 20;
  return config;
}

// Sends `id`, ends each of its attempts by `outcome`, and counts the attempts beyond the first.
int count_retries(Scene& scene, RequestId id, Outcome outcome) {
  scene.request(id, 10);
  int retries = -1;
  for (int attempt = 0; attempt < 20 && !scene.sent_to(id).empty(); ++attempt, ++retries)
    scene.end(id, attempt, outcome);
  return retries;
}

const std::vector<std::string> kEndpoints{"a", "b", "c", "d", "e", "f", "g", "h",
                                          "i", "j", "k", "l", "m", "n", "o", "p"};

TEST(RetryBudgetRule, StartsWithTheFreeAttemptsAndItsRatioAlone) {
  for (Outcome outcome : {Outcome::Rejected, Outcome::ConnectFailed}) {
    Scene scene(budget(2, 0.5, 1000));
    scene.list(worker_entries(scene, kEndpoints));
    EXPECT_EQ(count_retries(scene, 1, outcome), 2);  // 2 + 0.5 x 1, rounded down
    EXPECT_EQ(count_retries(scene, 2, outcome), 1);  // 2 + 0.5 x 2
  }
}

TEST(RetryBudgetRule, HasNoLimitWithoutTheSetting) {
  Scene scene(settings());
  scene.list(worker_entries(scene, kEndpoints));
  EXPECT_EQ(count_retries(scene, 1, Outcome::Rejected), 3);  // max_attempts alone
}

TEST(RetryBudgetRule, DoesNotCountAttemptsThatWereNotSent) {
  Scene scene(budget(1, 0, 1000));
  scene.list(worker_entries(scene, kEndpoints));
  EXPECT_GT(count_retries(scene, 1, Outcome::NotSent), 1);
}

TEST(RetryBudgetRule, CountsRejectedRequestsAsReceived) {
  Scene scene(budget(0, 0.25, 1000));
  scene.list(worker_entries(scene, kEndpoints));
  for (RequestId id = 10; id < 17; ++id) {
    scene.request(id, 10, 0);  // no time left: answered at once
    EXPECT_TRUE(scene.answered(id, ActionKind::Reject));
  }
  EXPECT_EQ(count_retries(scene, 1, Outcome::Rejected), 2);  // 0.25 x 8
}

TEST(RetryBudgetRule, ForgetsRequestsThatLeaveTheWindow) {
  Scene scene(budget(0, 0.25, 1000));
  scene.list(worker_entries(scene, kEndpoints));
  for (RequestId id = 10; id < 20; ++id)
    scene.request(id, 10, 0);
  scene.pass(1001);
  EXPECT_EQ(count_retries(scene, 1, Outcome::Rejected), 0);
}

TEST(RetryBudgetRule, CountsAttemptsUntilTheyLeaveTheWindow) {
  Scene scene(budget(1, 0, 1000));
  scene.list(worker_entries(scene, kEndpoints));
  EXPECT_EQ(count_retries(scene, 1, Outcome::Rejected), 1);
  scene.pass(999);
  EXPECT_EQ(count_retries(scene, 2, Outcome::Rejected), 0);
  scene.pass(10);
  EXPECT_EQ(count_retries(scene, 3, Outcome::Rejected), 1);
}

TEST(RetryBudgetRule, RefusesInvalidSettings) {
  std::vector<Action> out;
  for (auto spoil : {+[](Settings& config) { config.retry_budget_window.reset(); },
                     +[](Settings& config) { config.retry_budget_free = -1; },
                     +[](Settings& config) { config.retry_budget_ratio = NAN; },
                     +[](Settings& config) {
                       config.retry_budget_window = Duration(INFINITY);
                     }}) {
    Settings config = budget(1, 0.1, 1000);
    spoil(config);
    EXPECT_THROW(Scheduler(config, Time{}, out), std::invalid_argument);
  }
}

TEST(RetryBudget, AHedgeLeavesOneAttemptForARetry) {
  const Settings set = budget(1, 0, 1000);
  RetryBudget retry_budget(set);
  const Time now{Duration(1000000)};
  EXPECT_TRUE(retry_budget.allows_retry(now));
  EXPECT_FALSE(retry_budget.allows_hedge(now, 1));
  retry_budget.on_extra_attempt(now);
  EXPECT_FALSE(retry_budget.allows_retry(now));
  retry_budget.on_extra_attempt_not_sent(now);
  EXPECT_TRUE(retry_budget.allows_retry(now));
}

TEST(RetryBudget, HedgesAreATenthOfTheRequestsAndOne) {
  Settings set = settings();
  set.reports = LoadReportMode::Inline;
  RetryBudget retry_budget(set);
  const Time now{Duration(1000000)};
  for (int i = 0; i < 10; ++i)
    retry_budget.on_request_accepted(now);
  EXPECT_TRUE(retry_budget.allows_hedge(now, 0));
  retry_budget.on_hedge();
  EXPECT_TRUE(retry_budget.allows_hedge(now, 0));
  retry_budget.on_hedge();
  EXPECT_FALSE(retry_budget.allows_hedge(now, 0));
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

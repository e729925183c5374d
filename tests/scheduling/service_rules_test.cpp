// Final answers, idempotency, draining and endpoint polling, at the boundaries of their rules.
#include <algorithm>
#include <numeric>
#include <vector>

#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

TEST(FinalAnswer, PendingRequestIsRejectedBeforeTheClientTimesOut) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({});
  scene.request(1, 100, 800);
  EXPECT_TRUE(scene.sent_to(1).empty());
  scene.pass(799);
  EXPECT_TRUE(scene.answered(1, ActionKind::Reject));
  EXPECT_EQ(scene.scheduler.open_requests(), 0U);
}

TEST(FinalAnswer, RequestThatMayHaveRunFailsInsteadAndOnlyOnce) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.cancellation_allowed = false;
  Scene scene(set);
  scene.list({scene.worker("a")});
  scene.request(1, 100, 800);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.started(1);
  scene.pass(799);
  EXPECT_EQ(scene.of(ActionKind::Fail).size(), 1U);
  EXPECT_TRUE(scene.of(ActionKind::Reject).empty());
  scene.end(1, 0, Outcome::TimedOut, true);
  EXPECT_TRUE(scene.of(ActionKind::Fail).empty() && scene.of(ActionKind::Send).empty());
  scene.pass(2000);
  EXPECT_TRUE(scene.of(ActionKind::Fail).empty() && scene.of(ActionKind::Reject).empty());
}

TEST(FinalAnswer, TimersAtFractionsOfAMillisecondAreNotLost) {
  Scene scene(settings());
  scene.now += Duration(0.4);
  scene.list({});
  scene.request(1, 100, 500.3);
  scene.now += Duration(0.2);
  scene.pass(501);
  EXPECT_TRUE(scene.answered(1, ActionKind::Reject));
}

TEST(FinalAnswer, NothingIsSentForAnEndedRequest) {
  Scene scene(settings());
  scene.list({});
  scene.request(1, 100);
  scene.actions.clear();
  scene.scheduler.on_client_disconnected(scene.now, 1, scene.actions);
  scene.scheduler.on_client_disconnected(scene.now, 1, scene.actions);
  scene.list({scene.worker("a")});
  scene.pass(11000);
  EXPECT_TRUE(scene.of(ActionKind::Send).empty() && scene.of(ActionKind::Reject).empty());
}

struct RetryCase {
  Idempotency idempotency;
  DeduplicationScope deduplication_scope;
  Outcome outcome;
  int zone;
  int cell;  // of the only other worker; the first is in zone 0, cell 0
  bool retried;
};

class IdempotencyRules : public ::testing::TestWithParam<RetryCase> {};

TEST_P(IdempotencyRules, RetriesOnlyWhereNothingCanRunTwice) {
  RetryCase param = GetParam();
  Scene scene(settings(param.idempotency, param.deduplication_scope));
  scene.list({scene.worker("a")});
  scene.request(1, 100);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.list(
      {scene.worker("a", 0, 0, Readiness::Draining), scene.worker("b", param.zone, param.cell)});
  scene.end(1, 0, param.outcome);
  EXPECT_EQ(scene.sent_to(1), param.retried ? "b" : "");
  bool may_have_run = param.outcome != Outcome::Rejected && param.outcome != Outcome::ConnectFailed;
  if (!param.retried && may_have_run && param.idempotency != Idempotency::Idempotent) {
    EXPECT_TRUE(scene.of(ActionKind::Reject).empty()) << "a refusal would promise that nothing ran";
  }
}

INSTANTIATE_TEST_SUITE_P(
    All, IdempotencyRules,
    ::testing::Values(RetryCase{Idempotency::Idempotent, DeduplicationScope::All,
                                Outcome::ConnectionReset, 1, 1, true},
                      RetryCase{Idempotency::NonIdempotent, DeduplicationScope::All,
                                Outcome::ConnectionReset, 0, 0, false},
                      RetryCase{Idempotency::NonIdempotent, DeduplicationScope::All,
                                Outcome::Failure, 0, 0, false},
                      RetryCase{Idempotency::NonIdempotent, DeduplicationScope::All,
                                Outcome::Cancelled, 0, 0, false},
                      RetryCase{Idempotency::NonIdempotent, DeduplicationScope::All,
                                Outcome::ConnectFailed, 0, 0, true},
                      RetryCase{Idempotency::NonIdempotent, DeduplicationScope::All,
                                Outcome::Rejected, 0, 0, true},
                      RetryCase{Idempotency::KeyedIdempotent, DeduplicationScope::All,
                                Outcome::ConnectionReset, 1, 1, true},
                      RetryCase{Idempotency::KeyedIdempotent, DeduplicationScope::Zone,
                                Outcome::ConnectionReset, 0, 1, true},
                      RetryCase{Idempotency::KeyedIdempotent, DeduplicationScope::Zone,
                                Outcome::ConnectionReset, 1, 1, false},
                      RetryCase{Idempotency::KeyedIdempotent, DeduplicationScope::Cell,
                                Outcome::ConnectionReset, 0, 0, true},
                      RetryCase{Idempotency::KeyedIdempotent, DeduplicationScope::Cell,
                                Outcome::ConnectionReset, 0, 1, false},
                      RetryCase{Idempotency::KeyedIdempotent, DeduplicationScope::Cell,
                                Outcome::ConnectFailed, 1, 1, true}));

TEST(IdempotencyRules, KeyedIsNotRetriedAfterTheDeduplicationWindow) {
  for (double waited : {4000.0, 5001.0}) {
    Settings set = settings(Idempotency::KeyedIdempotent, DeduplicationScope::All);
    set.classes[0].latency_objective = Duration(9000);
    Scene scene(set);
    scene.list({scene.worker("a")});
    scene.request(1, 100);
    ASSERT_EQ(scene.sent_to(1), "a");
    scene.started(1);
    scene.pass(waited);
    scene.list({scene.worker("a", 0, 0, Readiness::Draining), scene.worker("b")});
    scene.end(1, 0, Outcome::ConnectionReset);
    EXPECT_EQ(!scene.sent_to(1).empty(), waited < 5000) << waited;
  }
}

TEST(IdempotencyRules, AttemptsStopAtTheAllowedNumber) {
  Settings set = settings(Idempotency::Idempotent);
  set.max_attempts = 2;
  Scene scene(set);
  scene.list({scene.worker("a"), scene.worker("b"), scene.worker("c")});
  scene.request(1, 10);
  ASSERT_FALSE(scene.sent_to(1).empty());
  scene.end(1, 0, Outcome::ConnectFailed);
  ASSERT_FALSE(scene.sent_to(1).empty());
  scene.end(1, 1, Outcome::ConnectFailed);
  EXPECT_TRUE(scene.sent_to(1).empty());
  EXPECT_TRUE(scene.answered(1, ActionKind::Reject));
}

TEST(IdempotencyRules, OneAttemptAtATimeWhereHedgingIsNotAllowed) {
  Settings set = settings(Idempotency::Idempotent);
  set.hedging_allowed = false;
  Scene scene(set);
  scene.list({scene.worker("a"), scene.worker("b")});
  scene.request(1, 50);
  ASSERT_FALSE(scene.sent_to(1).empty());
  scene.pass(400);
  EXPECT_TRUE(scene.of(ActionKind::Send).empty());
}

TEST(Drain, NothingNewOnceDraining) {
  Scene scene(settings());
  scene.list({scene.worker("a")});
  scene.list({scene.worker("a", 0, 0, Readiness::Draining)}, EndpointUpdateKind::Delta);
  scene.request(1, 10);
  EXPECT_TRUE(scene.sent_to(1).empty());
  scene.list({scene.worker("b")},
             EndpointUpdateKind::Delta);  // the pending request goes to the newcomer
  EXPECT_EQ(scene.sent_to(1), "b");
  scene.list({scene.worker("b", 0, 0, Readiness::Removed)}, EndpointUpdateKind::Delta);
  scene.request(2, 10);
  EXPECT_TRUE(scene.sent_to(2).empty());
}

TEST(Drain, ASnapshotRemovesWhatItDoesNotList) {
  Scene scene(settings());
  scene.list({scene.worker("a")});
  scene.list({});
  scene.request(1, 10);
  EXPECT_TRUE(scene.sent_to(1).empty());
}

TEST(EndpointWatch, WatchesAtStartAndAgainAfterFailuresInTime) {
  Settings set = settings();
  set.watch_required = true;
  set.poll_deadline = Duration(8000);
  Scene scene(set);
  scene.list({scene.worker("a")}, EndpointUpdateKind::Cached);
  EXPECT_EQ(scene.of(ActionKind::Watch).size(), 1U);
  for (int i = 0; i < 8; ++i) {
    scene.list({}, EndpointUpdateKind::Failed);
    EXPECT_TRUE(scene.of(ActionKind::Watch).empty()) << "must back off first";
    scene.pass(2100);
    EXPECT_EQ(scene.of(ActionKind::Watch).size(), 1U) << i;
  }
  scene.list({scene.worker("a")}, EndpointUpdateKind::Snapshot);
  scene.pass(20000);
  EXPECT_TRUE(scene.of(ActionKind::Watch).empty());
}

// A hundred dispatchers start together, and discovery fails every call. Returns how many call in
// each 100 ms of 20 s.
std::vector<int> watching_together(bool list_cached) {
  std::vector<int> calls(200);
  for (int index = 0; index < 100; ++index) {
    Settings set = settings();
    set.watch_required = true;
    set.poll_deadline = Duration(10000);
    set.dispatchers = 100;
    set.index = index;
    set.seed = 1000 + index;
    Scene scene(set);
    scene.list(std::vector<WorkerEntry>(list_cached ? 1 : 0, scene.worker("a")),
               EndpointUpdateKind::Cached);
    bool asked = !scene.of(ActionKind::Watch).empty();
    for (int& now : calls) {
      if (asked) {
        ++now;
        scene.list({}, EndpointUpdateKind::Failed);
      }
      scene.pass(100);
      asked = !scene.of(ActionKind::Watch).empty();
    }
  }
  return calls;
}

// Each dispatcher polls again within 1.5 s, as a change must be known 6 s after discovery has it,
// but never all at once.
TEST(EndpointWatch, AHundredDispatchersSpreadTheirCallsWithinTheTimeForAnUpdate) {
  std::vector<int> calls = watching_together(true);
  EXPECT_LE(*std::ranges::max_element(calls), 17);
  for (std::size_t second = 1; second < 19; ++second) {
    int asked = std::accumulate(calls.begin() + 10 * second, calls.begin() + 10 * second + 10, 0);
    EXPECT_LE(asked, 115) << second;
    EXPECT_GE(asked, 66) << second;
  }
  EXPECT_EQ(watching_together(false).front(), 100) << "a dispatcher without a list polls at once";
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

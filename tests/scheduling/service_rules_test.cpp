// The four rules at their boundaries, each at one dispatcher alone.
#include <cmath>
#include <numeric>

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

TEST(FinalAnswer, TimersAtFractionsOfAMillisecondAreNotLost) {  // found by the first score
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
  RetryCase p = GetParam();
  Scene scene(settings(p.idempotency, p.deduplication_scope));
  scene.list({scene.worker("a")});
  scene.request(1, 100);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.list({scene.worker("a", 0, 0, Readiness::Draining), scene.worker("b", p.zone, p.cell)});
  scene.end(1, 0, p.outcome);
  EXPECT_EQ(scene.sent_to(1), p.retried ? "b" : "");
  bool may_have_run = p.outcome != Outcome::Rejected && p.outcome != Outcome::ConnectFailed;
  if (!p.retried && may_have_run && p.idempotency != Idempotency::Idempotent) {
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

// A hundred dispatchers start together, and discovery fails every call. How many ask in each 100 ms
// of 20 scene?
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

// Each asks again within 1.5 s, as a change counts as told 6 s after discovery had it; but never
// all at once.
TEST(EndpointWatch, AHundredDispatchersSpreadTheirCallsWithinTheTimeForAnUpdate) {
  std::vector<int> calls = watching_together(true);
  EXPECT_LE(*std::ranges::max_element(calls), 17);
  for (std::size_t second = 1; second < 19; ++second) {
    int asked = std::accumulate(calls.begin() + 10 * second, calls.begin() + 10 * second + 10, 0);
    EXPECT_LE(asked, 115) << second;
    EXPECT_GE(asked, 66) << second;
  }
  EXPECT_EQ(watching_together(false).front(), 100) << "who holds no list asks at once";
}

// What each of `balancers` dispatchers sends to one starting worker, all with more work at hand
// than they may send. Each starts again every so many ms, as a process that knows nothing of the
// one before.
struct MostInASpan {
  double of_budget = 0;
  double of_fall = 0;  // of what the settings allow, N requests, and of N + 2 x root of N + 2
};
MostInASpan most_in_a_span(int dispatchers, double cost_hint, double restart_every = 1e9) {
  std::vector<std::pair<double, double>> sent;
  const Time begin{Duration(1000000)};
  for (int index = 0; index < dispatchers; ++index) {
    Settings set = settings(Idempotency::NonIdempotent);
    set.dispatchers = dispatchers;
    set.index = index;
    set.classes[0].latency_objective = Duration(1e6);
    set.classes[0].deadline = Duration(1e6);
    std::unique_ptr<Scene> s;
    auto note_sent = [&] {
      for (const Action& action : s->of(ActionKind::Send)) {
        sent.emplace_back((s->now - begin).count(), cost_hint);
        std::vector<Action> ignored;
        s->scheduler.on_attempt_end(s->now, {action.id, 0, true, "a", Outcome::Success, {}},
                                    ignored);
      }
    };
    RequestId id = 0;
    Time begun{};
    for (int step = 0; step < 200; ++step) {
      if (!s || s->now - begun >= Duration(restart_every)) {
        begun = s ? s->now : begin;
        s = std::make_unique<Scene>(set, begun);
        WorkerEntry starting = s->worker("a");
        starting.online_since = begin;
        s->list({starting});
      }
      s->request(++id, cost_hint, 1e6);
      note_sent();
      s->pass(50);
      note_sent();
    }
  }
  MostInASpan worst;
  for (auto [start, unused] : sent) {
    if (start >= 10000)
      continue;  // warm by then
    double total = 0;
    for (auto [at, work] : sent)
      total += at >= start && at < std::min(start + 1000, 10000.0) ? work : 0;
    double warm = 0.25 + 0.75 * std::min(1.0, start / 10000);
    double budget = 3 * 2 * warm * 1000;  // two slots at speed 1, as guessed before any report
    double n = budget / cost_hint;
    worst.of_budget = std::max(worst.of_budget, total / budget);
    worst.of_fall = std::max(worst.of_fall, total / cost_hint / (n + 2 * std::sqrt(n) + 2));
  }
  return worst;
}

TEST(SlowStartBudget, AllDispatchersTogetherStayWithinIt) {
  for (int dispatchers : {1, 2, 3, 7, 14}) {
    double used = most_in_a_span(dispatchers, 40).of_budget;
    EXPECT_LE(used, 1.0) << dispatchers;
    EXPECT_GT(used, 0.1) << dispatchers << ": a starting worker must get something";
  }
}

TEST(SlowStartBudget, ANewProcessLeavesAShareForItsPredecessorsSends) {
  for (int dispatchers : {1, 2, 3, 7, 14}) {
    for (double every : {1300, 1700, 2900}) {
      MostInASpan used = most_in_a_span(dispatchers, 40, every);
      EXPECT_LE(used.of_fall, 1.0) << dispatchers << " started again every " << every;
      EXPECT_LE(used.of_budget, 1.1)
          << dispatchers << " started again every " << every;  // it grows in a span
      EXPECT_GT(used.of_budget, 0.1) << dispatchers << ": a starting worker must get something";
    }
  }
}

TEST(SlowStartBudget, OneHeavyRequestDoesNotUseItUp) {
  EXPECT_LE(most_in_a_span(2, 900).of_budget, 1.0);
}

TEST(SlowStartBudget,
     ALoneDispatcherUsesNoThirdOfItOnOneRequest) {  // found by hunt: its hint may lie by
                                                    // a factor
  EXPECT_LE(most_in_a_span(1, 40).of_budget, 0.6);
  Settings set = settings(Idempotency::NonIdempotent);
  Scene scene(set);
  WorkerEntry starting = scene.worker("a");
  starting.online_since = scene.now;
  scene.list({starting});
  scene.request(1,
                510);  // of 3 x 0.25 x two slots x 1 scene = 1500 ms, of which half is given out;
                       // counted at 1.5
  EXPECT_TRUE(scene.sent_to(1).empty());
  scene.request(2, 100);
  EXPECT_EQ(scene.sent_to(2), "a");
}

// Found on a twin with one dispatcher: 27 short requests within a second pushed a starting worker
// over, though their hints were a twenty-fifth of what such requests take on average. A hint counts
// for no less than its class does.
TEST(SlowStartBudget, ManyShortHintsCountAsTheMeanOfTheirClass) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.classes[0].latency_objective = set.classes[0].deadline = Duration(1e6);
  Scene scene(set);
  WorkerEntry starting = scene.worker("a");
  starting.online_since = scene.now;
  scene.list({});
  for (RequestId id = 1; id <= 40; ++id)
    scene.request(id, 200, 1000);  // pending: they tell what the class takes
  scene.pass(1000);
  starting.online_since = scene.now;
  scene.list({starting});
  int sent = 0;
  for (RequestId id = 100; id < 140; ++id) {
    scene.request(id, 2, 1e6);
    if (scene.sent_to(id).empty())
      continue;
    scene.started(id);
    scene.end(id, 0, Outcome::Success, true);
    ++sent;
  }
  EXPECT_GT(sent, 0);
  EXPECT_LE(sent,
            20);  // each at the class's mean, which the short ones bring down; half of 1500 ms is
                  // given out
}

TEST(SlowStart, RestartUnderTheSameIdWarmsUpAgain) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.dispatchers = 4;
  set.index = 3;
  Scene scene(set);
  scene.list({scene.worker("a")});
  scene.request(1, 400);
  EXPECT_EQ(scene.sent_to(1), "a");
  scene.end(1, 0, Outcome::Success, true);
  WorkerEntry again = scene.worker("a");
  again.online_since = scene.now;
  scene.list({again}, EndpointUpdateKind::Delta);
  scene.request(2, 400);
  EXPECT_TRUE(scene.sent_to(2).empty());
  scene.pass(10001);
  scene.request(3, 400);
  EXPECT_EQ(scene.sent_to(3), "a");
}

TEST(SlowStart, RecoveredWorkerWarmsUpUntilShownOtherwise) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.health_checks_allowed = true;
  set.dispatchers = 4;
  Scene scene(set);
  scene.list({scene.worker("a")});
  scene.request(1, 10);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.end(1, 0, Outcome::ConnectionReset);
  scene.scheduler.on_health_check_result(scene.now, "a", Outcome::ConnectFailed, {}, scene.actions);
  scene.actions.clear();
  scene.pass(1100);
  ASSERT_EQ(scene.of(ActionKind::HealthCheck).size(), 1U);
  scene.actions.clear();
  scene.scheduler.on_health_check_result(scene.now, "a", Outcome::Success, {}, scene.actions);
  scene.request(2, 900);
  EXPECT_TRUE(scene.sent_to(2).empty());
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

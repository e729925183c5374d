// An end is reported that is of the open attempt or of an earlier one at the same worker.
#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

struct AmbiguousEnd : Scene {
  explicit AmbiguousEnd(const Settings& config) : Scene(config) {
    list({worker("a")});
    request(1, 20);
    EXPECT_EQ(sent_to(1), "a");
  }

  void report() {
    actions.clear();
    scheduler.on_ambiguous_end(now, 1, 0, actions);
  }
  // The cancellations among the actions, all of them to be confirmed.
  std::size_t confirmed_cancellations() {
    std::vector<Action> cancellations = of(ActionKind::Cancel);
    for (const Action& action : cancellations) {
      EXPECT_EQ(action.id, 1u);
      EXPECT_EQ(action.attempt, 0);
      EXPECT_TRUE(action.awaits_confirmation);
    }
    return cancellations.size();
  }
};

TEST(AnAmbiguousEnd, CancelsTheAttemptWhereAnotherMayFollow) {
  for (Idempotency idempotency : {Idempotency::Idempotent, Idempotency::KeyedIdempotent}) {
    AmbiguousEnd scene(settings(idempotency));
    scene.report();
    EXPECT_EQ(scene.confirmed_cancellations(), 1u);
    EXPECT_EQ(scene.actions.size(), 1u) << "nothing else, until the worker has confirmed";
    scene.actions.clear();
    scene.scheduler.on_attempt_end(
        scene.now,
        {.id = 1, .worker = "a", .outcome = Outcome::Cancelled, .reported_by_worker = true},
        scene.actions);
    EXPECT_EQ(scene.sent_to(1), "a");
  }
}

struct LastAttempt {
  const char* why;
  Settings config;
  Duration passed{0};  // before the report
};

// The attempt may still succeed, so it goes on where no other could take its place.
TEST(AnAmbiguousEnd, LeavesAnAttemptThatNoOtherMayFollow) {
  Settings one_attempt = settings();
  one_attempt.max_attempts = 1;
  Settings without_cancellation = settings();
  without_cancellation.cancellation_allowed = false;
  Settings keyed = settings(Idempotency::KeyedIdempotent);
  keyed.classes[0].latency_objective = Duration(9000);
  for (const LastAttempt& last :
       {LastAttempt{"not repeatable", settings(Idempotency::NonIdempotent)},
        LastAttempt{"the last attempt", one_attempt},
        LastAttempt{"no cancellation", without_cancellation},
        LastAttempt{"window over", keyed, Duration(5000)}}) {
    AmbiguousEnd scene(last.config);
    scene.started(1);
    scene.pass(last.passed.count());
    scene.report();
    EXPECT_TRUE(scene.actions.empty()) << last.why;
    scene.end(1, 0, Outcome::Success, /*final=*/true);
    EXPECT_EQ(scene.scheduler.open_requests(), 0u) << last.why;
  }
}

// The attempt has ended by the time, or the request is unknown.
TEST(AnAmbiguousEnd, IsIgnoredWithoutAnOpenAttempt) {
  AmbiguousEnd scene(settings());
  scene.end(1, 0, Outcome::Cancelled);
  scene.report();
  EXPECT_TRUE(scene.actions.empty());
  scene.scheduler.on_ambiguous_end(scene.now, 9, 0, scene.actions);
  EXPECT_TRUE(scene.actions.empty());
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

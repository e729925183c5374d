// A worker gets one attempt of a request at a time.
#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

const std::vector<Idempotency> kRepeatableClasses{Idempotency::Idempotent,
                                                  Idempotency::KeyedIdempotent};
// Ends after which the job may still run at the worker.
const std::vector<Outcome> kOutcomesWithoutStop{Outcome::TimedOut, Outcome::Cancelled};
// And a reset, which ends the attempt by the protocol, though the worker may not know of it.
const std::vector<Outcome> kUnconfirmedEnds{Outcome::TimedOut, Outcome::Cancelled,
                                            Outcome::ConnectionReset};

Settings with_health_checks(Idempotency idempotency) {
  Settings set = settings(idempotency, DeduplicationScope::All);
  set.health_checks_allowed = true;
  set.classes[0].latency_objective = Duration(3000);
  return set;
}

struct RepeatScene : Scene {
  explicit RepeatScene(Idempotency idempotency) : Scene(with_health_checks(idempotency)) {}

  void send_and_start() {
    request(1, 20);
    first_worker = sent_to(1);
    ASSERT_FALSE(first_worker.empty());
    started(1);
  }
  void recover(const std::string& name) {
    actions.clear();
    scheduler.on_health_check_result(now, name, Outcome::Success, {}, actions);
  }
  void end_at_worker(int attempt, Outcome outcome, bool reported_by_worker) {
    std::string named = attempt_worker.at({1, attempt});
    actions.clear();
    scheduler.on_attempt_end(now,
                             {.id = 1,
                              .attempt = attempt,
                              .worker = named,
                              .outcome = outcome,
                              .reported_by_worker = reported_by_worker},
                             actions);
  }

  std::string first_worker;
};

// Guards against a second copy at a worker where nothing confirms that the first has ended: its
// connection was reset, or the cancellation may not have arrived.
TEST(OneAttemptPerWorker, NoneFollowsWhereAnEarlierOneMayStillRun) {
  for (Idempotency idempotency : kRepeatableClasses) {
    for (Outcome outcome : kUnconfirmedEnds) {
      RepeatScene scene(idempotency);
      scene.list({scene.worker("a"), scene.worker("b")});
      scene.send_and_start();
      scene.pass(20);
      scene.end(1, 0, outcome);
      std::string second_worker = scene.sent_to(1);
      EXPECT_FALSE(second_worker.empty());
      EXPECT_NE(second_worker, scene.first_worker);
      scene.recover(scene.first_worker);
      EXPECT_EQ(scene.sent_to(1), "");
      for (int i = 0; i < 500; ++i) {
        scene.pass(1);
        EXPECT_EQ(scene.sent_to(1), "") << "a hedge, " << i << " ms later";
      }
      scene.end(1, 1, Outcome::Rejected);
      EXPECT_NE(scene.sent_to(1), scene.first_worker);
    }
  }
}

// Guards against a retry at the only worker while the first attempt may still run there.
TEST(OneAttemptPerWorker, ALoneWorkerThatMayStillRunItGetsNoRetry) {
  for (Idempotency idempotency : kRepeatableClasses) {
    for (Outcome outcome : kOutcomesWithoutStop) {
      RepeatScene scene(idempotency);
      scene.list({scene.worker("a")});
      scene.send_and_start();
      scene.end(1, 0, outcome);
      EXPECT_EQ(scene.sent_to(1), "");
      EXPECT_TRUE(scene.answered(1, ActionKind::Reject) || scene.answered(1, ActionKind::Fail));
    }
  }
}

// The outcome, and whether the worker itself has reported it.
struct EndAtWorker {
  Outcome outcome;
  bool reported_by_worker;
};

// A worker that has said that the job is over, or has shown that it never began, may get it again;
// a lone one also after a reset.
TEST(OneAttemptPerWorker, AnotherFollowsOnceTheFirstHasEndedAtTheWorker) {
  for (const EndAtWorker& end :
       {EndAtWorker{Outcome::ConnectionReset, true}, EndAtWorker{Outcome::ConnectionReset, false},
        EndAtWorker{Outcome::Cancelled, true}, EndAtWorker{Outcome::Rejected, false}}) {
    RepeatScene scene(Idempotency::Idempotent);
    scene.list({scene.worker("a")});
    scene.request(1, 20);
    ASSERT_EQ(scene.sent_to(1), "a");
    scene.end_at_worker(0, end.outcome, end.reported_by_worker);
    std::string sends = scene.sent_to(1);
    scene.recover("a");  // a reset has ejected it
    sends += scene.sent_to(1);
    scene.pass(1000);  // a worker that rejects is left alone for a moment
    sends += scene.sent_to(1);
    EXPECT_EQ(sends, "a") << static_cast<int>(end.outcome);
  }
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

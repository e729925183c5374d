// Ejection of a worker for the one job class that it fails.
#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

// Two non-idempotent classes and one worker, "a".
struct TwoClasses : Scene {
  TwoClasses() : Scene(two()) { list({worker("a")}); }
  static Settings two() {
    Settings set = settings(Idempotency::NonIdempotent);
    set.classes.push_back(set.classes[0]);
    for (ClassSettings& job_class : set.classes) {
      job_class.latency_objective = Duration(60000);
      job_class.deadline = Duration(60000);
    }
    return set;
  }
  // Submits a request; returns whether it was sent at once.
  bool goes(std::size_t job_class) {
    actions.clear();
    scheduler.on_request(now, {++last, job_class, Duration(60000), Duration(10)}, actions);
    return sent_to(last) == "a";
  }
  void serve(std::size_t job_class, Outcome outcome) {
    ASSERT_TRUE(goes(job_class));
    started(last);
    end(last, 0, outcome, outcome == Outcome::Success);
  }
  RequestId last = 0;
};

TEST(ClassEjection, AWorkerThatFailsOneClassIsEjectedForThatClassAlone) {
  TwoClasses scene;
  scene.serve(1, Outcome::Success);
  scene.serve(0, Outcome::Failure);
  EXPECT_FALSE(scene.goes(0));
  EXPECT_TRUE(scene.goes(1));
}

TEST(ClassEjection, LastsTwiceAsLongAfterASecondFailureAndEndsWithASuccess) {
  TwoClasses scene;
  scene.serve(0, Outcome::Failure);
  scene.pass(5001);
  scene.serve(0, Outcome::Failure);
  scene.pass(9000);
  EXPECT_FALSE(scene.goes(0));
  scene.pass(1001);  // the request pending above goes now
  ASSERT_EQ(scene.sent_to(scene.last), "a");
  scene.started(scene.last);
  scene.end(scene.last, 0, Outcome::Success, true);
  scene.serve(0, Outcome::Failure);
  scene.pass(5001);
  EXPECT_TRUE(scene.goes(0));
}

// Guards against a worker whose replies all break off midway and that is never ejected: the head of
// each counted as a success.
TEST(ClassEjection, AWorkerWhoseRepliesBreakOffIsEjectedForLongerEachTime) {
  TwoClasses scene;
  auto break_off = [&] {
    scene.serve(0, Outcome::Success);
    scene.scheduler.on_reply_broken(scene.now, "a", 0, scene.actions);
  };
  break_off();
  EXPECT_FALSE(scene.goes(0));
  scene.scheduler.on_client_disconnected(scene.now, scene.last, scene.actions);
  scene.serve(1, Outcome::Success);
  scene.pass(5001);
  break_off();
  scene.pass(9000);
  EXPECT_FALSE(scene.goes(0));
}

TEST(ClassEjection, AReplyThatBreaksOffAmongSuccessesIsChance) {
  TwoClasses scene;
  for (int i = 0; i < 4; ++i)
    scene.serve(0, Outcome::Success);
  scene.scheduler.on_reply_broken(scene.now, "a", 0, scene.actions);
  EXPECT_TRUE(scene.goes(0));
}

TEST(ClassEjection, ASingleFailureAmongSuccessesIsChance) {
  TwoClasses scene;
  for (int i = 0; i < 3; ++i)
    scene.serve(0, Outcome::Success);
  scene.serve(0, Outcome::Failure);
  scene.serve(0, Outcome::Failure);  // sent at once; the second failure in a row ejects
  EXPECT_FALSE(scene.goes(0));
}

// A rejected or cancelled attempt shows a busy worker, whatever the class.
TEST(ClassEjection, IsNoAnswerToOverload) {
  for (Outcome outcome : {Outcome::Rejected, Outcome::Cancelled}) {
    TwoClasses scene;
    ASSERT_TRUE(scene.goes(0));
    scene.end(scene.last, 0, outcome);
    scene.pass(1000);
    bool retried = !scene.sent_to(scene.last).empty();
    EXPECT_TRUE(retried || scene.goes(0)) << "long before an ejected worker would be tried again";
  }
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

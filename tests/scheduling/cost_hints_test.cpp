// Cost estimates where clients give no hints.
#include <string>

#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

// Without hints, the cost of a class can only be estimated from completed requests: a fixed guess
// of 100 ms would make a fleet that serves 500 ms requests reject nearly all of them.
TEST(CostHints, WithoutThemAClassCostsWhatItsEndsHaveShown) {
  Settings set = settings();
  set.classes[0].latency_objective = Duration(300);
  set.classes[0].objective_work_factor = 1.75;
  Scene scene(set);
  scene.list({scene.worker("a")});
  for (RequestId id = 10; id < 16; ++id) {
    scene.request(id, 0);
    ASSERT_EQ(scene.sent_to(id), "a");
    scene.started(id);
    scene.pass(500);
    scene.end(id, 0, Outcome::Success, true);
  }
  scene.fill("a", 0);
  scene.pass(100);
  scene.request(3, 0);
  EXPECT_EQ(scene.sent_to(3), "");
  scene.pass(400);  // its limit is 300 + 1.75 * 500 ms away
  EXPECT_FALSE(scene.answered(3, ActionKind::Reject));
  std::string went = scene.sent_to(3);  // into the queue there, or
  scene.end(1, 0, Outcome::Success, true);
  EXPECT_EQ(went + scene.sent_to(3), "a");
}

TEST(CostHints, WithoutThemAWorkerThatWarmsUpGetsOneRequestOfAClassWithoutEnds) {
  Scene scene(settings());
  WorkerEntry starting = scene.worker("a");
  starting.online_since = scene.now;
  scene.list({starting});
  int sent = 0;
  for (RequestId id = 1; id < 6; ++id) {
    scene.request(id, 0);
    if (scene.sent_to(id) == "a") {
      ++sent;
      scene.started(id);
    }
  }
  EXPECT_EQ(sent, 1);
}

// An attempt that a cancel does not stop would run without a client while the client retries, which
// would sustain an overload.
TEST(CostHints, WithoutThemAQueuedRequestIsNotAbandonedBeforeItsClientTimesOut) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({scene.worker("a")});
  scene.request(1, 0);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.pass(9000);
  EXPECT_FALSE(scene.answered(1, ActionKind::Fail));
  EXPECT_FALSE(scene.answered(1, ActionKind::Cancel));
}

// Each dispatcher sends a small share of the requests and has no load reports: a class of one size
// must not fill a single pool.
TEST(CostHints, WithoutThemASampledFleetUsesBothPools) {
  Settings set = settings();
  set.dispatchers = 100;
  Scene scene(set);
  auto ids = make_endpoints(40);
  scene.list(worker_entries(scene, ids));
  int in_short = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    scene.request(id, 0);
    std::string worker = scene.sent_to(id);
    ASSERT_FALSE(worker.empty());
    in_short += scene.scheduler.in_short_pool(worker) ? 1 : 0;
    scene.started(id);
    scene.pass(100);
    scene.end(id, 0, Outcome::Success, true);
  }
  EXPECT_GT(in_short, 15);
  EXPECT_LT(in_short, 45);
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

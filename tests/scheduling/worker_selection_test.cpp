// Short and long pools, the selection of a worker inside a pool, and zones.
#include <array>
#include <map>
#include <string>
#include <vector>

#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

TEST(Pools, HalfTheCapacityOfEachZoneIsShort) {
  Scene scene(settings());
  auto ids = make_endpoints(16);
  scene.list(worker_entries(scene, ids, 2));
  std::array<int, 2> shorts{};
  for (std::size_t i = 0; i < ids.size(); ++i)
    shorts[i % 2] += scene.scheduler.in_short_pool(ids[i]);
  EXPECT_EQ(shorts[0], 4);
  EXPECT_EQ(shorts[1], 4);
}

TEST(Pools, OneWorkerComingOrGoingMovesAtMostOneOther) {
  for (int gone = 0; gone < 12; ++gone) {
    Scene scene(settings());
    auto ids = make_endpoints(12);
    scene.list(worker_entries(scene, ids));
    std::vector<bool> before;
    before.reserve(ids.size());
    for (auto& id : ids)
      before.push_back(scene.scheduler.in_short_pool(id));
    scene.list({scene.worker(ids[gone], 0, 0, Readiness::Removed), scene.worker("10.9.9.9:7000")},
               EndpointUpdateKind::Delta);
    int moved = 0;
    for (int i = 0; i < 12; ++i)
      moved += i != gone && scene.scheduler.in_short_pool(ids[i]) != before[i];
    EXPECT_LE(moved, 1) << gone;
  }
}

TEST(Selection, ShortAndLongRequestsGoToTheirPools) {
  Scene scene(settings());
  auto ids = make_endpoints(8);
  scene.list(worker_entries(scene, ids));
  RequestId id = 0;
  for (int i = 0; i < 200; ++i) {  // fills the histogram; every request ends at once
    scene.request(++id, i % 10 == 0 ? 1000 : 10);
    ASSERT_FALSE(scene.sent_to(id).empty());
    scene.end(id, 0, Outcome::Success, true);
    scene.pass(50);
  }
  ASSERT_GT(scene.scheduler.cutoff_ms(), 10);
  ASSERT_LT(scene.scheduler.cutoff_ms(), 1000);
  scene.request(++id, 10);
  EXPECT_TRUE(scene.scheduler.in_short_pool(scene.sent_to(id)));
  scene.request(++id, 1000);
  EXPECT_FALSE(scene.scheduler.in_short_pool(scene.sent_to(id)));
}

TEST(Selection, LeastOwnOutstandingWorkInsideThePool) {
  Scene scene(settings());
  scene.list({scene.worker("a"), scene.worker("b"), scene.worker("c"), scene.worker("d")});
  std::map<RequestId, std::string> to;
  for (RequestId id = 1; id <= 4; ++id) {
    if (id == 3)
      scene.end(2, 0, Outcome::Success, true);  // its worker has the least work again
    scene.request(id, 100);
    to[id] = scene.sent_to(id);
    EXPECT_FALSE(scene.scheduler.in_short_pool(to[id])) << "requests of one size are all long";
  }
  EXPECT_NE(to[1], to[2]);
  EXPECT_EQ(to[3], to[2]);
  EXPECT_NE(to[4], "");
}

TEST(Selection, RequestsWithAKindAndLargeOnesGoToWorkersThatCanRunThem) {
  Settings set = settings();
  set.classes[0].kind = 1;
  set.reports = LoadReportMode::Inline;
  Scene scene(set);
  WorkerEntry other = scene.worker("a");
  WorkerEntry tied = scene.worker("b");
  tied.kind = 1;
  scene.list({other, tied});
  for (RequestId id = 1; id <= 2; ++id) {
    scene.request(id, 100);
    EXPECT_EQ(scene.sent_to(id), "b");
  }
  LoadReport report;
  report.free_slots = 1;
  scene.end(1, 0, Outcome::Success, true, report);
  scene.end(2, 0, Outcome::Success, true, report);
  scene.request(3, 100, 10000, 4);
  EXPECT_TRUE(scene.sent_to(3).empty())
      << "four slots do not fit on a worker that showed two at most";
}

TEST(Selection, AFreeSlotOfTheOtherPoolIsPreferredToAQueueInTheOwn) {
  Scene scene(settings());
  scene.list({scene.worker("a"), scene.worker("b")});
  std::map<std::string, int> at;
  for (RequestId id = 1; id <= 4;
       ++id) {  // requests of one size: one pool's; the queue would cost 0.2 of the slack
    scene.request(id, 100);
    ++at[scene.sent_to(id)];
  }
  EXPECT_EQ(at["a"], 2);
  EXPECT_EQ(at["b"], 2);
}

// Without hedges, a queued request cannot escape the requests ahead of it.
TEST(Selection, AQueueIsJoinedOnlyWhereAHedgeMayHelp) {
  for (bool hedges : {true, false}) {
    Settings set = settings();
    set.hedging_allowed = hedges;
    Scene scene(set);
    scene.list({scene.worker("a")});
    ASSERT_NO_FATAL_FAILURE(scene.fill("a", 100));
    scene.pass(60);
    scene.request(3, 400);
    EXPECT_EQ(scene.sent_to(3), hedges ? "a" : "");
    scene.end(1, 0, Outcome::Success, true);
    if (!hedges) {
      EXPECT_EQ(scene.sent_to(3), "a");
    }
  }
}

TEST(Zones, OwnZoneFirstAndAnotherWhenItIsFull) {
  Scene scene(settings());
  scene.list({scene.worker("near", 0), scene.worker("far", 1)});
  for (RequestId id : {1, 2}) {
    scene.request(id, 1000);
    EXPECT_EQ(scene.sent_to(id), "near");
    scene.started(id);
  }
  scene.request(3, 50);
  EXPECT_EQ(scene.sent_to(3), "far");
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

// Requests that wait in the scheduler: their order, early rejection and abandonment.
#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

TEST(Pending, ARequestWaitsWhileNoWorkerCanStartItSoon) {
  Scene scene(settings());
  scene.list({scene.worker("a")});
  ASSERT_NO_FATAL_FAILURE(scene.fill("a", 400));
  scene.request(3, 100);
  EXPECT_TRUE(scene.sent_to(3).empty());
  scene.end(1, 0, Outcome::Success, true);
  EXPECT_EQ(scene.sent_to(3), "a");
}

TEST(Pending, WhatCanNoLongerBeInTimeIsRejectedEarly) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({scene.worker("a")});
  ASSERT_NO_FATAL_FAILURE(scene.fill("a", 5000));
  scene.request(3, 100);  // wanted within 500 ms
  scene.pass(600);
  EXPECT_TRUE(scene.answered(3, ActionKind::Reject));
}

// Guards against requests that were rejected in the millisecond of their arrival, as no worker was
// known before the first endpoint list.
TEST(Pending, ARequestBeforeTheFirstEndpointListWaitsForItAsLongAsItCanBeInTime) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({}, EndpointUpdateKind::Cached);
  scene.request(1, 100);  // wanted within 500 ms
  scene.pass(400);
  EXPECT_FALSE(scene.answered(1, ActionKind::Reject));
  scene.list({}, EndpointUpdateKind::Failed);
  scene.list({scene.worker("a")});
  EXPECT_EQ(scene.sent_to(1), "a");
}

TEST(Pending, ARequestThatNoEndpointListReachesInTimeIsRejected) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({}, EndpointUpdateKind::Cached);
  scene.request(1, 100);
  scene.pass(600);
  EXPECT_TRUE(scene.answered(1, ActionKind::Reject));
}

TEST(Pending, LateRequestsStayWhereLateAnswersHaveAWeight) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.classes[0].late_weight = 0.5;
  Scene scene(set);
  scene.list({scene.worker("a")});
  ASSERT_NO_FATAL_FAILURE(scene.fill("a", 5000));
  scene.request(3, 100);
  scene.pass(1000);
  EXPECT_FALSE(scene.answered(3, ActionKind::Reject));
  scene.end(1, 0, Outcome::Success, true);
  EXPECT_EQ(scene.sent_to(3), "a");
}

// Guards the priority weights: requests of ten times the weight were pending behind the others
// until the queue was empty.
TEST(Pending, TheHighestWeightForItsWorkGoesFirstAndLateOnesByTheRestOfTheirWeight) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.classes.push_back(set.classes[0]);
  set.classes[0].late_weight = 0.2;
  set.classes[1].late_weight = 0.3;
  set.classes[1].priority_weight = 10;
  set.classes[1].latency_objective = Duration(800);
  Scene scene(set);
  scene.list({scene.worker("a")});
  ASSERT_NO_FATAL_FAILURE(scene.fill("a", 5000));
  auto enqueue = [&](RequestId id, std::size_t job_class) {
    scene.actions.clear();
    Request arriving{
        .id = id, .job_class = job_class, .timeout = Duration(10000), .cost_hint = Duration(100)};
    scene.scheduler.on_request(scene.now, arriving, scene.actions);
    ASSERT_TRUE(scene.sent_to(id).empty());
  };
  enqueue(3, 1);
  scene.pass(1500);  // late now: weight 3 still
  enqueue(4, 0);     // weight 1, and has the earliest deadline
  enqueue(5, 1);     // weight 10
  for (RequestId first : {5, 3, 4}) {
    scene.end(first == 5 ? 1 : first == 3 ? 5 : 3, 0, Outcome::Success, true);
    EXPECT_EQ(scene.sent_to(first), "a");
  }
}

TEST(Pending, QueuedRequestsThatCanOnlyBeLateAreAbandonedAndCancelled) {  // incident ic10efd
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({scene.worker("a")});
  scene.request(1, 100);
  ASSERT_EQ(scene.sent_to(1), "a");  // no start note: other requests are ahead
  scene.pass(600);
  EXPECT_TRUE(scene.answered(1, ActionKind::Fail));
  EXPECT_TRUE(scene.answered(1, ActionKind::Cancel));
}

TEST(Pending, RunningRequestsAreNotCancelled) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({scene.worker("a")});
  scene.request(1, 100);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.started(1);
  scene.pass(3000);
  EXPECT_FALSE(scene.answered(1, ActionKind::Fail));
}

// Guards against a request that stays pending until its client gives up, beside an idle worker: its
// timer had gone off before a latest start that had moved in the meantime.
TEST(Pending, ALatestStartThatMovesIsWaitedForAgain) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.classes[0].late_weight = 0.5;
  Scene scene(set);
  scene.list({scene.worker("a"), scene.worker("b")});
  scene.request(1, 10);
  const std::string ejected = scene.sent_to(1);
  ASSERT_FALSE(ejected.empty());
  scene.end(1, 0, Outcome::ConnectionReset);
  const std::string used = ejected == "a" ? "b" : "a";
  for (RequestId id : {2, 3}) {
    scene.request(id, 5000);
    ASSERT_EQ(scene.sent_to(id), used);
    scene.started(id);
  }
  scene.request(4, 100);  // wanted within 500 ms
  ASSERT_EQ(scene.sent_to(4), "");
  scene.pass(100);
  WorkerEntry larger = scene.worker(ejected);
  larger.size = 10;  // and so faster: the request may start later
  scene.list({larger}, EndpointUpdateKind::Delta);
  scene.pass(1000);
  EXPECT_FALSE(scene.answered(4, ActionKind::Reject));
  scene.end(2, 0, Outcome::Success, true);
  EXPECT_EQ(scene.sent_to(4), used);
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

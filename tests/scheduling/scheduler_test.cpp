// Pools, the choice inside a pool, the exceptions, and each failure found on the way.
#include <cmath>
#include <limits>
#include <sstream>

#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

std::vector<std::string> names(int n) {
  std::vector<std::string> out;
  for (int i = 0; i < n; ++i)
    out.push_back("10.0.0." + std::to_string(i) + ":7000");
  return out;
}

std::vector<WorkerEntry> entries(Scene& scene, const std::vector<std::string>& ids, int zones = 1) {
  std::vector<WorkerEntry> out;
  for (std::size_t i = 0; i < ids.size(); ++i)
    out.push_back(scene.worker(ids[i], static_cast<int>(i) % zones));
  return out;
}

TEST(Settings, InvalidOnesAreRefusedAtConstruction) {
  std::vector<Action> out;
  auto rejects = [&](auto change) {
    Settings config = settings();
    change(config);
    EXPECT_THROW(Scheduler(config, Time{}, out), std::invalid_argument);
  };
  rejects([](Settings& config) { config.classes.clear(); });
  rejects([](Settings& config) { config.dispatchers = 0; });
  rejects([](Settings& config) { config.index = 1; });
  rejects([](Settings& config) { config.tick = Duration(-1); });
  rejects([](Settings& config) { config.classes[0].deadline = Duration(-1); });
  rejects([](Settings& config) { config.slow_start_initial_fraction = 0; });
}

TEST(Pools, HalfTheCapacityOfEachZoneIsShort) {
  Scene scene(settings());
  auto ids = names(16);
  scene.list(entries(scene, ids, 2));
  int shorts[2] = {};
  for (std::size_t i = 0; i < ids.size(); ++i)
    shorts[i % 2] += scene.scheduler.in_short_pool(ids[i]);
  EXPECT_EQ(shorts[0], 4);
  EXPECT_EQ(shorts[1], 4);
}

TEST(Pools, OneWorkerComingOrGoingMovesAtMostOneOther) {
  for (int gone = 0; gone < 12; ++gone) {
    Scene scene(settings());
    auto ids = names(12);
    scene.list(entries(scene, ids));
    std::vector<bool> before;
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
  auto ids = names(8);
  scene.list(entries(scene, ids));
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

// Guards the priority weights: booked requests weighted ten of the others were pending behind them
// until nobody waited.
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
  enqueue(4, 0);     // weight 1, and has least time left
  enqueue(5, 1);     // weight 10
  for (RequestId first : {5, 3, 4}) {
    scene.end(first == 5 ? 1 : first == 3 ? 5 : 3, 0, Outcome::Success, true);
    EXPECT_EQ(scene.sent_to(first), "a");
  }
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

// Where no hedge may be sent, a request in a queue is lost to whatever stands before it.
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

TEST(Pending, QueuedRequestsThatCanOnlyBeLateAreAbandonedAndCancelled) {  // incident ic10efd
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({scene.worker("a")});
  scene.request(1, 100);
  ASSERT_EQ(scene.sent_to(1), "a");  // and no start note comes: others' requests stand before it
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

TEST(ExternalLoad, AFullWorkerIsNotTriedAgainAtOnce) {  // incident ief4a90
  Scene scene(settings());
  scene.list({scene.worker("a")});
  scene.request(1, 100);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.end(1, 0, Outcome::Rejected);
  EXPECT_TRUE(scene.sent_to(1).empty());
  scene.pass(20);
  EXPECT_TRUE(scene.sent_to(1).empty());
  scene.pass(400);
  EXPECT_EQ(scene.sent_to(1), "a");
}

TEST(ExternalLoad, ReportsMoveRequestsAway) {
  Settings set = settings();
  set.reports = LoadReportMode::Inline;
  Scene scene(set);
  scene.list({scene.worker("a"), scene.worker("b")});
  LoadReport busy;
  LoadReport idle;
  busy.free_slots = 0;
  idle.free_slots = 2;
  for (RequestId id : {1, 2, 3, 4}) {
    scene.request(id, 50);
    std::string w = scene.sent_to(id);
    scene.started(id);
    scene.end(id, 0, Outcome::Success, true, w == "a" ? busy : idle);
  }
  for (RequestId id : {5, 6}) {
    scene.request(id, 50);
    EXPECT_EQ(scene.sent_to(id), "b");
  }
}

TEST(ExternalLoad, AReportWithAnAttemptEndDoesNotCountOwnEndedRequests) {  // incident ie12df0
  Settings set = settings();
  set.reports = LoadReportMode::Inline;
  Scene scene(set);
  scene.list({scene.worker("a")});
  ASSERT_NO_FATAL_FAILURE(scene.fill("a", 50));
  LoadReport taken_while_both_ran;
  taken_while_both_ran.free_slots = 0;
  scene.end(1, 0, Outcome::Success, true, taken_while_both_ran);
  scene.end(2, 0, Outcome::Success, true, taken_while_both_ran);
  scene.request(3, 50);
  EXPECT_EQ(scene.sent_to(3), "a");
}

TEST(Health, UnreachableWorkerGetsNoRequestsUntilARecoveryProbeSucceeds) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.health_checks_allowed = true;
  Scene scene(set);
  scene.list({scene.worker("a"), scene.worker("b")});
  scene.request(1, 10);
  std::string first = scene.sent_to(1);
  scene.end(1, 0, Outcome::ConnectFailed);
  EXPECT_NE(scene.sent_to(1), first);
  ASSERT_EQ(scene.of(ActionKind::HealthCheck).size(),
            1U);  // at once: it may have been the connection alone
  scene.actions.clear();
  scene.scheduler.on_health_check_result(scene.now, first, Outcome::ConnectFailed, {},
                                         scene.actions);
  for (RequestId id = 2; id < 6; ++id) {
    scene.request(id, 10);
    EXPECT_NE(scene.sent_to(id), first);
    scene.end(id, 0, Outcome::Success, true);
  }
  scene.pass(1100);
  ASSERT_EQ(scene.of(ActionKind::HealthCheck).size(), 1U);
  EXPECT_EQ(scene.of(ActionKind::HealthCheck)[0].worker, first);
}

// Guards the other tenants from a burst of one: what is beyond its share takes only what nobody
// else needs.
TEST(TenantQuotaRule, ARequestOverQuotaLeavesASlotFree) {
  Settings set = settings();
  set.tenant_quotas = {2, 2};
  set.over_quota_weight = 0.05;
  Scene scene(set);
  scene.list({scene.worker("a")});
  for (RequestId id = 1; id <= 4; ++id) {  // its share of two seconds at once
    scene.request(id, 10);
    ASSERT_EQ(scene.sent_to(id), "a");
    scene.end(id, 0, Outcome::Success, true);
  }
  scene.request(5, 10);
  EXPECT_EQ(scene.sent_to(5), "a");  // both slots are free
  scene.request(6, 10);
  EXPECT_TRUE(scene.sent_to(6).empty());
  scene.request(7, 10, 10000, 1, 1);
  EXPECT_EQ(scene.sent_to(7), "a");
  scene.end(5, 0, Outcome::Success, true);
  EXPECT_TRUE(scene.sent_to(6).empty());
  scene.end(7, 0, Outcome::Success, true);
  EXPECT_EQ(scene.sent_to(6), "a");
  scene.pass(1000);  // the share fills again
  scene.request(8, 10);
  EXPECT_EQ(scene.sent_to(8), "a");
}

// Guards clients that move here while another dispatcher restarts: all tenants send more then,
// which is no burst.
TEST(TenantQuotaRule, FollowsTheOtherTenantsWhenClientsMoveHere) {
  auto count_pending =
      [](bool all_tenants) {  // requests that had to wait when traffic became three times as much
        Settings set = settings();
        set.tenant_quotas = {2, 2, 2};
        set.over_quota_weight = 0.05;
        set.dispatchers = 2;
        Scene scene(set);
        scene.list({scene.worker("a")});
        scene.request(1, 100000, 200000);  // keeps one of the two slots
        EXPECT_EQ(scene.sent_to(1), "a");
        scene.started(1);
        int waiting = 0;
        RequestId id = 1;
        for (int step = 0; step < 240;
             ++step, scene.now += Duration(100)) {  // each tenant once a second, its share here
          bool more = step >= 120;
          for (std::size_t tenant = 0; tenant < 3; ++tenant) {
            bool bursts = more && (all_tenants || tenant == 0);
            if ((step + 3 * static_cast<int>(tenant)) % (bursts ? 3 : 10) != 0)
              continue;
            scene.request(++id, 10, 50, 1, tenant);
            bool sent = !scene.sent_to(id).empty();
            waiting += step >= 180 && !sent;
            if (sent) {
              scene.end(id, 0, Outcome::Success, true);
            } else {
              scene.scheduler.on_client_disconnected(scene.now, id, scene.actions);
            }
          }
        }
        return waiting;
      };
  EXPECT_LE(count_pending(true), 6);
  EXPECT_GE(count_pending(false), 8);
}

// Guards heavy requests, which have as much more weight: one must not wait out its time because
// light ones came before it.
TEST(TenantQuotaRule, AHeavyRequestMayBorrowFromItsTenant) {
  Settings set = settings();
  set.tenant_quotas = {2, 2};
  set.over_quota_weight = 0.05;
  Scene scene(set);
  scene.list({scene.worker("a")});
  for (RequestId id = 1; id <= 4; ++id) {  // its share of two seconds at once
    scene.request(id, 10);
    ASSERT_EQ(scene.sent_to(id), "a");
    if (id > 1)
      scene.end(id, 0, Outcome::Success, true);
  }
  scene.request(5, 10);
  EXPECT_TRUE(scene.sent_to(5).empty());  // request 1 keeps a slot
  scene.request(6, 5000, 60000);
  EXPECT_EQ(scene.sent_to(6), "a");
}

TEST(TenantQuotaRule, WithoutAQuotaThereIsNone) {
  Settings set = settings();
  set.tenant_quotas = {2, 2, 2, 0};
  set.over_quota_weight = 0.05;
  Scene scene(set);
  scene.list({scene.worker("a")});
  for (RequestId id = 1; id <= 20; ++id) {
    scene.request(id, 10, 10000, 1, 3);
    ASSERT_EQ(scene.sent_to(id), "a");
    if (id > 1)
      scene.end(id, 0, Outcome::Success, true);  // request 1 keeps a slot
  }
}

// Guards healthy workers where connections are reset: they must not stand idle for a second each
// time, nor count as starting; but one that breaks off request after request is not believed each
// time.
TEST(Health, OneLostConnectionIsNotALostWorker) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.health_checks_allowed = true;
  Scene scene(set);
  scene.list({scene.worker("a")});
  auto lose = [&](RequestId id) {
    scene.request(id, 900);
    ASSERT_EQ(scene.sent_to(id), "a");
    scene.actions.clear();
    scene.end(id, 0, Outcome::ConnectionReset, true);
  };
  lose(1);
  ASSERT_EQ(scene.of(ActionKind::HealthCheck).size(), 1U);
  scene.scheduler.on_health_check_result(scene.now, "a", Outcome::Success, {}, scene.actions);
  lose(2);
  EXPECT_TRUE(scene.of(ActionKind::HealthCheck).empty());
  scene.request(3, 900);
  EXPECT_TRUE(scene.sent_to(3).empty());
}

TEST(Health, WaitingAloneDoesNotEjectAWorker) {  // incident i3eacf2
  Settings set = settings();
  set.health_checks_allowed = true;
  set.classes[0].latency_objective = Duration(9000);
  Scene scene(set);
  scene.list({scene.worker("a")});
  for (RequestId id = 1; id <= 2; ++id)
    scene.request(id, 100);
  scene.pass(5000);
  for (const Action& action : scene.of(ActionKind::Log))
    EXPECT_EQ(action.text.find("taken as down"), std::string::npos);
}

TEST(Health, ASlowIdempotentRequestIsHedgedAndTheWaitingAttemptIsCancelled) {
  Scene scene(settings());
  scene.list({scene.worker("a"), scene.worker("b")});
  scene.request(1, 100);
  std::string first = scene.sent_to(1);
  scene.pass(100);
  std::string second = scene.sent_to(1);
  ASSERT_FALSE(second.empty());
  EXPECT_NE(first, second);
  scene.started(1, 1);
  ASSERT_EQ(scene.of(ActionKind::Cancel).size(), 1U);
  EXPECT_EQ(scene.of(ActionKind::Cancel)[0].attempt, 0);
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

TEST(Robustness, AbsurdNumbersAndUnknownIdsDoNothingBad) {
  Scene scene(settings());
  scene.list({scene.worker("a")});
  std::vector<double> hints = {0, -1, std::nan(""), 1e300, std::numeric_limits<double>::infinity()};
  RequestId id = 0;
  for (double cost_hint : hints) {
    scene.request(++id, cost_hint, 5000, -3);
    EXPECT_EQ(scene.sent_to(id), "a");
    scene.end(id, 0, Outcome::Success, true);
    scene.end(id, 0, Outcome::Success, true);  // a duplicate
  }
  scene.actions.clear();
  scene.scheduler.on_attempt_end(scene.now, {99, 7, false, "nobody", Outcome::ConnectionReset, {}},
                                 scene.actions);
  scene.scheduler.on_job_event(scene.now, 99, -1, "a", JobEventKind::Started, scene.actions);
  scene.scheduler.on_health_check_result(scene.now, "nobody", Outcome::Success, {}, scene.actions);
  scene.scheduler.on_timer(scene.now, scene.actions);
  EXPECT_TRUE(scene.of(ActionKind::Send).empty() && scene.of(ActionKind::Fail).empty() &&
              scene.of(ActionKind::Reject).empty());
  EXPECT_EQ(scene.scheduler.open_requests(), 0U);
}

// The error rate in a worker's report, after two requests that it served at once.
LoadReport errors(double a_second) {
  LoadReport report;
  report.free_slots = 2;
  report.fail_rate = a_second;
  return report;
}

TEST(Failing, AWorkerThatReportsManyErrorsGetsNothingForAWhile) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list(entries(scene, {"a", "b"}));
  scene.request(1, 100);
  std::string bad = scene.sent_to(1);
  std::string good = bad == "a" ? "b" : "a";
  scene.end(1, 0, Outcome::Success, true,
            errors(4));  // of some twenty that it could serve in a second
  for (RequestId id = 2; id < 4; ++id) {
    scene.request(id, 100);
    ASSERT_EQ(scene.sent_to(id), good);
    scene.started(id);
  }
  scene.request(4, 100);
  EXPECT_NE(scene.sent_to(4), bad) << "better queued than failed";
  scene.pass(2100);
  scene.request(5, 100);
  EXPECT_EQ(scene.sent_to(5), bad) << "and it gets another chance";
}

TEST(Failing, WhereAllFailAlikeEachStillGetsRequests) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list(entries(scene, {"a", "b"}));
  for (RequestId id = 1; id <= 60; ++id) {
    scene.request(id, 100);
    if (scene.sent_to(id).empty()) {
      scene.pass(2100);
    } else {
      scene.end(id, 0, Outcome::Success, true, errors(10));
    }
  }
  scene.request(100, 100);
  EXPECT_FALSE(scene.sent_to(100).empty());
}

std::string one_run(std::uint64_t seed) {
  Settings set = settings();
  set.seed = seed;
  set.watch_required = true;
  set.poll_deadline = Duration(8000);
  Scene scene(set);
  std::ostringstream all;
  auto write = [&] {
    for (const Action& action : scene.actions) {
      all << static_cast<int>(action.kind) << ' ' << action.id << ' ' << action.worker << ' '
          << action.at.time_since_epoch().count() << '\n';
    }
  };
  scene.list(entries(scene, names(6), 2), EndpointUpdateKind::Cached);
  scene.list({}, EndpointUpdateKind::Failed);
  write();
  for (RequestId id = 1; id <= 40; ++id) {
    scene.request(id * 7919, 10.0 + 13.0 * static_cast<double>(id % 7));
    write();
    if (!scene.sent_to(id * 7919).empty() && id % 3 == 0) {
      scene.end(id * 7919, 0, Outcome::Success, true);
      write();
    }
    scene.pass(20);
    write();
  }
  return all.str();
}

TEST(Determinism, SameEventsSameActionsAndOnlyTheSeedVariesThem) {
  EXPECT_EQ(one_run(1), one_run(1));
  EXPECT_NE(one_run(1), one_run(2));  // the jitter of asking for the list again
}

// Two unsafe classes and one worker, "a". What a request of each class does now.
struct TwoClasses : Scene {
  TwoClasses() : Scene(two()) { list({worker("a")}); }
  static Settings two() {
    Settings set = settings(Idempotency::NonIdempotent);
    set.classes.push_back(set.classes[0]);
    for (ClassSettings& job_class : set.classes)
      job_class.latency_objective = job_class.deadline = Duration(60000);
    return set;
  }
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

TEST(ClassEjection, ASingleFailureAmongSuccessesIsChance) {
  TwoClasses scene;
  for (int i = 0; i < 3; ++i)
    scene.serve(0, Outcome::Success);
  scene.serve(0, Outcome::Failure);
  scene.serve(0, Outcome::Failure);  // went at once; the second in a row is none
  EXPECT_FALSE(scene.goes(0));
}

TEST(ClassEjection,
     IsNoAnswerToOverload) {  // full, cancelled or late: the worker is busy, whatever the class
  for (Outcome outcome : {Outcome::Rejected, Outcome::Cancelled}) {
    TwoClasses scene;
    ASSERT_TRUE(scene.goes(0));
    scene.end(scene.last, 0, outcome);
    scene.pass(1000);
    bool retried = !scene.sent_to(scene.last).empty();
    EXPECT_TRUE(retried || scene.goes(0)) << "long before a ejected worker would be tried again";
  }
}

// Where clients give no hints, the ends are all that tells what a request of a class costs: a guess
// that stays at 100 ms has a fleet of 500 ms requests refuse nearly all as hopeless.
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

// What a cancel does not stop would run for nobody, and its client come again: a jam that feeds
// itself.
TEST(CostHints, WithoutThemAQueuedRequestIsNotAbandonedBeforeItsClientTimesOut) {
  Scene scene(settings(Idempotency::NonIdempotent));
  scene.list({scene.worker("a")});
  scene.request(1, 0);
  ASSERT_EQ(scene.sent_to(1), "a");
  scene.pass(9000);
  EXPECT_FALSE(scene.answered(1, ActionKind::Fail));
  EXPECT_FALSE(scene.answered(1, ActionKind::Cancel));
}

// Few requests a dispatcher, and nothing told of the workers: a class of one size must not fill one
// pool alone.
TEST(CostHints, WithoutThemASampledFleetUsesBothPools) {
  Settings set = settings();
  set.dispatchers = 100;
  Scene scene(set);
  auto ids = names(40);
  scene.list(entries(scene, ids));
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

// Hedges of all that waits double the load of a full fleet, where cancels stop nothing.
TEST(Hedges, AreAtMostATenthOfTheRecentRequestsAndOne) {
  Scene scene(settings());
  auto ids = names(30);
  scene.list(entries(scene, ids));
  int hedges = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    scene.request(id, 100);
    scene.pass(200);  // no start note comes
    for (const Action& action : scene.of(ActionKind::Send))
      hedges += action.id <= id ? 1 : 0;
  }
  EXPECT_GE(hedges, 1);
  EXPECT_LE(hedges, 1 + 40 / 10 + 1);
}

// A hedge pays where another worker could start it. Where half of the requests wait for their start
// and no report tells who has room, the hedge would wait too, or take a slot from a request of
// another dispatcher: they prolonged the overload of a calm day with a burst. Reports tell, and a
// hedge among them helps who waits at a worker that is stuck.
TEST(Hedges, AreNoneWithoutReportsWhereHalfOfTheRecentRequestsHaveWaited) {
  for (auto [prompt, reports] :
       {std::pair(true, LoadReportMode::Off), std::pair(false, LoadReportMode::Off),
        std::pair(false, LoadReportMode::Inline)}) {
    Settings set = settings();
    set.reports = reports;
    Scene scene(set);
    auto ids = names(30);
    scene.list(entries(scene, ids));
    RequestId id = 1;
    for (; id <= 60; ++id) {
      scene.request(id, 100);
      ASSERT_FALSE(scene.sent_to(id).empty());
      scene.pass(prompt ? 5 : 100);
      scene.started(id);
      scene.pass(100);
      scene.end(id, 0, Outcome::Success, true);
    }
    int hedges = 0;
    for (; id <= 100; ++id) {
      scene.request(id, 100);
      scene.pass(200);  // no start note comes
      for (const Action& action : scene.of(ActionKind::Send))
        hedges += action.id <= id ? 1 : 0;
    }
    if (prompt) {
      EXPECT_GE(hedges, 4);
    } else if (reports == LoadReportMode::Off) {
      EXPECT_LE(hedges, 1);
    } else {
      EXPECT_GE(hedges, 3);
    }
  }
}

// Where no report tells it, a queue that a start note has shown does not go away within a request's
// run.
TEST(ExternalLoad, IsRememberedLongerWithoutReports) {
  for (bool reports : {true, false}) {
    Settings set = settings();
    set.hedging_allowed = false;  // no queue is joined
    set.reports = reports ? LoadReportMode::Inline : LoadReportMode::Off;
    Scene scene(set);
    scene.list({scene.worker("a")});
    scene.request(1, 100);
    ASSERT_EQ(scene.sent_to(1), "a");
    scene.pass(400);
    scene.started(1);  // it stood in a queue of some requests
    scene.pass(100);
    scene.end(1, 0, Outcome::Success, true);
    scene.pass(1500);
    scene.request(2, 100);
    EXPECT_EQ(scene.sent_to(2), reports ? "a" : "");
  }
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

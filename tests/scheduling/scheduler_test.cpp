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

std::vector<WorkerEntry> entries(Scene& s, const std::vector<std::string>& ids, int zones = 1) {
  std::vector<WorkerEntry> out;
  for (std::size_t i = 0; i < ids.size(); ++i)
    out.push_back(s.worker(ids[i], static_cast<int>(i) % zones));
  return out;
}

TEST(Settings, InvalidOnesAreRefusedAtConstruction) {
  std::vector<Action> out;
  auto rejects = [&](auto change) {
    Settings s = settings();
    change(s);
    EXPECT_THROW(Scheduler(s, Time{}, out), std::invalid_argument);
  };
  rejects([](Settings& s) { s.classes.clear(); });
  rejects([](Settings& s) { s.dispatchers = 0; });
  rejects([](Settings& s) { s.index = 1; });
  rejects([](Settings& s) { s.tick = Duration(-1); });
  rejects([](Settings& s) { s.classes[0].deadline = Duration(-1); });
  rejects([](Settings& s) { s.slow_start_initial_fraction = 0; });
}

TEST(Pools, HalfTheCapacityOfEachZoneIsShort) {
  Scene s(settings());
  auto ids = names(16);
  s.list(entries(s, ids, 2));
  int shorts[2] = {};
  for (std::size_t i = 0; i < ids.size(); ++i)
    shorts[i % 2] += s.scheduler_.in_short_pool(ids[i]);
  EXPECT_EQ(shorts[0], 4);
  EXPECT_EQ(shorts[1], 4);
}

TEST(Pools, OneWorkerComingOrGoingMovesAtMostOneOther) {
  for (int gone = 0; gone < 12; ++gone) {
    Scene s(settings());
    auto ids = names(12);
    s.list(entries(s, ids));
    std::vector<bool> before;
    for (auto& id : ids)
      before.push_back(s.scheduler_.in_short_pool(id));
    s.list({s.worker(ids[gone], 0, 0, Readiness::Removed), s.worker("10.9.9.9:7000")},
           EndpointUpdateKind::Delta);
    int moved = 0;
    for (int i = 0; i < 12; ++i)
      moved += i != gone && s.scheduler_.in_short_pool(ids[i]) != before[i];
    EXPECT_LE(moved, 1) << gone;
  }
}

TEST(Selection, ShortAndLongRequestsGoToTheirPools) {
  Scene s(settings());
  auto ids = names(8);
  s.list(entries(s, ids));
  RequestId id = 0;
  for (int i = 0; i < 200; ++i) {  // fills the histogram; every job ends at once
    s.request(++id, i % 10 == 0 ? 1000 : 10);
    ASSERT_FALSE(s.sent_to(id).empty());
    s.end(id, 0, Outcome::Success, true);
    s.pass(50);
  }
  ASSERT_GT(s.scheduler_.cutoff_ms(), 10);
  ASSERT_LT(s.scheduler_.cutoff_ms(), 1000);
  s.request(++id, 10);
  EXPECT_TRUE(s.scheduler_.in_short_pool(s.sent_to(id)));
  s.request(++id, 1000);
  EXPECT_FALSE(s.scheduler_.in_short_pool(s.sent_to(id)));
}

TEST(Selection, LeastOwnOutstandingWorkInsideThePool) {
  Scene s(settings());
  s.list({s.worker("a"), s.worker("b"), s.worker("c"), s.worker("d")});
  std::map<RequestId, std::string> to;
  for (RequestId id = 1; id <= 4; ++id) {
    if (id == 3)
      s.end(2, 0, Outcome::Success, true);  // its worker has the least work again
    s.request(id, 100);
    to[id] = s.sent_to(id);
    EXPECT_FALSE(s.scheduler_.in_short_pool(to[id])) << "jobs of one size are all long";
  }
  EXPECT_NE(to[1], to[2]);
  EXPECT_EQ(to[3], to[2]);
  EXPECT_NE(to[4], "");
}

TEST(Selection, RequestsWithAKindAndLargeOnesGoToWorkersThatCanRunThem) {
  Settings set = settings();
  set.classes[0].kind = 1;
  set.reports = LoadReportMode::Inline;
  Scene s(set);
  WorkerEntry other = s.worker("a");
  WorkerEntry tied = s.worker("b");
  tied.kind = 1;
  s.list({other, tied});
  for (RequestId id = 1; id <= 2; ++id) {
    s.request(id, 100);
    EXPECT_EQ(s.sent_to(id), "b");
  }
  LoadReport report;
  report.free_slots = 1;
  s.end(1, 0, Outcome::Success, true, report);
  s.end(2, 0, Outcome::Success, true, report);
  s.request(3, 100, 10000, 4);
  EXPECT_TRUE(s.sent_to(3).empty()) << "four slots do not fit on a worker that showed two at most";
}

TEST(Pending, ARequestWaitsWhileNoWorkerCanStartItSoon) {
  Scene s(settings());
  s.list({s.worker("a")});
  ASSERT_NO_FATAL_FAILURE(s.fill("a", 400));
  s.request(3, 100);
  EXPECT_TRUE(s.sent_to(3).empty());
  s.end(1, 0, Outcome::Success, true);
  EXPECT_EQ(s.sent_to(3), "a");
}

TEST(Pending, WhatCanNoLongerBeInTimeIsRejectedEarly) {
  Scene s(settings(Idempotency::NonIdempotent));
  s.list({s.worker("a")});
  ASSERT_NO_FATAL_FAILURE(s.fill("a", 5000));
  s.request(3, 100);  // wanted within 500 ms
  s.pass(600);
  EXPECT_TRUE(s.answered(3, ActionKind::Reject));
}

TEST(Pending, LateRequestsStayWhereLateAnswersHaveAWeight) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.classes[0].late_weight = 0.5;
  Scene s(set);
  s.list({s.worker("a")});
  ASSERT_NO_FATAL_FAILURE(s.fill("a", 5000));
  s.request(3, 100);
  s.pass(1000);
  EXPECT_FALSE(s.answered(3, ActionKind::Reject));
  s.end(1, 0, Outcome::Success, true);
  EXPECT_EQ(s.sent_to(3), "a");
}

// Guards the worth of a day: booked jobs worth ten of the others were held behind them until nobody
// waited.
TEST(Pending, TheHighestWeightForItsWorkGoesFirstAndLateOnesByTheRestOfTheirWeight) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.classes.push_back(set.classes[0]);
  set.classes[0].late_weight = 0.2;
  set.classes[1].late_weight = 0.3;
  set.classes[1].priority_weight = 10;
  set.classes[1].latency_objective = Duration(800);
  Scene s(set);
  s.list({s.worker("a")});
  ASSERT_NO_FATAL_FAILURE(s.fill("a", 5000));
  auto hold = [&](RequestId id, std::size_t job_class) {
    s.actions.clear();
    Request r{
        .id = id, .job_class = job_class, .timeout = Duration(10000), .cost_hint = Duration(100)};
    s.scheduler_.on_request(s.now, r, s.actions);
    ASSERT_TRUE(s.sent_to(id).empty());
  };
  hold(3, 1);
  s.pass(1500);  // late now: worth 3 still
  hold(4, 0);    // worth 1, and has least time left
  hold(5, 1);    // worth 10
  for (RequestId first : {5, 3, 4}) {
    s.end(first == 5 ? 1 : first == 3 ? 5 : 3, 0, Outcome::Success, true);
    EXPECT_EQ(s.sent_to(first), "a");
  }
}

TEST(Selection, AFreeSlotOfTheOtherPoolIsPreferredToAQueueInTheOwn) {
  Scene s(settings());
  s.list({s.worker("a"), s.worker("b")});
  std::map<std::string, int> at;
  for (RequestId id = 1; id <= 4;
       ++id) {  // jobs of one size: one pool's; the queue would cost 0.2 of the slack
    s.request(id, 100);
    ++at[s.sent_to(id)];
  }
  EXPECT_EQ(at["a"], 2);
  EXPECT_EQ(at["b"], 2);
}

// Where no second copy may be sent, a job in a queue is lost to whatever stands before it.
TEST(Selection, AQueueIsJoinedOnlyWhereAHedgeMayHelp) {
  for (bool copies : {true, false}) {
    Settings set = settings();
    set.hedging_allowed = copies;
    Scene s(set);
    s.list({s.worker("a")});
    ASSERT_NO_FATAL_FAILURE(s.fill("a", 100));
    s.pass(60);
    s.request(3, 400);
    EXPECT_EQ(s.sent_to(3), copies ? "a" : "");
    s.end(1, 0, Outcome::Success, true);
    if (!copies) {
      EXPECT_EQ(s.sent_to(3), "a");
    }
  }
}

TEST(Pending, QueuedRequestsThatCanOnlyBeLateAreAbandonedAndCancelled) {  // incident ic10efd
  Scene s(settings(Idempotency::NonIdempotent));
  s.list({s.worker("a")});
  s.request(1, 100);
  ASSERT_EQ(s.sent_to(1), "a");  // and no start note comes: others' jobs stand before it
  s.pass(600);
  EXPECT_TRUE(s.answered(1, ActionKind::Fail));
  EXPECT_TRUE(s.answered(1, ActionKind::Cancel));
}

TEST(Pending, RunningRequestsAreNotCancelled) {
  Scene s(settings(Idempotency::NonIdempotent));
  s.list({s.worker("a")});
  s.request(1, 100);
  ASSERT_EQ(s.sent_to(1), "a");
  s.started(1);
  s.pass(3000);
  EXPECT_FALSE(s.answered(1, ActionKind::Fail));
}

TEST(ExternalLoad, AFullWorkerIsNotTriedAgainAtOnce) {  // incident ief4a90
  Scene s(settings());
  s.list({s.worker("a")});
  s.request(1, 100);
  ASSERT_EQ(s.sent_to(1), "a");
  s.end(1, 0, Outcome::Rejected);
  EXPECT_TRUE(s.sent_to(1).empty());
  s.pass(20);
  EXPECT_TRUE(s.sent_to(1).empty());
  s.pass(400);
  EXPECT_EQ(s.sent_to(1), "a");
}

TEST(ExternalLoad, ReportsMoveRequestsAway) {
  Settings set = settings();
  set.reports = LoadReportMode::Inline;
  Scene s(set);
  s.list({s.worker("a"), s.worker("b")});
  LoadReport busy;
  LoadReport idle;
  busy.free_slots = 0;
  idle.free_slots = 2;
  for (RequestId id : {1, 2, 3, 4}) {
    s.request(id, 50);
    std::string w = s.sent_to(id);
    s.started(id);
    s.end(id, 0, Outcome::Success, true, w == "a" ? busy : idle);
  }
  for (RequestId id : {5, 6}) {
    s.request(id, 50);
    EXPECT_EQ(s.sent_to(id), "b");
  }
}

TEST(ExternalLoad, AReportWithAnAttemptEndDoesNotCountOwnEndedRequests) {  // incident ie12df0
  Settings set = settings();
  set.reports = LoadReportMode::Inline;
  Scene s(set);
  s.list({s.worker("a")});
  ASSERT_NO_FATAL_FAILURE(s.fill("a", 50));
  LoadReport taken_while_both_ran;
  taken_while_both_ran.free_slots = 0;
  s.end(1, 0, Outcome::Success, true, taken_while_both_ran);
  s.end(2, 0, Outcome::Success, true, taken_while_both_ran);
  s.request(3, 50);
  EXPECT_EQ(s.sent_to(3), "a");
}

TEST(Health, UnreachableWorkerGetsNoRequestsUntilARecoveryProbeSucceeds) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.health_checks_allowed = true;
  Scene s(set);
  s.list({s.worker("a"), s.worker("b")});
  s.request(1, 10);
  std::string first = s.sent_to(1);
  s.end(1, 0, Outcome::ConnectFailed);
  EXPECT_NE(s.sent_to(1), first);
  ASSERT_EQ(s.of(ActionKind::HealthCheck).size(),
            1U);  // at once: it may have been the connection alone
  s.actions.clear();
  s.scheduler_.on_health_check_result(s.now, first, Outcome::ConnectFailed, {}, s.actions);
  for (RequestId id = 2; id < 6; ++id) {
    s.request(id, 10);
    EXPECT_NE(s.sent_to(id), first);
    s.end(id, 0, Outcome::Success, true);
  }
  s.pass(1100);
  ASSERT_EQ(s.of(ActionKind::HealthCheck).size(), 1U);
  EXPECT_EQ(s.of(ActionKind::HealthCheck)[0].worker, first);
}

// Guards the other tenants from a burst of one: what is beyond its share takes only what nobody
// else needs.
TEST(TenantQuotaRule, ARequestOverQuotaLeavesASlotFree) {
  Settings set = settings();
  set.tenant_quotas = {2, 2};
  set.over_quota_weight = 0.05;
  Scene s(set);
  s.list({s.worker("a")});
  for (RequestId id = 1; id <= 4; ++id) {  // its share of two seconds at once
    s.request(id, 10);
    ASSERT_EQ(s.sent_to(id), "a");
    s.end(id, 0, Outcome::Success, true);
  }
  s.request(5, 10);
  EXPECT_EQ(s.sent_to(5), "a");  // both slots are free
  s.request(6, 10);
  EXPECT_TRUE(s.sent_to(6).empty());
  s.request(7, 10, 10000, 1, 1);
  EXPECT_EQ(s.sent_to(7), "a");
  s.end(5, 0, Outcome::Success, true);
  EXPECT_TRUE(s.sent_to(6).empty());
  s.end(7, 0, Outcome::Success, true);
  EXPECT_EQ(s.sent_to(6), "a");
  s.pass(1000);  // the share fills again
  s.request(8, 10);
  EXPECT_EQ(s.sent_to(8), "a");
}

// Guards clients that move here while another dispatcher restarts: all tenants send more then,
// which is no burst.
TEST(TenantQuotaRule, FollowsTheOtherTenantsWhenClientsMoveHere) {
  auto held =
      [](bool all_tenants) {  // jobs that had to wait when traffic became three times as much
        Settings set = settings();
        set.tenant_quotas = {2, 2, 2};
        set.over_quota_weight = 0.05;
        set.dispatchers = 2;
        Scene s(set);
        s.list({s.worker("a")});
        s.request(1, 100000, 200000);  // keeps one of the two slots
        EXPECT_EQ(s.sent_to(1), "a");
        s.started(1);
        int waiting = 0;
        RequestId id = 1;
        for (int step = 0; step < 240;
             ++step, s.now += Duration(100)) {  // each tenant once a second, its share here
          bool more = step >= 120;
          for (std::size_t tenant = 0; tenant < 3; ++tenant) {
            bool bursts = more && (all_tenants || tenant == 0);
            if ((step + 3 * static_cast<int>(tenant)) % (bursts ? 3 : 10) != 0)
              continue;
            s.request(++id, 10, 50, 1, tenant);
            bool sent = !s.sent_to(id).empty();
            waiting += step >= 180 && !sent;
            if (sent) {
              s.end(id, 0, Outcome::Success, true);
            } else {
              s.scheduler_.on_client_disconnected(s.now, id, s.actions);
            }
          }
        }
        return waiting;
      };
  EXPECT_LE(held(true), 6);
  EXPECT_GE(held(false), 8);
}

// Guards heavy jobs, which are worth as much more: one must not wait out its time because light
// ones came before it.
TEST(TenantQuotaRule, AHeavyRequestMayBorrowFromItsTenant) {
  Settings set = settings();
  set.tenant_quotas = {2, 2};
  set.over_quota_weight = 0.05;
  Scene s(set);
  s.list({s.worker("a")});
  for (RequestId id = 1; id <= 4; ++id) {  // its share of two seconds at once
    s.request(id, 10);
    ASSERT_EQ(s.sent_to(id), "a");
    if (id > 1)
      s.end(id, 0, Outcome::Success, true);
  }
  s.request(5, 10);
  EXPECT_TRUE(s.sent_to(5).empty());  // job 1 keeps a slot
  s.request(6, 5000, 60000);
  EXPECT_EQ(s.sent_to(6), "a");
}

TEST(TenantQuotaRule, WithoutAQuotaThereIsNone) {
  Settings set = settings();
  set.tenant_quotas = {2, 2, 2, 0};
  set.over_quota_weight = 0.05;
  Scene s(set);
  s.list({s.worker("a")});
  for (RequestId id = 1; id <= 20; ++id) {
    s.request(id, 10, 10000, 1, 3);
    ASSERT_EQ(s.sent_to(id), "a");
    if (id > 1)
      s.end(id, 0, Outcome::Success, true);  // job 1 keeps a slot
  }
}

// Guards healthy workers where connections are reset: they must not stand idle for a second each
// time, nor count as cold; but one that breaks off job after job is not believed each time.
TEST(Health, OneLostConnectionIsNotALostWorker) {
  Settings set = settings(Idempotency::NonIdempotent);
  set.health_checks_allowed = true;
  Scene s(set);
  s.list({s.worker("a")});
  auto lose = [&](RequestId id) {
    s.request(id, 900);
    ASSERT_EQ(s.sent_to(id), "a");
    s.actions.clear();
    s.end(id, 0, Outcome::ConnectionReset, true);
  };
  lose(1);
  ASSERT_EQ(s.of(ActionKind::HealthCheck).size(), 1U);
  s.scheduler_.on_health_check_result(s.now, "a", Outcome::Success, {}, s.actions);
  lose(2);
  EXPECT_TRUE(s.of(ActionKind::HealthCheck).empty());
  s.request(3, 900);
  EXPECT_TRUE(s.sent_to(3).empty());
}

TEST(Health, WaitingAloneDoesNotEjectAWorker) {  // incident i3eacf2
  Settings set = settings();
  set.health_checks_allowed = true;
  set.classes[0].latency_objective = Duration(9000);
  Scene s(set);
  s.list({s.worker("a")});
  for (RequestId id = 1; id <= 2; ++id)
    s.request(id, 100);
  s.pass(5000);
  for (const Action& a : s.of(ActionKind::Log))
    EXPECT_EQ(a.text.find("taken as down"), std::string::npos);
}

TEST(Health, ASlowIdempotentRequestIsHedgedAndTheWaitingAttemptIsCancelled) {
  Scene s(settings());
  s.list({s.worker("a"), s.worker("b")});
  s.request(1, 100);
  std::string first = s.sent_to(1);
  s.pass(100);
  std::string second = s.sent_to(1);
  ASSERT_FALSE(second.empty());
  EXPECT_NE(first, second);
  s.started(1, 1);
  ASSERT_EQ(s.of(ActionKind::Cancel).size(), 1U);
  EXPECT_EQ(s.of(ActionKind::Cancel)[0].attempt, 0);
}

TEST(Zones, OwnZoneFirstAndAnotherWhenItIsFull) {
  Scene s(settings());
  s.list({s.worker("near", 0), s.worker("far", 1)});
  for (RequestId id : {1, 2}) {
    s.request(id, 1000);
    EXPECT_EQ(s.sent_to(id), "near");
    s.started(id);
  }
  s.request(3, 50);
  EXPECT_EQ(s.sent_to(3), "far");
}

TEST(Robustness, AbsurdNumbersAndUnknownIdsDoNothingBad) {
  Scene s(settings());
  s.list({s.worker("a")});
  std::vector<double> hints = {0, -1, std::nan(""), 1e300, std::numeric_limits<double>::infinity()};
  RequestId id = 0;
  for (double cost_hint : hints) {
    s.request(++id, cost_hint, 5000, -3);
    EXPECT_EQ(s.sent_to(id), "a");
    s.end(id, 0, Outcome::Success, true);
    s.end(id, 0, Outcome::Success, true);  // a duplicate
  }
  s.actions.clear();
  s.scheduler_.on_attempt_end(s.now, {99, 7, false, "nobody", Outcome::ConnectionReset, {}},
                              s.actions);
  s.scheduler_.on_job_event(s.now, 99, -1, "a", JobEventKind::Started, s.actions);
  s.scheduler_.on_health_check_result(s.now, "nobody", Outcome::Success, {}, s.actions);
  s.scheduler_.on_timer(s.now, s.actions);
  EXPECT_TRUE(s.of(ActionKind::Send).empty() && s.of(ActionKind::Fail).empty() &&
              s.of(ActionKind::Reject).empty());
  EXPECT_EQ(s.scheduler_.open_requests(), 0U);
}

// What a worker's report says of errors, after two jobs that it served at once.
LoadReport errors(double a_second) {
  LoadReport r;
  r.free_slots = 2;
  r.fail_rate = a_second;
  return r;
}

TEST(Failing, AWorkerThatReportsManyErrorsGetsNothingForAWhile) {
  Scene s(settings(Idempotency::NonIdempotent));
  s.list(entries(s, {"a", "b"}));
  s.request(1, 100);
  std::string bad = s.sent_to(1);
  std::string good = bad == "a" ? "b" : "a";
  s.end(1, 0, Outcome::Success, true, errors(4));  // of some twenty that it could serve in a second
  for (RequestId id = 2; id < 4; ++id) {
    s.request(id, 100);
    ASSERT_EQ(s.sent_to(id), good);
    s.started(id);
  }
  s.request(4, 100);
  EXPECT_NE(s.sent_to(4), bad) << "better queued than failed";
  s.pass(2100);
  s.request(5, 100);
  EXPECT_EQ(s.sent_to(5), bad) << "and it gets another chance";
}

TEST(Failing, WhereAllFailAlikeEachStillGetsRequests) {
  Scene s(settings(Idempotency::NonIdempotent));
  s.list(entries(s, {"a", "b"}));
  for (RequestId id = 1; id <= 60; ++id) {
    s.request(id, 100);
    if (s.sent_to(id).empty()) {
      s.pass(2100);
    } else {
      s.end(id, 0, Outcome::Success, true, errors(10));
    }
  }
  s.request(100, 100);
  EXPECT_FALSE(s.sent_to(100).empty());
}

std::string one_run(std::uint64_t seed) {
  Settings set = settings();
  set.seed = seed;
  set.watch_required = true;
  set.poll_deadline = Duration(8000);
  Scene s(set);
  std::ostringstream all;
  auto write = [&] {
    for (const Action& a : s.actions) {
      all << static_cast<int>(a.kind) << ' ' << a.id << ' ' << a.worker << ' '
          << a.at.time_since_epoch().count() << '\n';
    }
  };
  s.list(entries(s, names(6), 2), EndpointUpdateKind::Cached);
  s.list({}, EndpointUpdateKind::Failed);
  write();
  for (RequestId id = 1; id <= 40; ++id) {
    s.request(id * 7919, 10.0 + 13.0 * static_cast<double>(id % 7));
    write();
    if (!s.sent_to(id * 7919).empty() && id % 3 == 0) {
      s.end(id * 7919, 0, Outcome::Success, true);
      write();
    }
    s.pass(20);
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
    for (ClassSettings& c : set.classes)
      c.latency_objective = c.deadline = Duration(60000);
    return set;
  }
  bool goes(std::size_t job_class) {
    actions.clear();
    scheduler_.on_request(now, {++last, job_class, Duration(60000), Duration(10)}, actions);
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
  TwoClasses s;
  s.serve(1, Outcome::Success);
  s.serve(0, Outcome::Failure);
  EXPECT_FALSE(s.goes(0));
  EXPECT_TRUE(s.goes(1));
}

TEST(ClassEjection, LastsTwiceAsLongAfterASecondFailureAndEndsWithASuccess) {
  TwoClasses s;
  s.serve(0, Outcome::Failure);
  s.pass(5001);
  s.serve(0, Outcome::Failure);
  s.pass(9000);
  EXPECT_FALSE(s.goes(0));
  s.pass(1001);  // the job held above goes now
  ASSERT_EQ(s.sent_to(s.last), "a");
  s.started(s.last);
  s.end(s.last, 0, Outcome::Success, true);
  s.serve(0, Outcome::Failure);
  s.pass(5001);
  EXPECT_TRUE(s.goes(0));
}

TEST(ClassEjection, ASingleFailureAmongSuccessesIsChance) {
  TwoClasses s;
  for (int i = 0; i < 3; ++i)
    s.serve(0, Outcome::Success);
  s.serve(0, Outcome::Failure);
  s.serve(0, Outcome::Failure);  // went at once; the second in a row is none
  EXPECT_FALSE(s.goes(0));
}

TEST(ClassEjection,
     IsNoAnswerToOverload) {  // full, withdrawn or late: the worker is busy, whatever the class
  for (Outcome outcome : {Outcome::Rejected, Outcome::Cancelled}) {
    TwoClasses s;
    ASSERT_TRUE(s.goes(0));
    s.end(s.last, 0, outcome);
    s.pass(1000);
    bool retried = !s.sent_to(s.last).empty();
    EXPECT_TRUE(retried || s.goes(0)) << "long before a shunned worker would be tried again";
  }
}

// Where clients give no hints, the ends are all that tells what a job of a class costs: a guess
// that stays at 100 ms has a fleet of 500 ms jobs refuse nearly all as hopeless.
TEST(CostHints, WithoutThemAClassCostsWhatItsEndsHaveShown) {
  Settings set = settings();
  set.classes[0].latency_objective = Duration(300);
  set.classes[0].objective_work_factor = 1.75;
  Scene s(set);
  s.list({s.worker("a")});
  for (RequestId id = 10; id < 16; ++id) {
    s.request(id, 0);
    ASSERT_EQ(s.sent_to(id), "a");
    s.started(id);
    s.pass(500);
    s.end(id, 0, Outcome::Success, true);
  }
  s.fill("a", 0);
  s.pass(100);
  s.request(3, 0);
  EXPECT_EQ(s.sent_to(3), "");
  s.pass(400);  // its limit is 300 + 1.75 * 500 ms away
  EXPECT_FALSE(s.answered(3, ActionKind::Reject));
  std::string went = s.sent_to(3);  // into the queue there, or
  s.end(1, 0, Outcome::Success, true);
  EXPECT_EQ(went + s.sent_to(3), "a");
}

TEST(CostHints, WithoutThemAWorkerThatWarmsUpGetsOneRequestOfAClassWithoutEnds) {
  Scene s(settings());
  WorkerEntry cold = s.worker("a");
  cold.online_since = s.now;
  s.list({cold});
  int sent = 0;
  for (RequestId id = 1; id < 6; ++id) {
    s.request(id, 0);
    if (s.sent_to(id) == "a") {
      ++sent;
      s.started(id);
    }
  }
  EXPECT_EQ(sent, 1);
}

// What a cancel does not stop would run for nobody, and its client come again: a jam that feeds
// itself.
TEST(CostHints, WithoutThemAQueuedRequestIsNotAbandonedBeforeItsClientTimesOut) {
  Scene s(settings(Idempotency::NonIdempotent));
  s.list({s.worker("a")});
  s.request(1, 0);
  ASSERT_EQ(s.sent_to(1), "a");
  s.pass(9000);
  EXPECT_FALSE(s.answered(1, ActionKind::Fail));
  EXPECT_FALSE(s.answered(1, ActionKind::Cancel));
}

// Few jobs a dispatcher, and nothing told of the workers: a class of one size must not fill one
// pool alone.
TEST(CostHints, WithoutThemASampledFleetUsesBothPools) {
  Settings set = settings();
  set.dispatchers = 100;
  Scene s(set);
  auto ids = names(40);
  s.list(entries(s, ids));
  int in_short = 0;
  for (RequestId id = 1; id <= 60; ++id) {
    s.request(id, 0);
    std::string worker = s.sent_to(id);
    ASSERT_FALSE(worker.empty());
    in_short += s.scheduler_.in_short_pool(worker) ? 1 : 0;
    s.started(id);
    s.pass(100);
    s.end(id, 0, Outcome::Success, true);
  }
  EXPECT_GT(in_short, 15);
  EXPECT_LT(in_short, 45);
}

// Copies of all that waits double the load of a full fleet, where cancels stop nothing.
TEST(Hedges, AreAtMostATenthOfTheRecentRequestsAndOne) {
  Scene s(settings());
  auto ids = names(30);
  s.list(entries(s, ids));
  int copies = 0;
  for (RequestId id = 1; id <= 40; ++id) {
    s.request(id, 100);
    s.pass(200);  // no start note comes
    for (const Action& a : s.of(ActionKind::Send))
      copies += a.id <= id ? 1 : 0;
  }
  EXPECT_GE(copies, 1);
  EXPECT_LE(copies, 1 + 40 / 10 + 1);
}

// A copy pays where another worker could start it. Where half of the jobs wait for their start and
// no report tells who has room, the copy would wait too, or take a slot from a job of somebody
// else: they fed the jam of a calm day with a burst. Reports tell, and a copy among them helps who
// waits at a worker that is stuck.
TEST(Hedges, AreNoneWithoutReportsWhereHalfOfTheRecentRequestsHaveWaited) {
  for (auto [prompt, reports] :
       {std::pair(true, LoadReportMode::Off), std::pair(false, LoadReportMode::Off),
        std::pair(false, LoadReportMode::Inline)}) {
    Settings set = settings();
    set.reports = reports;
    Scene s(set);
    auto ids = names(30);
    s.list(entries(s, ids));
    RequestId id = 1;
    for (; id <= 60; ++id) {
      s.request(id, 100);
      ASSERT_FALSE(s.sent_to(id).empty());
      s.pass(prompt ? 5 : 100);
      s.started(id);
      s.pass(100);
      s.end(id, 0, Outcome::Success, true);
    }
    int copies = 0;
    for (; id <= 100; ++id) {
      s.request(id, 100);
      s.pass(200);  // no start note comes
      for (const Action& a : s.of(ActionKind::Send))
        copies += a.id <= id ? 1 : 0;
    }
    if (prompt) {
      EXPECT_GE(copies, 4);
    } else if (reports == LoadReportMode::Off) {
      EXPECT_LE(copies, 1);
    } else {
      EXPECT_GE(copies, 3);
    }
  }
}

// Where no report tells it, a queue that a start note has shown does not go away within a job's
// run.
TEST(ExternalLoad, IsRememberedLongerWithoutReports) {
  for (bool reports : {true, false}) {
    Settings set = settings();
    set.hedging_allowed = false;  // no queue is joined
    set.reports = reports ? LoadReportMode::Inline : LoadReportMode::Off;
    Scene s(set);
    s.list({s.worker("a")});
    s.request(1, 100);
    ASSERT_EQ(s.sent_to(1), "a");
    s.pass(400);
    s.started(1);  // it stood in a queue of some jobs
    s.pass(100);
    s.end(1, 0, Outcome::Success, true);
    s.pass(1500);
    s.request(2, 100);
    EXPECT_EQ(s.sent_to(2), reports ? "a" : "");
  }
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

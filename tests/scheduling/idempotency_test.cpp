// The rule of effects from the side of what was seen: what may have run, when, and where it may go
// again.
#include <cmath>
#include <limits>

#include "tests/scheduling/support.h"

namespace dispatcher::scheduling::testing {
namespace {

constexpr double kSpan = 5000;
constexpr double kConnect = 250;
constexpr double kLast =
    kSpan - 2 * kConnect - 2;  // a repeat this long after the first send is just too late

const std::vector<Outcome> kProofs{Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent};
const std::vector<Outcome> kDoubts{Outcome::Failure, Outcome::TimedOut, Outcome::ConnectionReset,
                                   Outcome::Cancelled};

Settings patient(Idempotency idempotency, DeduplicationScope deduplication_scope) {
  Settings set = settings(idempotency, deduplication_scope);
  set.connect_timeout = Duration(kConnect);
  set.classes[0].latency_objective = set.classes[0].deadline = Duration(30000);
  set.classes[0].deduplication_window = Duration(kSpan);
  return set;
}

struct Story : Scene {
  explicit Story(const Settings& set) : Scene(set) {}

  // Job 1 goes to "a", the only worker, and waits there.
  void send_first() {
    list({worker("a")});
    request(1, 100, 30000);
    ASSERT_EQ(sent_to(1), "a");
    first = now;
  }
  void until(double since_first) { pass((first + Duration(since_first) - now).count()); }
  // A copy goes to "b", which comes up `after` the first send.
  void send_copy(double after) {
    until(after);
    list({worker("b")}, EndpointUpdateKind::Delta);
    for (int i = 0; i < 1500 && copy_to.empty(); ++i) {
      pass(1);
      copy_to = sent_to(1);
    }
    ASSERT_EQ(copy_to, "b");
  }
  void end_as(int attempt, std::string_view named, Outcome outcome) {
    actions.clear();
    scheduler_.on_attempt_end(now, {1, attempt, false, named, outcome, {}}, actions);
  }
  bool silent() { return of(ActionKind::Send).empty() && of(ActionKind::Reject).empty(); }

  Time first;
  std::string copy_to;
};

// The reported day: the first attempt waits at a worker that drains and is handed back after a copy
// has gone out. The group has known the key since the first send; the copy must not begin a span of
// its own.
TEST(DeduplicationWindow, AHedgeSharesThatOfAFirstAttemptRejectedLater) {
  for (Outcome proof : kProofs) {
    for (Outcome doubt : kDoubts) {
      for (double at : {kLast - 1, kLast, kSpan + 10}) {
        Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::Zone));
        s.send_first();
        s.send_copy(1000);
        s.until(2000);
        s.list({s.worker("a", 0, 0, Readiness::Draining)}, EndpointUpdateKind::Delta);
        s.end(1, 0, proof);
        EXPECT_TRUE(s.sent_to(1).empty());
        s.until(at);
        s.list({s.worker("b", 0, 0, Readiness::Draining), s.worker("c")},
               EndpointUpdateKind::Delta);
        s.end(1, 1, doubt);
        EXPECT_EQ(s.sent_to(1), at < kLast ? "c" : "") << at;
        EXPECT_TRUE(s.of(ActionKind::Reject).empty()) << "the copy may have run";
      }
    }
  }
}

TEST(DeduplicationWindow, SoDoesAHedgeOfAHedge) {
  Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::Zone));
  s.send_first();
  s.send_copy(1000);
  s.list({s.worker("a", 0, 0, Readiness::Draining)}, EndpointUpdateKind::Delta);
  s.end(1, 0, Outcome::Rejected);
  s.until(3000);
  s.list({s.worker("c")}, EndpointUpdateKind::Delta);
  for (int i = 0; i < 1500 && s.attempts[1] < 3; ++i) {
    s.pass(1);
    s.sent_to(1);
  }
  ASSERT_EQ(s.attempts[1], 3);
  s.list({s.worker("b", 0, 0, Readiness::Draining)}, EndpointUpdateKind::Delta);
  s.end(1, 1, Outcome::ConnectFailed);
  s.until(kLast);
  s.list({s.worker("d")}, EndpointUpdateKind::Delta);
  s.end(1, 2, Outcome::ConnectionReset);
  EXPECT_TRUE(s.silent());
}

TEST(DeduplicationWindow, BeginsAnewOnceNothingMayHaveRun) {
  for (Outcome proof : kProofs) {
    Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::Zone));
    s.send_first();
    s.until(3000);
    s.list({s.worker("a", 0, 0, Readiness::Draining), s.worker("b", 1)});
    s.end(1, 0, proof);
    ASSERT_EQ(s.sent_to(1), "b") << "in another zone, since nothing ran";
    s.until(kSpan + 2000);
    s.list({s.worker("b", 1, 0, Readiness::Draining), s.worker("c", 1)});
    s.end(1, 1, Outcome::ConnectionReset);
    EXPECT_EQ(s.sent_to(1), "c");
  }
}

TEST(DeduplicationWindow, ARetryMustArriveWithinItAfterEveryOutcomeThatProvesNothing) {
  for (Outcome doubt : kDoubts) {
    for (double at : {kLast - 1, kLast}) {
      Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::All));
      s.send_first();
      s.started(1);
      s.until(at);
      s.list({s.worker("a", 0, 0, Readiness::Draining), s.worker("b")});
      s.end(1, 0, doubt);
      EXPECT_EQ(s.sent_to(1), at < kLast ? "b" : "") << at;
    }
  }
}

TEST(DeduplicationWindow, AHedgeOfAnOpenAttemptMustArriveWithinItToo) {
  for (double at : {kLast - 400, kLast}) {  // waiting jobs are looked at a few times a second
    Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::Zone));
    s.send_first();
    s.until(at);
    s.list({s.worker("b")}, EndpointUpdateKind::Delta);
    s.pass(1500);
    std::string copy = s.sent_to(1);
    EXPECT_EQ(copy, at < kLast ? "b" : "") << at;
  }
}

TEST(DeduplicationWindow, NoRetryReliesOnItWithoutAFiniteConnectTimeout) {
  const double inf = std::numeric_limits<double>::infinity();
  std::vector<std::optional<Duration>> timeouts{std::nullopt, Duration(-1), Duration(std::nan("")),
                                                Duration(inf), Duration(kSpan / 2)};
  for (auto timeout : timeouts) {
    for (Idempotency idempotency : {Idempotency::KeyedIdempotent, Idempotency::Idempotent}) {
      for (Outcome outcome : {Outcome::ConnectionReset, Outcome::Rejected}) {
        Settings set = patient(idempotency, DeduplicationScope::All);
        set.connect_timeout = timeout;
        Story s(set);
        s.send_first();
        s.list({s.worker("a", 0, 0, Readiness::Draining), s.worker("b")});
        s.end(1, 0, outcome);
        bool relies =
            idempotency == Idempotency::KeyedIdempotent && outcome == Outcome::ConnectionReset;
        EXPECT_EQ(s.sent_to(1), relies ? "" : "b");
      }
    }
  }
}

TEST(DeduplicationWindow, AnAbsurdOneIsNone) {
  for (double span : {0.0, std::numeric_limits<double>::infinity()}) {
    Settings set = patient(Idempotency::KeyedIdempotent, DeduplicationScope::All);
    set.classes[0].deduplication_window = Duration(span);
    Story s(set);
    s.send_first();
    s.list({s.worker("a", 0, 0, Readiness::Draining), s.worker("b")});
    s.end(1, 0, Outcome::ConnectionReset);
    EXPECT_TRUE(s.silent());
  }
}

// After a stall of our own the timers come due first and the old ends behind them, all at the
// present time.
TEST(DeduplicationWindow, HoldsForOldTimersAndEndsAfterAStallOfTheDispatcher) {
  Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::Zone));
  s.send_first();
  s.list({s.worker("a"), s.worker("b")});
  s.now += Duration(1500);
  s.actions.clear();
  s.scheduler_.on_timer(s.now, s.actions);
  ASSERT_EQ(s.sent_to(1), "b");
  s.list({s.worker("a", 0, 0, Readiness::Draining)}, EndpointUpdateKind::Delta);
  s.end(1, 0, Outcome::Rejected);
  s.now = s.first + Duration(kLast);
  s.list({s.worker("b", 0, 0, Readiness::Draining), s.worker("c")}, EndpointUpdateKind::Delta);
  s.actions.clear();
  s.scheduler_.on_timer(s.now, s.actions);
  EXPECT_TRUE(s.silent());
  s.end(1, 1, Outcome::ConnectionReset);
  EXPECT_TRUE(s.silent());
}

TEST(DeduplicationScope, IsThatOfTheSendThoughAnUpdateMovesTheWorkerLater) {
  for (DeduplicationScope deduplication_scope :
       {DeduplicationScope::Zone, DeduplicationScope::Cell}) {
    for (int place : {0, 1}) {
      Story s(patient(Idempotency::KeyedIdempotent, deduplication_scope));
      s.send_first();
      s.list({s.worker("a", 1, 1, Readiness::Draining), s.worker("b", place, place)});
      s.end(1, 0, Outcome::ConnectionReset);
      EXPECT_EQ(s.sent_to(1), place == 0 ? "b" : "");
    }
  }
}

TEST(ProofOfNotRunning, IsNoneAfterAStartOrProgressEvent) {
  for (Outcome proof : kProofs) {
    for (JobEventKind kind : {JobEventKind::Started, JobEventKind::Progress}) {
      Story s(patient(Idempotency::NonIdempotent, DeduplicationScope::All));
      s.send_first();
      s.scheduler_.on_job_event(s.now, 1, 0, "a", kind, s.actions);
      s.list({s.worker("b")}, EndpointUpdateKind::Delta);
      s.end(1, 0, proof);
      EXPECT_TRUE(s.silent());
      EXPECT_TRUE(s.answered(1, ActionKind::Fail));
    }
  }
}

TEST(ProofOfNotRunning, IsNoneFromAnotherWorker) {
  for (Outcome proof : kProofs) {
    Settings set = patient(Idempotency::NonIdempotent, DeduplicationScope::All);
    set.cancellation_allowed = false;
    Story s(set);
    s.send_first();
    s.list({s.worker("b")}, EndpointUpdateKind::Delta);
    for (std::string_view name : {"b", "nobody"}) {
      s.end_as(0, name, proof);
      EXPECT_TRUE(s.silent());
    }
    s.end_as(7, "a", proof);
    EXPECT_TRUE(s.silent());
    s.end(1, 0, Outcome::ConnectionReset);
    EXPECT_TRUE(s.silent());
    EXPECT_TRUE(s.answered(1, ActionKind::Fail));
  }
}

// The first of two ends in doubt; a second end of it that would prove something, or one under the
// copy's name, changes nothing: the job may only go within the group, and is not refused.
TEST(ProofOfNotRunning, IsNoneAfterAnotherEnd) {
  for (Outcome proof : kProofs) {
    for (Outcome doubt : kDoubts) {
      Story s(patient(Idempotency::KeyedIdempotent, DeduplicationScope::Cell));
      s.send_first();
      s.send_copy(100);
      s.end(1, 0, doubt);
      s.end(1, 0, proof);
      s.end_as(0, "b", proof);
      s.list({s.worker("a", 0, 0, Readiness::Removed), s.worker("b", 0, 0, Readiness::Removed),
              s.worker("c", 0, 1)},
             EndpointUpdateKind::Delta);
      s.end(1, 1, proof);
      EXPECT_TRUE(s.silent());
      EXPECT_TRUE(s.answered(1, ActionKind::Fail));
    }
  }
}

// Held after the proof, since its only worker is full or down, the job is neither sent again nor
// refused.
TEST(ProofOfNotRunning, IsRevokedByALaterSignThatItRan) {
  for (Outcome proof : {Outcome::Rejected, Outcome::ConnectFailed}) {
    for (int sign : {0, 1, 2}) {
      Story s(patient(Idempotency::NonIdempotent, DeduplicationScope::All));
      s.send_first();
      s.end(1, 0, proof);
      ASSERT_TRUE(s.silent());
      if (sign == 0)
        s.end(1, 0, Outcome::ConnectionReset);
      if (sign == 1)
        s.started(1);
      if (sign == 2)
        s.scheduler_.on_job_event(s.now, 1, 0, "nobody", JobEventKind::Progress, s.actions);
      std::vector<Action> seen = s.actions;
      s.pass(30000);
      seen.insert(seen.end(), s.actions.begin(), s.actions.end());
      EXPECT_EQ(std::ranges::count(seen, ActionKind::Send, &Action::kind), 0);
      EXPECT_EQ(std::ranges::count(seen, ActionKind::Reject, &Action::kind), 0);
      EXPECT_EQ(std::ranges::count(seen, ActionKind::Fail, &Action::kind), 1);
    }
  }
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

// Ejection of workers by symptoms, and their recovery.
#include "scheduling/outlier_ejection.h"

#include <gtest/gtest.h>

namespace dispatcher::scheduling::testing {
namespace {

constexpr Time kStart{Duration(1000000)};

class OutlierEjectionTest : public ::testing::Test {
 protected:
  OutlierEjectionTest() {
    sink_.begin_event(actions_);
    settings_.health_checks_allowed = true;
  }

  std::ptrdiff_t count(ActionKind kind) const {
    return std::ranges::count(actions_, kind, &Action::kind);
  }
  RequestState request(Idempotency idempotency) {
    RequestState state;
    state.class_settings.idempotency = idempotency;
    return state;
  }

  Settings settings_;
  Actions actions_;
  ActionSink sink_;
  TimerQueue timers_{sink_};
  CostEstimator costs_;
  SlowStart slow_start_{settings_, costs_, kStart};
  OutlierEjection ejection_{settings_, sink_, timers_, slow_start_};
  Worker worker_;
};

TEST_F(OutlierEjectionTest, ALostConnectionEjectsAndStartsAHealthCheck) {
  ejection_.on_attempt_end(worker_, 0, Outcome::ConnectionReset, kStart);
  EXPECT_TRUE(ejection_.ejected(worker_, kStart));
  EXPECT_EQ(count(ActionKind::HealthCheck), 1);
  EXPECT_TRUE(ejection_.ejected(worker_, kStart + Duration(60000)));
  ejection_.on_alive(worker_, kStart + Duration(60000));
  EXPECT_FALSE(ejection_.ejected(worker_, kStart + Duration(60000)));
}

TEST_F(OutlierEjectionTest, ASuspectGetsIdempotentRequestsOnlyAndIsForgiven) {
  const RequestState idempotent = request(Idempotency::Idempotent);
  const RequestState non_idempotent = request(Idempotency::NonIdempotent);
  ejection_.on_attempt_end(worker_, 0, Outcome::TimedOut, kStart);
  EXPECT_FALSE(ejection_.ejected(worker_, kStart));
  EXPECT_TRUE(ejection_.accepts(worker_, idempotent, kStart));
  EXPECT_FALSE(ejection_.accepts(worker_, non_idempotent, kStart));
  EXPECT_TRUE(ejection_.accepts(worker_, non_idempotent, kStart + Duration(5000)));
}

TEST_F(OutlierEjectionTest, SlownessAloneDoesNotEjectWhereHealthChecksTell) {
  for (int i = 0; i < 20; ++i)
    ejection_.on_attempt_slow(worker_, true, kStart);
  EXPECT_FALSE(ejection_.ejected(worker_, kStart));
  EXPECT_EQ(count(ActionKind::HealthCheck), 1);
}

TEST_F(OutlierEjectionTest, AFailureEjectsForItsClassForAGrowingTime) {
  RequestState state = request(Idempotency::Idempotent);
  ejection_.on_attempt_end(worker_, 0, Outcome::Failure, kStart);
  EXPECT_FALSE(ejection_.accepts(worker_, state, kStart + Duration(4999)));
  EXPECT_TRUE(ejection_.accepts(worker_, state, kStart + Duration(5000)));
  ejection_.on_attempt_end(worker_, 0, Outcome::Failure, kStart + Duration(5000));
  EXPECT_FALSE(ejection_.accepts(worker_, state, kStart + Duration(14999)));
  state.request.job_class = 1;
  EXPECT_TRUE(ejection_.accepts(worker_, state, kStart + Duration(14999)));
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

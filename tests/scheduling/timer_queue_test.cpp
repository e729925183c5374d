// The timers of all parts behind the single timer of the caller.
#include "scheduling/timer_queue.h"

#include <gtest/gtest.h>

namespace dispatcher::scheduling::testing {
namespace {

Time at_ms(double ms) {
  return Time(Duration(ms));
}

class TimerQueueTest : public ::testing::Test {
 protected:
  TimerQueueTest() { sink_.begin_event(actions_); }

  Actions actions_;
  ActionSink sink_;
  TimerQueue timers_{sink_};
};

TEST_F(TimerQueueTest, FiresInOrderOfTimeAndThenOfScheduling) {
  timers_.schedule(at_ms(20), TimerKind::Deadline, 1);
  timers_.schedule(at_ms(10), TimerKind::AttemptMonitor, 2);
  timers_.schedule(at_ms(10), TimerKind::Deadline, 3);
  EXPECT_FALSE(timers_.pop_due(at_ms(9)));
  EXPECT_EQ(timers_.pop_due(at_ms(20))->id, 2U);
  EXPECT_EQ(timers_.pop_due(at_ms(20))->id, 3U);
  EXPECT_EQ(timers_.pop_due(at_ms(20))->id, 1U);
  EXPECT_FALSE(timers_.pop_due(at_ms(20)));
}

TEST_F(TimerQueueTest, SetsTheCallersTimerForTheEarliestOnlyAndInWholeMilliseconds) {
  timers_.schedule(at_ms(20), TimerKind::Deadline, 1);
  timers_.schedule(at_ms(30), TimerKind::Deadline, 2);
  ASSERT_EQ(actions_.size(), 1U);
  timers_.schedule(at_ms(10.2), TimerKind::Deadline, 3);
  ASSERT_EQ(actions_.size(), 2U);
  EXPECT_EQ(actions_[1].kind, ActionKind::SetTimer);
  EXPECT_EQ(actions_[1].at, at_ms(11));
}

TEST_F(TimerQueueTest, RearmsForTheNextTimerOnceTheCallersHasFired) {
  timers_.schedule(at_ms(10), TimerKind::Deadline, 1);
  timers_.schedule(at_ms(30), TimerKind::Deadline, 2);
  timers_.rearm(at_ms(5));
  EXPECT_EQ(actions_.size(), 1U);
  EXPECT_TRUE(timers_.pop_due(at_ms(10)));
  timers_.rearm(at_ms(10));
  ASSERT_EQ(actions_.size(), 2U);
  EXPECT_EQ(actions_[1].at, at_ms(30));
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

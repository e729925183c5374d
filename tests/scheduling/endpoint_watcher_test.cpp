// The watch of the endpoint list and its backoff.
#include "scheduling/endpoint_watcher.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace dispatcher::scheduling::testing {
namespace {

constexpr Time kStart{Duration(1000000)};

class EndpointWatcherTest : public ::testing::Test {
 protected:
  EndpointWatcherTest() {
    sink_.begin_event(actions_);
    settings_.watch_required = true;
  }

  std::ptrdiff_t watches() const {
    return std::ranges::count(actions_, ActionKind::Watch, &Action::kind);
  }

  Settings settings_;
  Actions actions_;
  ActionSink sink_;
  TimerQueue timers_{sink_};
  std::mt19937_64 random_{1};
  EndpointWatcher watcher_{settings_, sink_, timers_, random_};
};

TEST_F(EndpointWatcherTest, WatchesAtOnceWhenItStartsWithNothing) {
  watcher_.on_update(kStart, EndpointUpdateKind::Cached, true);
  EXPECT_EQ(watches(), 1);
}

TEST_F(EndpointWatcherTest, WatchesAgainOnlyAfterTheLatestCallAndWhileNoWatchIsOpen) {
  watcher_.on_update(kStart, EndpointUpdateKind::Cached, true);
  watcher_.on_timer(kStart + Duration(2000), 1);
  EXPECT_EQ(watches(), 2);
  watcher_.on_timer(kStart + Duration(2000), 1);
  EXPECT_EQ(watches(), 2);
  watcher_.on_update(kStart + Duration(2100), EndpointUpdateKind::Snapshot, false);
  watcher_.on_timer(kStart + Duration(4000), 2);
  EXPECT_EQ(watches(), 2);
}

TEST_F(EndpointWatcherTest, BackoffGrowsToItsMaximum) {
  watcher_.on_update(kStart, EndpointUpdateKind::Cached, true);
  double maximum_ms = 500;
  for (int failure = 0; failure < 4; ++failure) {
    while (timers_.pop_due(kStart + Duration(1e6))) {
    }
    watcher_.on_update(kStart, EndpointUpdateKind::Failed, true);
    EXPECT_FALSE(timers_.pop_due(kStart + Duration(maximum_ms / 2 - 1)));
    EXPECT_TRUE(timers_.pop_due(kStart + Duration(maximum_ms)));
    maximum_ms = std::min(2 * maximum_ms, 1500.0);
  }
}

TEST_F(EndpointWatcherTest, DoesNothingWhereNoWatchIsRequired) {
  settings_.watch_required = false;
  watcher_.on_update(kStart, EndpointUpdateKind::Cached, true);
  EXPECT_TRUE(actions_.empty());
}

}  // namespace
}  // namespace dispatcher::scheduling::testing

// Virtual time: events in the order of their time, then of their insertion.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatcher/scheduling/scheduler.h"

namespace dispatcher::testbed {

class EventQueue {
 public:
  using Time = scheduling::Time;
  using Duration = scheduling::Duration;

  Time now() const { return now_; }

  void schedule_at(Time at, std::function<void()> run) {
    events_.push({at, ++inserted_, std::move(run)});
  }
  void schedule_in(Duration delay, std::function<void()> run) {
    schedule_at(now_ + delay, std::move(run));
  }

  // Runs all events up to `end`, which becomes the present.
  void run_until(Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.run();
    }
    now_ = end;
  }

 private:
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  Time now_{};
  std::uint64_t inserted_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace dispatcher::testbed

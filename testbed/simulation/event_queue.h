// Discrete-event queue in virtual time: runs events in order of time, then of insertion.
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

  void schedule_at(Time at, std::function<void()> callback) {
    events_.push({at, ++last_sequence_, std::move(callback)});
  }
  void schedule_in(Duration delay, std::function<void()> callback) {
    schedule_at(now_ + delay, std::move(callback));
  }

  // Runs all events due until `end`, also those that they add, then sets now() to `end`.
  void run_until(Time end) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.at);
      event.callback();
    }
    now_ = end;
  }

 private:
  struct Event {
    Time at;
    std::uint64_t sequence;
    std::function<void()> callback;
    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  Time now_{};
  std::uint64_t last_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace dispatcher::testbed

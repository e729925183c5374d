// Runs events one at a time: an event posted while another one runs is queued until that one
// returns. This keeps the scheduler from being called re-entrantly by one of its own actions.
#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace dispatcher::routing {

class EventQueue {
 public:
  using Event = std::function<void()>;

  // Runs `event` before returning, unless called from inside another event, which queues it.
  void post(Event event) {
    events_.push_back(std::move(event));
    if (running_)
      return;
    running_ = true;
    while (!events_.empty()) {
      Event next = std::move(events_.front());
      events_.pop_front();
      next();
    }
    running_ = false;
  }

 private:
  std::deque<Event> events_;
  bool running_ = false;
};

}  // namespace dispatcher::routing

// Runs events one after another: an event that is posted while another runs waits for its end. So
// the scheduler is never entered from inside one of its own actions.
#pragma once

#include <deque>
#include <functional>
#include <utility>

namespace dispatcher::routing {

class EventQueue {
 public:
  using Event = std::function<void()>;

  // Runs `event` before it returns, unless it is called from inside another event.
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

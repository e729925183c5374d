// Multiplexes the scheduler's timers onto the single timer that the caller provides.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "dispatcher/scheduling/types.h"
#include "scheduling/action_sink.h"

namespace dispatcher::scheduling {

enum class TimerKind {
  Deadline,           // a request must be answered
  PreDispatchCheck,   // health checks before a dispatch have timed out
  ObjectiveDeadline,  // a pending request can no longer meet its objective
  AttemptMonitor,     // examine the open attempts of a request
  PendingSweep,       // try to dispatch the pending requests again
  RecoveryProbe,      // an ejected worker is due for a probe
  EndpointWatch       // watch the endpoint list again
};

struct Timer {
  Time at;
  std::uint64_t order = 0;  // scheduling order; breaks ties between timers due at the same time
  TimerKind kind = TimerKind::Deadline;
  std::uint64_t id = 0;  // of a request or a watch; 0: none
  bool operator>(const Timer& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

// A priority queue of timers. Timers cannot be cancelled: the handler checks whether a timer is
// still relevant.
class TimerQueue {
 public:
  explicit TimerQueue(ActionSink& actions) : actions_(actions) {}

  // Also sets the caller's timer if this timer is due before it.
  void schedule(Time at, TimerKind kind, std::uint64_t id);
  // Removes and returns the next timer that is due.
  std::optional<Timer> pop_due(Time now);
  // Sets the caller's timer again once it has fired and the due timers have been handled.
  void rearm(Time now);

 private:
  void set_caller_timer(Time at);

  ActionSink& actions_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::optional<Time> armed_at_;  // when the caller's timer fires; empty: not set
  std::uint64_t last_order_ = 0;
};

}  // namespace dispatcher::scheduling

// The timers of all parts, behind the single timer that the caller keeps for the scheduler.
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
  PreDispatchCheck,   // health checks before a dispatch remain unanswered
  ObjectiveDeadline,  // a pending request can no longer be in time
  AttemptMonitor,     // look after the open attempts of a request
  PendingSweep,       // dispatch pending requests anew
  RecoveryProbe,      // an ejected worker is due for a probe
  EndpointWatch       // watch the endpoint list again
};

struct Timer {
  Time at;
  std::uint64_t order = 0;  // of scheduling: timers of the same time fire in it
  TimerKind kind = TimerKind::Deadline;
  std::uint64_t id = 0;  // of a request, or of a watch; 0: none
  bool operator>(const Timer& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

// A priority queue of timers. Timers are never removed: whoever handles one checks whether it still
// has a meaning.
class TimerQueue {
 public:
  explicit TimerQueue(ActionSink& actions) : actions_(actions) {}

  // Sets the caller's timer too when this one is the earliest.
  void schedule(Time at, TimerKind kind, std::uint64_t id);
  // Removes and returns the next timer that is due.
  std::optional<Timer> pop_due(Time now);
  // After the caller's timer has fired and the due timers were handled: sets it anew.
  void rearm(Time now);

 private:
  void set_caller_timer(Time at);

  ActionSink& actions_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::optional<Time> armed_at_;  // when the caller's timer fires
  std::uint64_t last_order_ = 0;
};

}  // namespace dispatcher::scheduling

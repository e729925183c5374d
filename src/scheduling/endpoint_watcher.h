// Keeps the endpoint list watch open.
#pragma once

#include <cstdint>
#include <random>

#include "dispatcher/scheduling/types.h"
#include "scheduling/action_sink.h"
#include "scheduling/timer_queue.h"

namespace dispatcher::scheduling {

// Starts a watch call at startup and another one after each failure. The call must start within
// `poll_deadline` or, after a failed call, within the time that this call has left of four times
// `poll_deadline`. Discovery serves its callers one at a time, so dispatchers whose calls fail
// together would keep it overloaded. The backoff therefore grows with the number of dispatchers. If
// there are many, a dispatcher that holds a cached list also delays its first call.
class EndpointWatcher {
 public:
  // All references must outlive the watcher.
  EndpointWatcher(const Settings& settings, ActionSink& actions, TimerQueue& timers,
                  std::mt19937_64& random)
      : settings_(settings), actions_(actions), timers_(timers), random_(random) {}

  void on_update(Time now, EndpointUpdateKind kind, bool empty);
  // Watches again if no watch is open and the timer belongs to the latest call or delay.
  void on_timer(Time now, std::uint64_t call);

 private:
  void watch(Time now);

  const Settings& settings_;
  ActionSink& actions_;
  TimerQueue& timers_;
  std::mt19937_64& random_;
  bool watching_ = false;
  std::uint64_t latest_call_ = 0;
  Duration backoff_{0};
};

}  // namespace dispatcher::scheduling

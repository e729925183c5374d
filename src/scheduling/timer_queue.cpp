#include "scheduling/timer_queue.h"

#include <cmath>

#include "scheduling/units.h"

namespace dispatcher::scheduling {

void TimerQueue::schedule(Time at, TimerKind kind, std::uint64_t id) {
  timers_.push({at, ++last_order_, kind, id});
  if (!armed_at_ || at < *armed_at_)
    set_caller_timer(at);
}

std::optional<Timer> TimerQueue::pop_due(Time now) {
  if (timers_.empty() || timers_.top().at > now)
    return std::nullopt;
  const Timer timer = timers_.top();
  timers_.pop();
  return timer;
}

void TimerQueue::rearm(Time now) {
  if (armed_at_ && *armed_at_ > now)
    return;
  armed_at_.reset();
  if (!timers_.empty())
    set_caller_timer(timers_.top().at);
}

// Rounds up to whole milliseconds: the caller's clock may be coarser and must not fire too early.
void TimerQueue::set_caller_timer(Time at) {
  armed_at_ = Time(Duration(std::ceil(milliseconds(at.time_since_epoch()))));
  actions_.set_timer(*armed_at_);
}

}  // namespace dispatcher::scheduling

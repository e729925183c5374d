#include "scheduling/endpoint_watcher.h"

#include <algorithm>

namespace dispatcher::scheduling {
namespace {

constexpr Duration kServiceTime{20};  // that discovery needs for one dispatcher's call
constexpr Duration kMaxBackoff{1500};
constexpr Duration kMinBackoff = kMaxBackoff / 3;
constexpr Duration kMinCallTimeout = std::chrono::seconds(2);

}  // namespace

void EndpointWatcher::watch(Time now) {
  actions_.watch();
  watching_ = false;
  timers_.schedule(now + std::max(settings_.poll_deadline / 2, kMinCallTimeout),
                   TimerKind::EndpointWatch, ++latest_call_);
}

void EndpointWatcher::on_update(Time now, EndpointUpdateKind kind, bool empty) {
  if (!settings_.watch_required || kind == EndpointUpdateKind::Local)
    return;
  const Duration round_time = kServiceTime * settings_.dispatchers;
  const Duration minimum = std::clamp(round_time, kMinBackoff, kMaxBackoff);
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  const bool starting = kind == EndpointUpdateKind::Cached;
  watching_ = !starting && kind != EndpointUpdateKind::Failed;
  if (starting && (empty || round_time < minimum)) {
    watch(now);
  } else if (starting) {
    timers_.schedule(now + round_time * 2 * (jitter(random_) - 0.5), TimerKind::EndpointWatch,
                     ++latest_call_);
  } else if (!watching_) {
    timers_.schedule(now + backoff_ * jitter(random_), TimerKind::EndpointWatch, ++latest_call_);
  }
  backoff_ = watching_ || starting ? minimum : std::min(2 * backoff_, kMaxBackoff);
}

void EndpointWatcher::on_timer(Time now, std::uint64_t call) {
  if (call == latest_call_ && !watching_)
    watch(now);
}

}  // namespace dispatcher::scheduling

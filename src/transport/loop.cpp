#include "transport/loop.h"

#include <algorithm>

namespace dispatcher::transport {
namespace {

constexpr double kMicrosecondsPerMillisecond = 1000;

gboolean on_wake(gpointer) {
  return G_SOURCE_CONTINUE;
}

GSourceFuncs wake_functions() {
  GSourceFuncs functions{};
  functions.dispatch = [](GSource*, GSourceFunc callback, gpointer data) {
    return callback(data);
  };
  return functions;
}

}  // namespace

Loop::Loop(Deadlines& deadlines, const Clock& clock)
    : deadlines_(deadlines),
      clock_(clock),
      context_(g_main_context_new()),
      wake_functions_(wake_functions()),
      wake_source_(g_source_new(&wake_functions_, sizeof(GSource))) {
  g_source_set_callback(wake_source_.get(), on_wake, nullptr, nullptr);
  // Lower priority than the sockets, so that their input is served before the deadlines of the same
  // turn.
  g_source_set_priority(wake_source_.get(), G_PRIORITY_DEFAULT_IDLE);
  g_source_attach(wake_source_.get(), context_.get());
}

void Loop::turn() {
  gint64 ready_time_us = -1;
  if (std::optional<Time> next = deadlines_.earliest()) {
    double wait_ms = std::max(0.0, (*next - clock_.now()).count());
    ready_time_us =
        g_get_monotonic_time() + static_cast<gint64>(wait_ms * kMicrosecondsPerMillisecond);
  }
  g_source_set_ready_time(wake_source_.get(), ready_time_us);
  g_main_context_iteration(context_.get(), !more_to_do_);
  more_to_do_ = post_io_callback_ && post_io_callback_();
  deadlines_.fire_expired(clock_.now());
}

}  // namespace dispatcher::transport

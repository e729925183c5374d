#include "transport/loop.h"

#include <algorithm>

namespace dispatcher::transport {
namespace {

gboolean woken(gpointer) {
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
      wake_(g_source_new(&wake_functions_, sizeof(GSource))) {
  g_source_set_callback(wake_.get(), woken, nullptr, nullptr);
  // Behind the sockets, so that what they hold is served before the deadlines of the same turn.
  g_source_set_priority(wake_.get(), G_PRIORITY_DEFAULT_IDLE);
  g_source_attach(wake_.get(), context_.get());
}

void Loop::turn() {
  gint64 ready = -1;
  if (std::optional<Time> next = deadlines_.next()) {
    double wait = std::max(0.0, (*next - clock_.now()).count());
    ready = g_get_monotonic_time() + static_cast<gint64>(wait * 1000);
  }
  g_source_set_ready_time(wake_.get(), ready);
  g_main_context_iteration(context_.get(), !more_);
  more_ = after_sockets_ && after_sockets_();
  deadlines_.sweep(clock_.now());
}

}  // namespace dispatcher::transport

// The event loop of the program. Each turn waits for sockets or the next deadline, lets GLib
// dispatch the socket events, and fires the expired deadlines.
#pragma once

#include <functional>

#include "transport/deadlines.h"
#include "transport/glib.h"

namespace dispatcher::transport {

// Confined to the thread that calls turn().
class Loop {
 public:
  Loop(Deadlines& deadlines, const Clock& clock);
  GMainContext* context() { return context_.get(); }
  // The callback is called in each turn after the sockets and before the deadlines. It returns true
  // if it has more to do, so that the next turn must not wait.
  void set_post_io_callback(std::function<bool()> callback) {
    post_io_callback_ = std::move(callback);
  }
  void turn();

 private:
  Deadlines& deadlines_;
  const Clock& clock_;
  ContextPtr context_;
  std::function<bool()> post_io_callback_;
  bool more_to_do_ = false;
  GSourceFuncs wake_functions_;  // declared before the source, because GLib keeps a pointer to it
  SourcePtr wake_source_;        // ends the wait at the earliest deadline
};

}  // namespace dispatcher::transport

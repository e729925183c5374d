// The turn of the program: wait for sockets, let GLib serve them, sweep the deadlines.
#pragma once

#include <functional>

#include "transport/deadlines.h"
#include "transport/glib.h"

namespace dispatcher::transport {

class Loop {
 public:
  Loop(Deadlines& deadlines, const Clock& clock);
  GMainContext* context() { return context_.get(); }
  // Called in each turn between the sockets and the deadlines; true: it has more to do, and the
  // next turn must not wait.
  void after_sockets(std::function<bool()> call) { after_sockets_ = std::move(call); }
  void turn();

 private:
  Deadlines& deadlines_;
  const Clock& clock_;
  ContextPtr context_;
  std::function<bool()> after_sockets_;
  bool more_ = false;
  GSourceFuncs
      wake_functions_;  // GLib keeps a pointer to it: before the source, so that it outlives it
  SourcePtr wake_;  // the one timed source: it only ends the wait when the earliest deadline comes
};

}  // namespace dispatcher::transport

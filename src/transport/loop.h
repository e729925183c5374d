// The event loop of the program: each turn waits for sockets, lets GLib serve them and sweeps the
// deadlines.
#pragma once

#include <functional>

#include "transport/deadlines.h"
#include "transport/glib.h"

namespace dispatcher::transport {

// Belongs to one thread, which calls turn().
class Loop {
 public:
  Loop(Deadlines& deadlines, const Clock& clock);
  GMainContext* context() { return context_.get(); }
  // Called in each turn between the sockets and the deadlines; true: it has more to do, so that the
  // next turn must not wait.
  void after_sockets(std::function<bool()> call) { after_sockets_ = std::move(call); }
  void turn();

 private:
  Deadlines& deadlines_;
  const Clock& clock_;
  ContextPtr context_;
  std::function<bool()> after_sockets_;
  bool more_to_do_ = false;
  GSourceFuncs wake_functions_;  // GLib keeps a pointer to it: declared before the source
  SourcePtr wake_source_;        // ends the wait at the earliest deadline
};

}  // namespace dispatcher::transport

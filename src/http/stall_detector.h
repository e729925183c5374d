// Detects that a peer makes no progress while the dispatcher waits for it.
#pragma once

#include "transport/clock.h"

namespace dispatcher::http {

// For one side, sender or receiver, of one relayed body. The stall timeout runs only while the
// dispatcher waits for that side.
class StallDetector {
 public:
  void set_waiting(transport::Time now, bool waiting) {
    if (waiting && !waiting_)
      last_progress_ = now;
    waiting_ = waiting;
  }
  void record_progress(transport::Time now) { last_progress_ = now; }
  bool is_stalled(transport::Time now, transport::Duration limit) const {
    return waiting_ && now - last_progress_ >= limit;
  }

 private:
  bool waiting_ = false;
  transport::Time last_progress_{};
};

}  // namespace dispatcher::http

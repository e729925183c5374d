// Detects a peer that makes no progress while the dispatcher waits for it.
#pragma once

#include "transport/clock.h"

namespace dispatcher::http {

// One side of one direction of a body. The stall period runs only while that side is waited for.
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

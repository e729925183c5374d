// Settings for bodies that are relayed while they arrive, shared by the client and worker sides.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "streaming/memory_budget.h"
#include "transport/clock.h"

namespace dispatcher::http {

// Set if the features file enables streaming.
struct Streaming {
  std::uint64_t max_body_bytes = 0;      // limit for one body
  std::size_t replay_bytes = 0;          // of an upload, kept for a retry on another worker
  transport::Duration stall_timeout{0};  // for a peer that makes no progress
  transport::Duration max_timeout{0};    // limit for a request's timeout; wire: X-Time-Left-Ms
  std::shared_ptr<streaming::MemoryBudget> budget;
};

// Connections with a longer body are served as bulk connections, after all others. Small requests
// stay below this limit, even if their body arrives separately from the head.
constexpr std::uint64_t kBulkThresholdBytes = 64 << 10;

}  // namespace dispatcher::http

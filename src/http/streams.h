// Settings that both HTTP sides share for bodies that are relayed while they arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include "streaming/memory_budget.h"
#include "transport/clock.h"

namespace dispatcher::http {

// Present where the features file switches streaming on.
struct Streaming {
  std::uint64_t maximum_body_bytes = 0;  // largest body, in bytes
  std::size_t replay_bytes = 0;          // of an upload, kept for a retry at another worker
  transport::Duration stall{0};          // a peer that makes no progress for this long is dropped
  transport::Duration longest{0};        // upper limit of a request's timeout; wire: X-Time-Left-Ms
  std::shared_ptr<streaming::MemoryBudget> budget;
};

// Connections that carry a longer body than this are served as bulk connections, after all others.
// A small request whose body did not arrive with its head stays below it.
constexpr std::uint64_t kBulkThresholdBytes = 64 << 10;

}  // namespace dispatcher::http

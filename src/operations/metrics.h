// Counters of the dispatcher. Each is incremented where its event occurs; GET /admin/stats returns
// them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dispatcher::operations {

// Finished requests of one class. A request whose client had disconnected is not counted.
struct RequestCounts {
  std::uint64_t fulfilled = 0;  // succeeded
  std::uint64_t throttled = 0;  // rejected before any of it ran
  std::uint64_t faulted = 0;    // failed
};

struct Metrics {
  // `job_class`: the scheduler's class number.
  RequestCounts& for_class(std::size_t job_class) {
    if (job_class >= counts_by_class.size())
      counts_by_class.resize(job_class + 1);
    return counts_by_class[job_class];
  }
  std::vector<RequestCounts> counts_by_class;  // indexed by the scheduler's class number
  std::uint64_t relayed = 0;                   // attempts sent to a worker up to the last byte
  std::uint64_t cfg_accepted = 0;              // configuration files accepted at SIGHUP
  std::uint64_t cfg_invalid = 0;               // configuration files rejected at SIGHUP
};

}  // namespace dispatcher::operations

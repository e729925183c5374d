// Counters of the dispatcher. Each is incremented where the event happens; /admin/stats shows them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dispatcher::operations {

// Final answers of one request class. A request whose client had disconnected is not counted.
struct Ends {
  std::uint64_t fulfilled = 0;  // succeeded
  std::uint64_t throttled = 0;  // rejected before anything of it ran
  std::uint64_t faulted = 0;    // failed
};

struct Metrics {
  // `job_class`: the scheduler's number.
  Ends& of(std::size_t job_class) {
    if (job_class >= ends.size())
      ends.resize(job_class + 1);
    return ends[job_class];
  }
  std::vector<Ends> ends;          // by the scheduler's class numbers
  std::uint64_t relayed = 0;       // attempts sent to a worker up to the last byte
  std::uint64_t cfg_accepted = 0;  // configuration files accepted at SIGHUP
  std::uint64_t cfg_invalid = 0;   // configuration files rejected at SIGHUP
};

}  // namespace dispatcher::operations

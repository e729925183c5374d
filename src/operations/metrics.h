// The one set of counters. Each is incremented where the thing happens; whoever shows figures reads
// them here.
#pragma once

#include <cstdint>
#include <vector>

namespace dispatcher::operations {

// Final answers by the command's class. A client that had left by then got none and is counted
// nowhere.
struct Ends {
  std::uint64_t fulfilled = 0;  // served
  std::uint64_t throttled = 0;  // refused: nothing of it has run
  std::uint64_t faulted = 0;    // failed
};

struct Metrics {
  Ends& of(std::size_t job_class) {
    if (job_class >= ends.size())
      ends.resize(job_class + 1);
    return ends[job_class];
  }
  std::vector<Ends> ends;     // by the scheduler's number of the class
  std::uint64_t relayed = 0;  // attempts whose last byte went out to a worker
  std::uint64_t cfg_accepted = 0;
  std::uint64_t cfg_invalid = 0;  // files taken and turned down at SIGHUP
};

}  // namespace dispatcher::operations

// Records when which worker of a soak had a fault.
#pragma once

#include <limits>
#include <vector>

namespace dispatcher::testbed {

// Times are milliseconds of the steady clock. Not thread-safe.
class WorkerFaults {
 public:
  explicit WorkerFaults(int workers) : intervals_(static_cast<std::size_t>(workers)) {}

  void begin(int worker, double at_ms);
  // Ends the oldest open fault of the worker; a worker may have several at a time.
  void end(int worker, double at_ms);
  // Whether some worker had no fault at any time in the interval.
  bool any_healthy(double from_ms, double to_ms) const;

 private:
  static constexpr double kOpenEnd = std::numeric_limits<double>::infinity();
  struct Interval {
    double from_ms = 0;
    double to_ms = kOpenEnd;
  };

  std::vector<std::vector<Interval>> intervals_;  // by worker
};

}  // namespace dispatcher::testbed

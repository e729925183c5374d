// When which worker of a soak had a fault.
#pragma once

#include <limits>
#include <vector>

namespace dispatcher::testbed {

// Times are milliseconds of the steady clock. Not thread-safe.
class WorkerFaults {
 public:
  explicit WorkerFaults(int workers) : spans_(static_cast<std::size_t>(workers)) {}

  void begin(int worker, double at_ms);
  void end(int worker, double at_ms);
  // Whether some worker had no fault for all of the span.
  bool any_well(double from_ms, double to_ms) const;

 private:
  struct Span {
    double from_ms = 0;
    double to_ms = std::numeric_limits<double>::infinity();  // until end()
  };

  std::vector<std::vector<Span>> spans_;  // by worker
};

}  // namespace dispatcher::testbed

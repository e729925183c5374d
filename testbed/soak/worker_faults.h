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
  // Ends one that has begun; a worker may have several.
  void end(int worker, double at_ms);
  // Whether some worker had no fault for all of the span.
  bool any_well(double from_ms, double to_ms) const;

 private:
  static constexpr double kUnended = std::numeric_limits<double>::infinity();
  struct Span {
    double from_ms = 0;
    double to_ms = kUnended;
  };

  std::vector<std::vector<Span>> spans_;  // by worker
};

}  // namespace dispatcher::testbed

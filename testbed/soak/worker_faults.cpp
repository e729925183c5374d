#include "testbed/soak/worker_faults.h"

#include <algorithm>

namespace dispatcher::testbed {

void WorkerFaults::begin(int worker, double at_ms) {
  intervals_.at(static_cast<std::size_t>(worker)).push_back({.from_ms = at_ms});
}

void WorkerFaults::end(int worker, double at_ms) {
  std::vector<Interval>& intervals = intervals_.at(static_cast<std::size_t>(worker));
  std::ranges::find(intervals, kOpenEnd, &Interval::to_ms)->to_ms = at_ms;
}

bool WorkerFaults::any_healthy(double from_ms, double to_ms) const {
  return std::ranges::any_of(intervals_, [=](const std::vector<Interval>& faults) {
    return std::ranges::none_of(faults, [=](const Interval& fault) {
      return fault.from_ms <= to_ms && fault.to_ms >= from_ms;
    });
  });
}

}  // namespace dispatcher::testbed

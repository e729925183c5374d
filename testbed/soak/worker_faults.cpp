#include "testbed/soak/worker_faults.h"

#include <algorithm>

namespace dispatcher::testbed {

void WorkerFaults::begin(int worker, double at_ms) {
  spans_.at(static_cast<std::size_t>(worker)).push_back({.from_ms = at_ms});
}

void WorkerFaults::end(int worker, double at_ms) {
  std::vector<Span>& spans = spans_.at(static_cast<std::size_t>(worker));
  std::ranges::find(spans, kUnended, &Span::to_ms)->to_ms = at_ms;
}

bool WorkerFaults::any_well(double from_ms, double to_ms) const {
  return std::ranges::any_of(spans_, [=](const std::vector<Span>& faults) {
    return std::ranges::none_of(faults, [=](const Span& fault) {
      return fault.from_ms <= to_ms && fault.to_ms >= from_ms;
    });
  });
}

}  // namespace dispatcher::testbed

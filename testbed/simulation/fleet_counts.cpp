#include "testbed/simulation/fleet_counts.h"

#include <algorithm>

namespace dispatcher::testbed {

double FleetCounts::in_time_share(double from, double to) const {
  long arrived = 0;
  long in_time = 0;
  std::size_t end = std::min(arrived_by_second.size(), static_cast<std::size_t>(to));
  for (auto i = static_cast<std::size_t>(from); i < end; ++i) {
    arrived += arrived_by_second[i];
    in_time += in_time_by_second[i];
  }
  return arrived > 0 ? static_cast<double>(in_time) / static_cast<double>(arrived) : 0;
}

double FleetCounts::recovery_seconds(double start, double end, double fraction) const {
  static constexpr double kUnfinishedSeconds =
      6;  // requests that arrived in the last seconds may still be open
  // Leaves out the second before the fault: the fault delays requests that arrived then, too.
  double threshold = fraction * in_time_share(1, start - 1);
  auto seconds = static_cast<double>(arrived_by_second.size());
  for (double at = end; at + kUnfinishedSeconds <= seconds; ++at) {
    if (in_time_share(at, at + 1) >= threshold && in_time_share(at, at + 3) >= threshold)
      return at - end;
  }
  return -1;
}

double FleetCounts::learning_time_quantile(double fraction) const {
  if (learning_times_ms.empty())
    return -1;
  std::vector<double> sorted = learning_times_ms;
  std::ranges::sort(sorted);
  auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
  return sorted[std::min(sorted.size() - 1, index)];
}

}  // namespace dispatcher::testbed

#include "scheduling/size_cutoff.h"

#include <algorithm>
#include <optional>

namespace dispatcher::scheduling {
namespace {

constexpr Duration kUpdateInterval = std::chrono::seconds(2);
constexpr double kMinSamples = 30;         // with fewer, single requests would dominate the search
constexpr double kSampledFleetFactor = 3;  // multiplies kMinSamples in a sampled fleet
constexpr double kMinLoad = 0.05;
constexpr double kMaxLoad = 0.95;

}  // namespace

void SizeCutoff::update(Time now) {
  if (now < next_update_)
    return;
  next_update_ = now + kUpdateInterval;
  registry_.calibrate(now);
  const bool start_or_report_seen =
      settings_.health_checks_allowed && (settings_.reports_job_start || registry_.uses_sampling());
  if (!start_or_report_seen)
    load_.halve_mean_utilization();
  const CostHistogram& histogram = costs_.histogram();
  const double load = fleet_load(now);
  std::optional<double> fair;
  if (histogram.samples() >= kMinSamples * (registry_.uses_sampling() ? kSampledFleetFactor : 1))
    fair = histogram.fair_cutoff(load, registry_.short_share());
  cutoff_ms_ = fair ? *fair : histogram.rule_of_thumb_cutoff(load);
}

// The offered load as a fraction of the fleet's capacity. If neither load reports nor start events
// show the load of other dispatchers, each is assumed to offer as much as this one.
double SizeCutoff::fleet_load(Time now) const {
  const bool sampling = registry_.uses_sampling();
  double capacity = 0.01;
  double busy_slots = 0;
  double slots = 0.01;
  for (const Worker* worker : registry_.ready()) {
    capacity += worker->slots * worker->speed * slow_start_.capacity_fraction(*worker, now);
    if (sampling && worker->external_slots_at == Time{})
      continue;  // its external load has never been observed
    slots += worker->slots;
    busy_slots += std::min(worker->slots,
                           sampling ? worker->external_slots : load_.external_slots(*worker, now));
  }
  const double own = costs_.histogram().work_rate(now) / capacity;
  const bool others_seen = settings_.reports_job_start || settings_.reports != LoadReportMode::Off;
  return std::clamp(others_seen ? own + busy_slots / slots : own * settings_.dispatchers, kMinLoad,
                    kMaxLoad);
}

}  // namespace dispatcher::scheduling

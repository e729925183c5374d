// Estimates how busy workers are and when a request would start there.
#pragma once

#include <algorithm>
#include <vector>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/request_state.h"
#include "scheduling/slow_start.h"
#include "scheduling/worker.h"

namespace dispatcher::scheduling {

// External slots are the slots of a worker that requests of other dispatchers hold. They are
// estimated from load reports, start events and waiting times. Those requests end within about two
// mean run times, but other dispatchers keep sending new ones. The estimate therefore decays
// towards the fleet mean and not to zero, which would make the worker with the oldest report look
// the least loaded. Without load reports it decays more slowly.
//
// Load gossip, where available, replaces the estimate. Load reports are up to a second old, so all
// dispatchers would send to the same worker if a report shows it as free. With gossip, the few
// dispatchers near a worker tell each other how many slots their requests hold there now.
class LoadEstimator {
 public:
  // All references must outlive the estimator.
  LoadEstimator(const Settings& settings, const CostEstimator& costs, const SlowStart& slow_start)
      : settings_(settings), costs_(costs), slow_start_(slow_start) {}

  double external_slots(const Worker& worker, Time now) const {
    if (has_gossip(worker, now))
      return *worker.gossiped_slots;
    const double runs =
        settings_.reports == LoadReportMode::Off ? kHalfLifeRunsWithoutReports : kHalfLifeRuns;
    const double fresh =
        1 / (1 + (now - worker.external_slots_at) / Duration(runs * costs_.mean_work_ms()));
    return worker.external_slots * fresh +
           std::max(0.0, mean_utilization_ * worker.slots - worker.own_slots) * (1 - fresh);
  }
  bool has_gossip(const Worker& worker, Time now) const {
    return worker.gossiped_slots && now - gossip_at_ < kGossipLifetime;
  }
  // Returns whether the request would start at once. `tolerance` is in slots.
  bool has_room(const Worker& worker, const RequestState& state, Time now,
                double tolerance = 0.25) const {
    return worker.own_slots + external_slots(worker, now) + state.request.slots <=
           worker.slots + tolerance;
  }
  // Returns the time until the request would start at the worker, whose queue is FIFO.
  Duration start_delay(const Worker& worker, const RequestState& state, Time now);
  // The mean time between two slot releases at the worker when all of its slots are busy.
  Duration mean_slot_release_interval(const Worker& worker) const {
    return Duration(costs_.mean_work_ms() / (worker.slots * worker.speed));
  }

  void on_gossip(Time now) { gossip_at_ = now; }
  void on_report(Worker& worker, const LoadReport& report, bool with_attempt_end, Time now);
  void on_rejected(Worker& worker, Time now) { set_external_slots(worker, worker.slots, now); }
  void on_started(Worker& worker, OutstandingAttempt& attempt, Time now);
  // An attempt sent some time ago has not started, so all other slots must be in use.
  void on_still_waiting(Worker& worker, Time now);
  // Must be called before the worker's own slots decrease.
  void record_peak(Worker& worker, Time now) const;
  void halve_mean_utilization() { mean_utilization_ /= 2; }

  double mean_utilization() const { return mean_utilization_; }
  // The fraction of recent attempts that started at once, according to start events.
  double immediate_start_fraction() const { return immediate_start_fraction_; }
  double max_slots() const { return max_slots_; }  // most slots of any worker so far

 private:
  struct SlotRelease {
    double after_ms;
    double slots;
    auto operator<=>(const SlotRelease&) const = default;
  };

  // Mean run times after which an observation has half of its weight.
  static constexpr double kHalfLifeRuns = 2;
  static constexpr double kHalfLifeRunsWithoutReports = 20;
  static constexpr Duration kGossipLifetime = std::chrono::seconds(5);

  static void set_external_slots(Worker& worker, double slots, Time now) {
    worker.external_slots = std::max(0.0, slots);
    worker.external_slots_at = now;
  }

  const Settings& settings_;
  const CostEstimator& costs_;
  const SlowStart& slow_start_;
  double mean_utilization_ = 0;
  double immediate_start_fraction_ = 1;
  double max_slots_ = kDefaultSlots;
  Time gossip_at_{Duration(-1e12)};    // latest gossip about any worker; initially never
  std::vector<SlotRelease> releases_;  // scratch buffer of start_delay()
};

}  // namespace dispatcher::scheduling

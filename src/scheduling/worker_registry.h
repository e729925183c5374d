// The known workers, and the size pools of the ready ones.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <iterator>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/slow_start.h"
#include "scheduling/worker.h"

namespace dispatcher::scheduling {

// The ready workers of one size pool, either in this dispatcher's zone or in all others.
struct WorkerPool {
  std::vector<Worker*> workers;
  std::vector<double> cumulative_capacity;  // up to and including each worker
};

// Owns the workers; their addresses stay valid until they are erased.
//
// Size pools: within each zone the ready workers, sorted by hashed id, go to the short pool until
// it holds half of the capacity up to and including that zone. The running total balances zones
// with an odd number of workers, and a worker that joins or leaves moves few others.
//
// Sampling: where the fleet is much larger than this dispatcher's part of it, its own work says
// nothing about most workers, and all dispatchers would send to the same fastest worker. Instead,
// the dispatcher considers a sample of the pool, drawn by capacity.
class WorkerRegistry {
 public:
  // All references must outlive the registry.
  WorkerRegistry(const Settings& settings, const CostEstimator& costs, const SlowStart& slow_start)
      : settings_(settings), costs_(costs), slow_start_(slow_start) {}

  // Applies an update of any kind except Failed. Does not rebuild the pools.
  void update(EndpointUpdateKind kind, const std::vector<WorkerEntry>& entries);
  // Erases unlisted workers, unless they are referenced or have open attempts or health checks.
  template <class Predicate>
  void erase_unlisted(Predicate is_referenced) {
    for (auto it = workers_.begin(); it != workers_.end();) {
      Worker& worker = it->second;
      if (!worker.listed)
        worker.ready = false;
      const bool unused = !worker.listed && worker.outstanding.empty() && !worker.health_check_open;
      it = unused && !is_referenced(worker) ? workers_.erase(it) : std::next(it);
    }
  }
  void rebuild_pools(Time now);
  // Updates the speeds from the samples and the listed sizes, which have no unit and are scaled to
  // agree with the observed speeds. Refills the pools.
  void calibrate(Time now);

  Worker* find(std::string_view id);
  const Worker* find(std::string_view id) const;
  const std::vector<Worker*>& ready() const { return ready_; }
  const WorkerPool& pool(bool remote, bool short_pool) const { return pools_[remote][short_pool]; }
  double short_share() const { return short_share_; }  // fraction of the capacity in short pools
  double mean_speed() const { return mean_speed_; }
  // False until the first endpoint list: before it, nothing is known of the workers, not even
  // whether there are any.
  bool list_known() const { return list_known_; }

  std::size_t sample_size() const {
    return static_cast<std::size_t>(
        std::max(kMinSampleSize, kSampleFactor * ready_.size() / settings_.dispatchers));
  }
  bool uses_sampling() const { return 2 * sample_size() < ready_.size(); }

 private:
  struct StringHash : std::hash<std::string_view> {
    using is_transparent = void;
  };
  static constexpr double kSampleFactor = 4;  // of this dispatcher's part of the fleet
  static constexpr double kMinSampleSize = 3;

  void apply(const WorkerEntry& entry);
  double size_scale() const;
  void fill_pools(Time now);

  const Settings& settings_;
  const CostEstimator& costs_;
  const SlowStart& slow_start_;
  std::unordered_map<std::string, Worker, StringHash, std::equal_to<>> workers_;
  std::vector<Worker*> ready_;                      // sorted by zone, hash and id
  std::array<std::array<WorkerPool, 2>, 2> pools_;  // [in another zone][short]
  double short_share_ = 0.5;
  double mean_speed_ = 1;
  bool list_known_ = false;
};

}  // namespace dispatcher::scheduling

#include "scheduling/worker_registry.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <tuple>

namespace dispatcher::scheduling {
namespace {

constexpr double kMinSpeed = 0.01;

// FNV-1a with a final mix. All dispatchers must compute the same value.
std::uint64_t hash_id(std::string_view id) {
  std::uint64_t hash = 14695981039346656037ULL;
  for (const unsigned char byte : id)
    hash = (hash ^ byte) * 1099511628211ULL;
  hash = (hash ^ (hash >> 32)) * 0xd6e8feb86659fd93ULL;
  return hash ^ (hash >> 32);
}

// Resets health and estimates after a restart; open attempts stay until they end.
void reset_statistics(Worker& worker) {
  worker.failure_score = 0;
  worker.external_slots = 0;
  worker.speed_sample_work_ms = 0;
  worker.speed_sample_time_ms = 0;
  worker.recovery_probe_backoff = kRecoveryProbeInterval;
  worker.class_ejections.clear();
}

}  // namespace

void WorkerRegistry::update(EndpointUpdateKind kind, const std::vector<WorkerEntry>& entries) {
  if (kind != EndpointUpdateKind::Cached || !entries.empty())
    list_known_ = true;
  const bool is_snapshot =
      kind == EndpointUpdateKind::Snapshot || kind == EndpointUpdateKind::Cached;
  if (is_snapshot) {
    for (auto& [id, worker] : workers_)
      worker.listed = false;
  }
  for (const WorkerEntry& entry : entries)
    apply(entry);
}

void WorkerRegistry::apply(const WorkerEntry& entry) {
  const auto [it, added] = workers_.try_emplace(std::string(entry.worker));
  Worker& worker = it->second;
  const bool restarted = entry.online_since && entry.online_since != worker.online_since;
  if (added) {
    worker.id = it->first;
    worker.hash = hash_id(worker.id);
  }
  if (restarted && !added)
    reset_statistics(worker);
  if (restarted) {
    worker.warming_up_since = *entry.online_since;
    worker.online_since = entry.online_since;
  }
  worker.zone = entry.zone;
  worker.kind = entry.kind;
  worker.cell = entry.cell;
  worker.size = std::isfinite(entry.size) && entry.size > 0 ? entry.size : 1;
  worker.listed = entry.readiness != Readiness::Removed;
  worker.ready = entry.readiness == Readiness::Ready;
}

void WorkerRegistry::rebuild_pools(Time now) {
  ready_.clear();
  for (auto& [id, worker] : workers_) {
    if (worker.ready)
      ready_.push_back(&worker);
  }
  std::sort(ready_.begin(), ready_.end(), [](const Worker* a, const Worker* b) {
    return std::tie(a->zone, a->hash, a->id) < std::tie(b->zone, b->hash, b->id);
  });
  double short_size = 0;
  double size_before = 0;
  for (std::size_t i = 0; i < ready_.size();) {
    double zone_size = 0;
    std::size_t zone_end = i;
    for (; zone_end < ready_.size() && ready_[zone_end]->zone == ready_[i]->zone; ++zone_end)
      zone_size += ready_[zone_end]->size;
    for (; i < zone_end; ++i) {
      Worker& worker = *ready_[i];
      worker.short_pool = short_size + worker.size / 2 <= (size_before + zone_size) / 2;
      if (worker.short_pool)
        short_size += worker.size;
    }
    size_before += zone_size;
  }
  short_share_ = size_before > 0 ? short_size / size_before : 0.5;
  calibrate(now);
}

// Returns the observed capacity per unit of size. Before any observation, the scale that makes the
// mean speed 1.
double WorkerRegistry::size_scale() const {
  double observed_capacity = 0;
  double observed_size = 0;
  double total_size = 0;
  double total_slots = 0;
  for (const Worker* worker : ready_) {
    total_size += worker->size;
    total_slots += worker->slots;
    if (worker->speed_sample_time_ms > 0) {
      observed_capacity +=
          worker->speed_sample_work_ms / worker->speed_sample_time_ms * worker->slots;
      observed_size += worker->size;
    }
  }
  if (observed_size > 0)
    return observed_capacity / observed_size;
  return total_size > 0 ? total_slots / total_size : 1;
}

void WorkerRegistry::calibrate(Time now) {
  const double scale = size_scale();
  const double prior_weight_ms = 2 * costs_.mean_work_ms();
  double speed_sum = 0;
  for (Worker* worker : ready_) {
    const double prior = std::max(kMinSpeed, scale * worker->size / worker->slots);
    worker->speed = (worker->speed_sample_work_ms + prior_weight_ms * prior) /
                    (worker->speed_sample_time_ms + prior_weight_ms);
    speed_sum += worker->speed;
  }
  if (!ready_.empty())
    mean_speed_ = speed_sum / static_cast<double>(ready_.size());
  fill_pools(now);
}

void WorkerRegistry::fill_pools(Time now) {
  for (auto& zone_pools : pools_) {
    for (WorkerPool& pool : zone_pools) {
      pool.workers.clear();
      pool.cumulative_capacity.clear();
    }
  }
  for (Worker* worker : ready_) {
    WorkerPool& pool = pools_[worker->zone != settings_.zone][worker->short_pool];
    const double before = pool.cumulative_capacity.empty() ? 0 : pool.cumulative_capacity.back();
    // Workers that are warming up are not sampled by capacity: the holders of their budget consider
    // them for every request.
    const double capacity =
        slow_start_.warming_up(*worker, now) ? 0 : worker->slots * worker->speed;
    pool.workers.push_back(worker);
    pool.cumulative_capacity.push_back(before + capacity);
  }
}

Worker* WorkerRegistry::find(std::string_view id) {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

const Worker* WorkerRegistry::find(std::string_view id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

}  // namespace dispatcher::scheduling

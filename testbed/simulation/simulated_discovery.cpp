// Simulated discovery: serves polls one after another and announces changes late.
#include <algorithm>

#include "testbed/simulation/fleet_simulation.h"

namespace dispatcher::testbed {

using scheduling::EndpointUpdateKind;

namespace {

constexpr double kAnnouncementDelayMs = 2000;
constexpr double kPollServiceMs = 60;
constexpr double kEntryServiceMs = 0.3;
constexpr double kPollTimeoutMs = 3000;

}  // namespace

void FleetSimulation::announce_change(std::size_t worker) {
  schedule_in(kAnnouncementDelayMs, [this, worker] {
    changes_.push_back({++revision_, worker});
    for (int i = 0; i < options_.dispatchers; ++i) {
      if (node(i).watching)
        deliver_endpoints(i, EndpointUpdateKind::Delta, node(i).revision);
    }
  });
}

void FleetSimulation::poll_discovery(int dispatcher) {
  std::uint64_t incarnation = node(dispatcher).incarnation;
  auto second = static_cast<std::size_t>(now_s());
  counts_.polls_by_second.resize(std::max(counts_.polls_by_second.size(), second + 1));
  counts_.failed_polls_by_second.resize(counts_.polls_by_second.size());
  ++counts_.polls;
  ++counts_.polls_by_second[second];
  Time begins_at = std::max(events_.now(), discovery_free_at_);
  if (begins_at - events_.now() > Duration(kPollTimeoutMs)) {  // costs discovery no time
    ++counts_.failed_polls;
    ++counts_.failed_polls_by_second[second];
    return fail_poll(dispatcher, incarnation);
  }
  long entries = std::ranges::count_if(changes_, [&](const EndpointChange& change) {
    return change.revision > node(dispatcher).revision;
  });
  discovery_free_at_ =
      begins_at + Duration(kPollServiceMs + kEntryServiceMs * static_cast<double>(entries));
  counts_.listed_endpoints += entries;
  events_.schedule_in(discovery_free_at_ - events_.now(), [this, dispatcher, incarnation] {
    if (!is_current(dispatcher, incarnation))
      return;
    node(dispatcher).watching = true;
    deliver_endpoints(dispatcher, EndpointUpdateKind::Delta, node(dispatcher).revision);
  });
}

void FleetSimulation::fail_poll(int dispatcher, std::uint64_t incarnation) {
  schedule_in(kPollTimeoutMs, [this, dispatcher, incarnation] {
    if (!is_current(dispatcher, incarnation))
      return;
    feed(dispatcher, [&](auto& scheduler, auto& actions) {
      scheduler.on_endpoint_update(events_.now(), EndpointUpdateKind::Failed, {}, actions);
    });
  });
}

// The initial endpoint list, with which a dispatcher starts.
std::vector<scheduling::WorkerEntry> FleetSimulation::initial_entries() const {
  std::vector<scheduling::WorkerEntry> entries;
  for (int i = 0; i < options_.workers; ++i) {
    scheduling::WorkerEntry entry;
    entry.worker = workers_[static_cast<std::size_t>(i)].id;
    entry.size = options_.slots;
    entry.readiness = scheduling::Readiness::Ready;
    entries.push_back(entry);
  }
  return entries;
}

std::vector<scheduling::WorkerEntry> FleetSimulation::changed_entries(int after_revision) const {
  std::vector<scheduling::WorkerEntry> entries;
  for (const EndpointChange& change : changes_) {
    if (change.revision <= after_revision)
      continue;
    const Worker& worker = workers_[change.worker];
    scheduling::WorkerEntry entry;
    entry.worker = worker.id;
    entry.size = options_.slots;
    entry.readiness = worker.listed ? scheduling::Readiness::Ready : scheduling::Readiness::Removed;
    if (worker.started_at)
      entry.online_since = worker.started_at;
    entries.push_back(entry);
  }
  return entries;
}

void FleetSimulation::deliver_endpoints(int dispatcher, EndpointUpdateKind kind,
                                        int after_revision) {
  if (!node(dispatcher).scheduler)
    return;
  bool cached = kind == EndpointUpdateKind::Cached;
  std::vector<scheduling::WorkerEntry> entries =
      cached ? initial_entries() : changed_entries(after_revision);
  if (!cached)
    node(dispatcher).revision = revision_;
  feed(dispatcher, [&](auto& scheduler, auto& actions) {
    scheduler.on_endpoint_update(events_.now(), kind, entries, actions);
  });
  update_gossip_workers(dispatcher, kind);
}

void FleetSimulation::update_gossip_workers(int dispatcher, EndpointUpdateKind kind) {
  Node& owner = node(dispatcher);
  if (!owner.gossip)
    return;
  std::size_t known = kind == EndpointUpdateKind::Cached
                          ? static_cast<std::size_t>(options_.workers)
                          : workers_.size();
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < known; ++i)
    ids.push_back(workers_[i].id);
  owner.gossip->set_workers(ids, [&](const std::string& worker, int jobs) {
    feed(dispatcher, [&](auto& scheduler, auto& actions) {
      scheduler.on_load_gossip(events_.now(), worker, jobs, actions);
    });
  });
}

}  // namespace dispatcher::testbed

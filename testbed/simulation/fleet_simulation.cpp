#include "testbed/simulation/fleet_simulation.h"

#include <algorithm>

#include "testbed/simulation/model_constants.h"

namespace dispatcher::testbed {
namespace {

constexpr double kLearningCheckIntervalMs = 100;

scheduling::ClassSettings make_request_class() {
  scheduling::ClassSettings settings;
  settings.name = "order";
  settings.idempotency = scheduling::Idempotency::NonIdempotent;
  settings.deduplication_scope = scheduling::DeduplicationScope::All;
  settings.deduplication_window = Duration(5000);
  settings.latency_objective = Duration(kObjectiveBaseMs);
  settings.objective_work_factor = kObjectiveWorkFactor;
  settings.deadline = Duration(kRequestTimeoutMs);
  settings.late_weight = 0.5;
  return settings;
}

scheduling::ClassSettings make_keyed_class() {
  scheduling::ClassSettings settings = make_request_class();
  settings.name = "keyed";
  settings.idempotency = scheduling::Idempotency::KeyedIdempotent;
  settings.late_weight = 0.3;
  return settings;
}

}  // namespace

FleetSimulation::FleetSimulation(Options options)
    : options_(options), settings_(make_settings()), random_(options.seed) {
  if (options_.minimal_reporting)
    options_.gossip = false;
  add_workers();
  nodes_.resize(static_cast<std::size_t>(options.dispatchers));
  for (int i = 0; i < options.dispatchers; ++i) {
    start(i, true);
    schedule_arrival(i);
  }
  record_learning();
}

scheduling::Settings FleetSimulation::make_settings() const {
  scheduling::Settings settings;
  settings.dispatchers = options_.assumes_single_dispatcher ? 1 : options_.dispatchers;
  settings.classes = {make_request_class()};
  if (options_.keyed_share > 0)
    settings.classes.push_back(make_keyed_class());
  settings.tick = Duration(2);
  settings.max_attempts = 3;
  settings.hedging_allowed = !options_.minimal_reporting;
  settings.connect_timeout = Duration(kConnectTimeoutMs);
  settings.cancellation_allowed = !options_.minimal_reporting;
  settings.watch_required = true;
  settings.reports = scheduling::LoadReportMode::Inline;
  settings.reports_job_start = !options_.minimal_reporting;
  settings.answer_slack = Duration(8);
  settings.poll_deadline = Duration(10000);
  settings.drain_grace = Duration(500);
  settings.slow_start_initial_fraction = 0.3;
  settings.slow_start_duration = Duration(8000);
  settings.overload_multiple = 3;
  settings.overload_window = Duration(2000);
  settings.weight_by_work = true;
  settings.health_checks_allowed = options_.health_checks;
  return settings;
}

void FleetSimulation::add_workers() {
  static constexpr double kFastSpeed = 1.4;
  static constexpr double kSlowSpeed = 0.9;
  for (int i = 0; i < options_.workers; ++i) {
    Worker worker;
    worker.id = std::string("w").append(std::to_string(i));
    worker.speed = i % 3 == 0 ? kFastSpeed : kSlowSpeed;
    worker_indices_[worker.id] = workers_.size();
    workers_.push_back(std::move(worker));
  }
}

void FleetSimulation::schedule_in(double delay_ms, std::function<void()> call) {
  events_.schedule_in(Duration(delay_ms), std::move(call));
}

void FleetSimulation::schedule_at(double seconds, std::function<void()> call) {
  events_.schedule_at(Time(Duration(1000 * seconds)), std::move(call));
}

void FleetSimulation::run_until(double seconds) {
  events_.run_until(Time(Duration(1000 * seconds)));
}

void FleetSimulation::set_dispatchers_isolated(int first, int last, bool isolated) {
  for (int i = first; i <= last; ++i)
    node(i).isolated = isolated;
}

std::size_t FleetSimulation::open_requests() const {
  std::size_t open = 0;
  for (const Node& dispatcher : nodes_) {
    open += static_cast<std::size_t>(std::ranges::count_if(
        dispatcher.requests, [](const auto& entry) { return !entry.second.answered; }));
  }
  return open;
}

bool FleetSimulation::is_late(const AttemptRef& ref) const {
  const auto& requests = node(ref.dispatcher).requests;
  auto it = requests.find(ref.id);
  return !sender_is_running(ref) || it == requests.end() || it->second.answered ||
         (events_.now() - it->second.arrived_at).count() > it->second.objective_ms;
}

FleetSimulation::RequestLocations FleetSimulation::request_locations() const {
  RequestLocations locations;
  for (const Node& dispatcher : nodes_) {
    for (const auto& [id, request] : dispatcher.requests) {
      if (!request.answered && std::ranges::none_of(request.attempts, &Attempt::open))
        ++locations.pending;
    }
  }
  auto late = [this](const AttemptRef& ref) {
    return is_late(ref);
  };
  for (const Worker& worker : workers_) {
    locations.queued += worker.queue.size();
    locations.running += worker.running.size();
    locations.queued_late += static_cast<std::size_t>(std::ranges::count_if(worker.queue, late));
    locations.running_late += static_cast<std::size_t>(std::ranges::count_if(worker.running, late));
  }
  return locations;
}

std::size_t FleetSimulation::index_of(std::string_view worker) const {
  return worker_indices_.find(worker)->second;
}

void FleetSimulation::record_learning() {
  for (Worker& worker : workers_) {
    if (!worker.crashed_at || !worker.listed || !worker.first_failure_at)
      continue;
    for (int i = 0; i < options_.dispatchers; ++i) {
      const Node& dispatcher = node(i);
      if (!dispatcher.scheduler || worker.avoided_by.contains(i) ||
          !dispatcher.scheduler->avoids(worker.id))
        continue;
      if (!worker.avoided_by.empty()) {
        Duration since_failure = events_.now() - *worker.first_failure_at;
        counts_.learning_times_ms.push_back(since_failure.count());
      }
      worker.avoided_by.insert(i);
    }
  }
  schedule_in(kLearningCheckIntervalMs, [this] { record_learning(); });
}

}  // namespace dispatcher::testbed

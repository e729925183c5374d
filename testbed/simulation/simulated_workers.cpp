// Simulated workers: queue, slots, slow start, overload and faults.
#include <algorithm>
#include <cmath>
#include <utility>

#include "testbed/simulation/fleet_simulation.h"
#include "testbed/simulation/model_constants.h"

namespace dispatcher::testbed {

using scheduling::LoadReport;
using scheduling::Outcome;

namespace {

constexpr std::size_t kMaxQueuedAttempts = 12;
constexpr double kHealthCheckTimeoutMs = 500;
constexpr Duration kErrorDecayTime{1000};

}  // namespace

double FleetSimulation::slow_start_fraction(const Worker& worker) const {
  if (!worker.started_at)
    return 1;
  double elapsed =
      std::clamp((events_.now() - *worker.started_at) / settings_.slow_start_duration, 0.0, 1.0);
  double initial = settings_.slow_start_initial_fraction;
  return initial + (1 - initial) * elapsed;
}

double FleetSimulation::recent_errors(const Worker& worker) const {
  return worker.recent_errors *
         std::exp(-((events_.now() - worker.last_error_at) / kErrorDecayTime));
}

LoadReport FleetSimulation::load_report(const Worker& worker) const {
  LoadReport report;
  report.free_slots = std::max(
      0.0, static_cast<double>(options_.slots) - static_cast<double>(worker.running.size()));
  report.queue = static_cast<double>(worker.queue.size());
  report.fail_rate = recent_errors(worker);
  return report;
}

void FleetSimulation::receive_attempt(std::size_t index, const AttemptRef& ref) {
  Worker& worker = workers_[index];
  auto end_in = [&](double delay_ms, Outcome outcome, std::optional<std::size_t> reporting) {
    schedule_in(delay_ms,
                [this, ref, outcome, reporting] { end_attempt(ref, outcome, reporting); });
  };
  if (!worker.up)
    return end_in(kConnectTimeoutMs, Outcome::ConnectFailed, std::nullopt);
  if (worker.overloaded)
    return end_in(kOneWayLatencyMs, Outcome::ConnectFailed, std::nullopt);
  if (worker.fail_share > 0 && std::bernoulli_distribution(worker.fail_share)(random_)) {
    worker.recent_errors = recent_errors(worker) + 1;
    worker.last_error_at = events_.now();
    return end_in(kOneWayLatencyMs, Outcome::Failure, index);
  }
  if (worker.queue.size() >= kMaxQueuedAttempts)
    return end_in(kOneWayLatencyMs, Outcome::Rejected, index);
  if (slow_start_fraction(worker) < 1)
    track_overload(worker, ref);
  worker.queue.push_back(ref);
  run_queued(index);
}

// A worker in slow start stops serving when too much work arrives within the overload window.
void FleetSimulation::track_overload(Worker& worker, const AttemptRef& ref) {
  worker.recent_work.push_back({events_.now(), ref.work_ms});
  while (worker.recent_work.front().at + settings_.overload_window < events_.now())
    worker.recent_work.pop_front();
  double work_ms = 0;
  for (const SentWork& sent : worker.recent_work)
    work_ms += sent.work_ms;
  double overload_threshold_ms = settings_.overload_multiple * settings_.overload_window.count() *
                                 options_.slots * worker.speed * slow_start_fraction(worker);
  counts_.slow_start_peak_load =
      std::max(counts_.slow_start_peak_load, work_ms / overload_threshold_ms);
  if (work_ms <= overload_threshold_ms)
    return;
  worker.overloaded = true;
  ++counts_.overloaded_workers;
}

void FleetSimulation::run_queued(std::size_t index) {
  Worker& worker = workers_[index];
  while (worker.up && !worker.silent && !worker.overloaded && !worker.queue.empty() &&
         std::ssize(worker.running) < options_.slots) {
    AttemptRef ref = worker.queue.front();
    worker.queue.pop_front();
    worker.running.push_back(ref);
    double fraction = slow_start_fraction(worker);
    if (fraction < 1)
      counts_.slow_start_work_ms += ref.work_ms;
    schedule_in(kOneWayLatencyMs, [this, index, ref] { notify_started(index, ref); });
    schedule_in(ref.work_ms / (worker.speed * fraction),
                [this, index, ref] { finish_attempt(index, ref); });
  }
}

void FleetSimulation::notify_started(std::size_t index, const AttemptRef& ref) {
  if (!sender_is_running(ref) || !settings_.reports_job_start)
    return;
  feed(ref.dispatcher, [&](auto& scheduler, auto& actions) {
    scheduler.on_job_event(events_.now(), ref.id, ref.attempt, workers_[index].id,
                           scheduling::JobEventKind::Started, actions);
  });
}

void FleetSimulation::finish_attempt(std::size_t index, const AttemptRef& ref) {
  Worker& worker = workers_[index];
  if (worker.silent) {
    worker.finished_silently.push_back(ref);
    return;
  }
  if (!worker.up || std::erase(worker.running, ref) == 0)
    return;
  schedule_in(kOneWayLatencyMs, [this, index, ref] { end_attempt(ref, Outcome::Success, index); });
  run_queued(index);
}

void FleetSimulation::check_health(int dispatcher, std::size_t index) {
  ++counts_.health_checks;
  std::uint64_t incarnation = node(dispatcher).incarnation;
  const Worker& checked = workers_[index];
  bool responds = checked.up && !checked.overloaded && !checked.silent;
  double duration_ms = responds ? 2 * kOneWayLatencyMs : kHealthCheckTimeoutMs;
  schedule_in(duration_ms, [this, dispatcher, incarnation, index, responds] {
    if (!is_current(dispatcher, incarnation))
      return;
    Worker& worker = workers_[index];
    if (!responds && !worker.first_failure_at)
      worker.first_failure_at = events_.now();
    Outcome outcome = responds ? Outcome::Success : Outcome::TimedOut;
    LoadReport report = responds ? load_report(worker) : LoadReport();
    feed(dispatcher, [&](auto& scheduler, auto& actions) {
      scheduler.on_health_check_result(events_.now(), worker.id, outcome, report, actions);
    });
  });
}

void FleetSimulation::crash_worker(int number) {
  Worker& worker = workers_[static_cast<std::size_t>(number)];
  worker.up = false;
  worker.crashed_at = events_.now();
  worker.running.clear();
  worker.queue.clear();
}

void FleetSimulation::restart_worker(int number) {
  auto index = static_cast<std::size_t>(number);
  Worker& worker = workers_[index];
  worker.up = true;
  worker.started_at = events_.now();
  worker.crashed_at.reset();
  worker.first_failure_at.reset();
  worker.avoided_by.clear();
  announce_change(index);
}

void FleetSimulation::replace_worker(int number) {
  auto index = static_cast<std::size_t>(number);
  Worker successor;
  successor.id = workers_[index].id + "'";
  successor.speed = workers_[index].speed;
  successor.started_at = events_.now();
  for (const AttemptRef& ref : workers_[index].running) {
    schedule_in(kOneWayLatencyMs,
                [this, ref] { end_attempt(ref, Outcome::ConnectionReset, std::nullopt); });
  }
  crash_worker(number);
  workers_[index].listed = false;
  announce_change(index);
  worker_indices_[successor.id] = workers_.size();
  workers_.push_back(std::move(successor));
  announce_change(workers_.size() - 1);
}

void FleetSimulation::set_worker_silent(int number, bool silent) {
  auto index = static_cast<std::size_t>(number);
  Worker& worker = workers_[index];
  worker.silent = silent;
  for (const AttemptRef& ref : std::exchange(worker.finished_silently, {})) {
    if (std::erase(worker.running, ref) > 0) {
      schedule_in(kOneWayLatencyMs,
                  [this, index, ref] { end_attempt(ref, Outcome::Success, index); });
    }
  }
  run_queued(index);
}

void FleetSimulation::degrade_worker(int number, double fail_share, double speed_factor) {
  Worker& worker = workers_[static_cast<std::size_t>(number)];
  worker.fail_share = fail_share;
  worker.speed *= speed_factor;
}

}  // namespace dispatcher::testbed

// Forwards the events of the public interface to the parts of the scheduler.
#include "dispatcher/scheduling/scheduler.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

#include "scheduling/action_sink.h"
#include "scheduling/admission.h"
#include "scheduling/attempt_monitor.h"
#include "scheduling/attempt_recorder.h"
#include "scheduling/candidate_selector.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/endpoint_watcher.h"
#include "scheduling/load_estimator.h"
#include "scheduling/outlier_ejection.h"
#include "scheduling/pre_dispatch_check.h"
#include "scheduling/request_lifecycle.h"
#include "scheduling/request_state.h"
#include "scheduling/retry_budget.h"
#include "scheduling/size_cutoff.h"
#include "scheduling/slow_start.h"
#include "scheduling/tenant_quota.h"
#include "scheduling/timer_queue.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// Owns the parts, declared in dependency order. Not movable: they hold references to each other.
class Scheduler::Parts {
 public:
  Parts(const Settings& initial_settings, Time now)
      : latest_event_(now), random_(initial_settings.seed), slow_start_(settings_, costs_, now) {
    apply_settings(initial_settings);
  }
  Parts(const Parts&) = delete;
  Parts& operator=(const Parts&) = delete;

  // Applies to future requests: open ones keep their class settings and number of attempts.
  // Estimates are kept, since classes and tenants keep their indices.
  void apply_settings(const Settings& settings);

  void begin_event(Time now, Actions& out) {
    latest_event_ = now;
    actions_.begin_event(out);
  }
  void on_endpoint_update(Time now, EndpointUpdateKind kind,
                          const std::vector<WorkerEntry>& entries);
  void on_request(Time now, const Request& request);
  void on_job_event(Time now, RequestId id, int attempt, std::string_view worker,
                    JobEventKind kind) {
    monitor_.on_job_event(now, id, attempt, worker, kind);
  }
  void on_ambiguous_end(Time now, RequestId id, int attempt) {
    monitor_.on_ambiguous_end(now, id, attempt);
  }
  void on_attempt_end(Time now, const AttemptEnd& end) { monitor_.on_attempt_end(now, end); }
  void on_health_check_result(Time now, std::string_view id, Outcome outcome,
                              const LoadReport& report);
  void on_load_gossip(Time now, std::string_view id, double jobs);
  void on_reply_broken(Time now, std::string_view id, std::size_t job_class);
  void on_client_disconnected(RequestId id);
  void on_timer(Time now);

  double cutoff_ms() const { return cutoff_.cutoff_ms(); }
  std::size_t open_requests() const { return requests_.size(); }
  bool in_short_pool(std::string_view id) const {
    const Worker* worker = registry_.find(id);
    return worker && worker->short_pool;
  }
  bool avoids(std::string_view id) const {
    const Worker* worker = registry_.find(id);
    return worker && (!worker->ready || ejection_.ejected(*worker, latest_event_));
  }

 private:
  bool is_referenced(const Worker& worker) const;
  void handle_timer(const Timer& timer, Time now);
  void handle_request_timer(TimerKind kind, RequestState& state, Time now);

  Settings settings_;
  Time latest_event_;
  ActionSink actions_;
  std::mt19937_64 random_;
  TimerQueue timers_{actions_};
  RequestTable requests_;
  CostEstimator costs_;
  SlowStart slow_start_;
  RetryBudget budget_{settings_};
  TenantQuota quota_{settings_};
  EndpointWatcher endpoint_watcher_{settings_, actions_, timers_, random_};
  LoadEstimator load_{settings_, costs_, slow_start_};
  OutlierEjection ejection_{settings_, actions_, timers_, slow_start_};
  WorkerRegistry registry_{settings_, costs_, slow_start_};
  SizeCutoff cutoff_{settings_, costs_, slow_start_, registry_, load_};
  Admission admission_{settings_, costs_, budget_, quota_, registry_, random_};
  CandidateSelector selector_{settings_, costs_,    slow_start_, registry_,
                              load_,     ejection_, cutoff_,     random_};
  PreDispatchCheck check_{settings_, timers_,   costs_,  slow_start_, registry_,
                          load_,     ejection_, cutoff_, selector_};
  AttemptRecorder recorder_{settings_, costs_, slow_start_, registry_, load_, ejection_, requests_};
  RequestLifecycle lifecycle_{settings_,   actions_, timers_,   requests_, registry_, budget_,
                              slow_start_, load_,    ejection_, selector_, check_,    recorder_};
  AttemptMonitor monitor_{settings_, timers_,   requests_, registry_, budget_,   slow_start_,
                          load_,     ejection_, selector_, recorder_, lifecycle_};
};

void Scheduler::Parts::apply_settings(const Settings& settings) {
  validate(settings);
  settings_ = settings;
  quota_.apply_settings();
}

void Scheduler::Parts::on_endpoint_update(Time now, EndpointUpdateKind kind,
                                          const std::vector<WorkerEntry>& entries) {
  endpoint_watcher_.on_update(now, kind, entries.empty());
  if (kind == EndpointUpdateKind::Failed)
    return;
  registry_.update(kind, entries);
  registry_.erase_unlisted([this](const Worker& worker) { return is_referenced(worker); });
  registry_.rebuild_pools(now);
  if (settings_.health_checks_allowed && kind == EndpointUpdateKind::Cached &&
      !registry_.uses_sampling()) {
    for (Worker* worker : registry_.ready())
      ejection_.check_health(*worker, now);
  }
  lifecycle_.dispatch_pending(now);
}

bool Scheduler::Parts::is_referenced(const Worker& worker) const {
  return std::ranges::any_of(requests_, [&worker](const auto& entry) {
    const RequestState& state = entry.second;
    return std::ranges::count(state.checked_workers, &worker) > 0 ||
           std::ranges::count(state.attempts, &worker, &Attempt::worker) > 0;
  });
}

void Scheduler::Parts::on_request(Time now, const Request& request) {
  budget_.on_request_received(now);
  if (request.job_class >= settings_.classes.size() || requests_.contains(request.id))
    return;
  RequestState& state = requests_.emplace(request.id, admission_.admit(request, now)).first->second;
  timers_.schedule(state.deadline, TimerKind::Deadline, request.id);
  cutoff_.update(now);
  if (state.deadline <= now) {
    lifecycle_.finish(state, ActionKind::Reject);
    return;
  }
  lifecycle_.check_or_dispatch(state, now);
  if (settings_.reports == LoadReportMode::OnHealthCheck && !registry_.uses_sampling())
    ejection_.check_oldest_report(registry_.ready(), now);
}

void Scheduler::Parts::on_health_check_result(Time now, std::string_view id, Outcome outcome,
                                              const LoadReport& report) {
  Worker* worker = registry_.find(id);
  if (!worker)
    return;
  worker->health_check_open = false;
  if (outcome == Outcome::Success) {
    ejection_.on_alive(*worker, now);
    recorder_.on_report(*worker, report, false, now);
    lifecycle_.on_health_check_answer(*worker, true, now);
    lifecycle_.dispatch_pending_to(*worker, now);
  } else {
    ejection_.on_health_check_failed(*worker, outcome, now);
  }
  // Rejected only means that too many health checks are open at the worker.
  if (!worker->requests_awaiting_check.empty())
    lifecycle_.on_health_check_answer(*worker, outcome == Outcome::Rejected, now);
}

void Scheduler::Parts::on_load_gossip(Time now, std::string_view id, double jobs) {
  load_.on_gossip(now);
  Worker* worker = registry_.find(id);
  if (!worker)
    return;
  const std::optional<double> before = std::exchange(worker->gossiped_slots, jobs);
  if (before > jobs)
    lifecycle_.dispatch_pending_to(*worker, now);
}

void Scheduler::Parts::on_reply_broken(Time now, std::string_view id, std::size_t job_class) {
  if (Worker* worker = registry_.find(id))
    ejection_.on_reply_broken(*worker, job_class, now);
}

void Scheduler::Parts::on_client_disconnected(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end())
    lifecycle_.forget(it->second);
}

void Scheduler::Parts::on_timer(Time now) {
  while (const std::optional<Timer> timer = timers_.pop_due(now))
    handle_timer(*timer, now);
  timers_.rearm(now);
}

void Scheduler::Parts::handle_timer(const Timer& timer, Time now) {
  switch (timer.kind) {
    case TimerKind::EndpointWatch:
      endpoint_watcher_.on_timer(now, timer.id);
      return;
    case TimerKind::RecoveryProbe:
      ejection_.probe_ejected(registry_.ready(), now);
      return;
    case TimerKind::PendingSweep:
      lifecycle_.on_pending_sweep(now);
      return;
    case TimerKind::Deadline:
    case TimerKind::PreDispatchCheck:
    case TimerKind::ObjectiveDeadline:
    case TimerKind::AttemptMonitor:
      break;
  }
  const auto it = requests_.find(timer.id);
  if (it != requests_.end())
    handle_request_timer(timer.kind, it->second, now);
}

void Scheduler::Parts::handle_request_timer(TimerKind kind, RequestState& state, Time now) {
  if (kind == TimerKind::Deadline && now >= state.deadline) {
    lifecycle_.answer(state);
  } else if (kind == TimerKind::PreDispatchCheck && state.open_checks > 0) {
    lifecycle_.on_checks_finished(state, now);
  } else if (kind == TimerKind::ObjectiveDeadline) {
    lifecycle_.on_objective_deadline(state, now);
  } else if (kind == TimerKind::AttemptMonitor) {
    monitor_.on_timer(state, now);
  }
}

Scheduler::Scheduler(const Settings& settings, Time now, Actions& /*out*/)
    : parts_(std::make_unique<Parts>(settings, now)) {}
Scheduler::~Scheduler() = default;
Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;

void Scheduler::on_settings(const Settings& settings) {
  parts_->apply_settings(settings);
}

void Scheduler::on_endpoint_update(Time now, EndpointUpdateKind kind,
                                   const std::vector<WorkerEntry>& entries, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_endpoint_update(now, kind, entries);
}

void Scheduler::on_request(Time now, const Request& request, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_request(now, request);
}

void Scheduler::on_job_event(Time now, RequestId id, int attempt, std::string_view worker,
                             JobEventKind kind, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_job_event(now, id, attempt, worker, kind);
}

void Scheduler::on_ambiguous_end(Time now, RequestId id, int attempt, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_ambiguous_end(now, id, attempt);
}

void Scheduler::on_attempt_end(Time now, const AttemptEnd& end, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_attempt_end(now, end);
}

void Scheduler::on_health_check_result(Time now, std::string_view worker, Outcome outcome,
                                       const LoadReport& report, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_health_check_result(now, worker, outcome, report);
}

void Scheduler::on_load_gossip(Time now, std::string_view worker, double jobs, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_load_gossip(now, worker, jobs);
}

void Scheduler::on_reply_broken(Time now, std::string_view worker, std::size_t job_class,
                                Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_reply_broken(now, worker, job_class);
}

void Scheduler::on_client_disconnected(Time now, RequestId id, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_client_disconnected(id);
}

void Scheduler::on_timer(Time now, Actions& out) {
  parts_->begin_event(now, out);
  parts_->on_timer(now);
}

double Scheduler::cutoff_ms() const {
  return parts_->cutoff_ms();
}

bool Scheduler::in_short_pool(std::string_view worker) const {
  return parts_->in_short_pool(worker);
}

std::size_t Scheduler::open_requests() const {
  return parts_->open_requests();
}

bool Scheduler::avoids(std::string_view worker) const {
  return parts_->avoids(worker);
}

}  // namespace dispatcher::scheduling

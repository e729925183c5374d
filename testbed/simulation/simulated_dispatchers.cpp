// Simulated dispatchers and their clients: arrival of requests, and the scheduler's actions.
#include <algorithm>
#include <utility>

#include "testbed/simulation/fleet_simulation.h"
#include "testbed/simulation/model_constants.h"

namespace dispatcher::testbed {

using scheduling::Action;
using scheduling::ActionKind;
using scheduling::Outcome;

namespace {

constexpr double kBusyTrafficFactor = 10;  // of a busy dispatcher, relative to the others
constexpr double kRestartJitterMs = 50;

}  // namespace

void FleetSimulation::start(int dispatcher, bool first_start) {
  Node& started = node(dispatcher);
  ++started.incarnation;
  started.watching = false;
  started.revision = 1;
  scheduling::Settings settings = settings_;
  settings.index = options_.assumes_single_dispatcher ? 0 : dispatcher;
  settings.seed =
      options_.seed * 1000003 + started.incarnation * 7919 + static_cast<std::uint64_t>(dispatcher);
  std::vector<Action> actions;
  started.scheduler.emplace(settings, events_.now(), actions);
  execute(dispatcher, actions);
  if (options_.gossip)
    started.gossip.emplace(dispatcher, options_.dispatchers);
  double jitter_ms =
      first_start ? 0 : std::uniform_real_distribution<double>(0, kRestartJitterMs)(random_);
  schedule_in(jitter_ms, [this, dispatcher] {
    deliver_endpoints(dispatcher, scheduling::EndpointUpdateKind::Cached, 0);
  });
}

void FleetSimulation::kill_dispatcher(int dispatcher, double restart_after_s) {
  Node& killed = node(dispatcher);
  if (!killed.scheduler)
    return;
  counts_.lost += std::ranges::count_if(killed.requests,
                                        [](const auto& entry) { return !entry.second.answered; });
  killed.scheduler.reset();
  killed.gossip.reset();
  killed.gossip_scheduled = false;
  killed.requests.clear();
  killed.open_attempts.clear();
  ++killed.incarnation;
  for (Worker& worker : workers_) {
    std::erase_if(worker.queue,
                  [&](const AttemptRef& ref) { return ref.dispatcher == dispatcher; });
  }
  schedule_in(1000 * restart_after_s, [this, dispatcher] { start(dispatcher, false); });
}

double FleetSimulation::arrivals_per_second(int dispatcher) const {
  double capacity = 0;  // ms of work per ms, of all initial workers
  for (int i = 0; i < options_.workers; ++i)
    capacity += workers_[static_cast<std::size_t>(i)].speed * options_.slots;
  double shares = options_.dispatchers + (kBusyTrafficFactor - 1) * options_.busy_dispatchers;
  double factor = dispatcher < options_.busy_dispatchers ? kBusyTrafficFactor : 1;
  return load_factor_ * options_.load * capacity / (kMeanWorkMs / 1000) / shares * factor;
}

void FleetSimulation::schedule_arrival(int dispatcher) {
  std::exponential_distribution<double> interval_s(arrivals_per_second(dispatcher));
  schedule_in(1000 * interval_s(random_), [this, dispatcher] {
    schedule_arrival(dispatcher);
    accept_request(dispatcher);
  });
}

// Drops the request while the dispatcher is down: its clients would use another dispatcher, which
// is not simulated.
void FleetSimulation::accept_request(int dispatcher) {
  static constexpr double kMaxWorkFactor = 8;
  Node& target = node(dispatcher);
  if (!target.scheduler)
    return;
  std::lognormal_distribution<double> work_factor(-0.32, 0.8);
  double work_ms = kMeanWorkMs * std::min(kMaxWorkFactor, work_factor(random_));
  scheduling::Request request;
  request.id = ++last_request_id_;
  request.timeout = Duration(kRequestTimeoutMs);
  if (options_.keyed_share > 0)
    request.job_class = std::bernoulli_distribution(options_.keyed_share)(random_) ? 1 : 0;
  request.cost_hint = Duration(work_ms * std::lognormal_distribution<double>(0, 0.3)(random_));
  count_arrival();
  target.requests[request.id] = {
      .attempts = {},
      .objective_ms = kObjectiveBaseMs + kObjectiveWorkFactor * work_ms + work_ms,
      .arrived_at = events_.now(),
  };
  schedule_in(kRequestTimeoutMs,
              [this, dispatcher, incarnation = target.incarnation, id = request.id] {
                expire_request(dispatcher, incarnation, id);
              });
  feed(dispatcher, [&](auto& scheduler, auto& actions) {
    scheduler.on_request(events_.now(), request, actions);
  });
}

void FleetSimulation::count_arrival() {
  ++counts_.requests;
  auto second = static_cast<std::size_t>(now_s());
  auto& arrived = counts_.arrived_by_second;
  arrived.resize(std::max(arrived.size(), second + 1));
  counts_.in_time_by_second.resize(arrived.size());
  ++arrived[second];
}

void FleetSimulation::execute(int dispatcher, const std::vector<Action>& actions) {
  for (const Action& action : actions)
    execute(dispatcher, action);
}

void FleetSimulation::execute(int dispatcher, const Action& action) {
  switch (action.kind) {
    case ActionKind::Send:
      return send_attempt(dispatcher, action);
    case ActionKind::Cancel:
      return cancel_attempt(dispatcher, action);
    case ActionKind::Reject:
      return answer(dispatcher, action.id, counts_.rejected);
    case ActionKind::Fail:
      return answer(dispatcher, action.id, counts_.failed);
    case ActionKind::HealthCheck:
      return check_health(dispatcher, index_of(action.worker));
    case ActionKind::Watch:
      return poll_discovery(dispatcher);
    case ActionKind::SetTimer:
      return set_timer(dispatcher, action.at);
    case ActionKind::Log:
      return;
  }
}

void FleetSimulation::set_timer(int dispatcher, Time at) {
  std::uint64_t incarnation = node(dispatcher).incarnation;
  events_.schedule_at(std::max(at, events_.now()), [this, dispatcher, incarnation] {
    if (!is_current(dispatcher, incarnation))
      return;
    feed(dispatcher,
         [&](auto& scheduler, auto& actions) { scheduler.on_timer(events_.now(), actions); });
  });
}

void FleetSimulation::send_attempt(int dispatcher, const Action& action) {
  Node& sender = node(dispatcher);
  AttemptRef ref{.dispatcher = dispatcher,
                 .incarnation = sender.incarnation,
                 .id = action.id,
                 .number = ++last_attempt_number_};
  auto it = sender.requests.find(action.id);
  if (it == sender.requests.end())
    return;
  Request& request = it->second;
  ++counts_.attempts;
  if (std::ranges::any_of(request.attempts, &Attempt::open))
    ++counts_.hedges;
  std::size_t index = index_of(action.worker);
  const Worker& worker = workers_[index];
  if (worker.first_failure_at && (!worker.up || worker.fail_share > 0))
    ++counts_.attempts_at_known_bad;
  ref.attempt = static_cast<int>(request.attempts.size());
  ref.work_ms = (request.objective_ms - kObjectiveBaseMs) / (kObjectiveWorkFactor + 1);
  request.attempts.push_back({.worker = index, .number = ref.number});
  change_open_attempts(dispatcher, index, 1);
  schedule_in(kOneWayLatencyMs, [this, index, ref] { receive_attempt(index, ref); });
}

void FleetSimulation::cancel_attempt(int dispatcher, const Action& action) {
  const Node& sender = node(dispatcher);
  auto it = sender.requests.find(action.id);
  if (it == sender.requests.end() || action.attempt >= std::ssize(it->second.attempts))
    return;
  const Attempt& attempt = it->second.attempts[static_cast<std::size_t>(action.attempt)];
  if (!attempt.open)
    return;
  AttemptRef ref{.dispatcher = dispatcher,
                 .incarnation = sender.incarnation,
                 .id = action.id,
                 .attempt = action.attempt,
                 .number = attempt.number};
  schedule_in(kOneWayLatencyMs, [this, index = attempt.worker, ref] {
    Worker& worker = workers_[index];
    std::erase(worker.queue, ref);
    std::erase(worker.running, ref);
    run_queued(index);
  });
  schedule_in(0, [this, ref] { end_attempt(ref, Outcome::Cancelled, std::nullopt); });
}

void FleetSimulation::answer(int dispatcher, scheduling::RequestId id, long& count) {
  auto& requests = node(dispatcher).requests;
  auto it = requests.find(id);
  if (it == requests.end() || std::exchange(it->second.answered, true))
    return;
  ++count;
  // Deferred, as the scheduler still cancels the request's open attempts.
  schedule_in(0, [this, dispatcher, id] { erase_if_finished(dispatcher, id); });
}

// The client's timeout: ends the open attempts, then the client disconnects.
void FleetSimulation::expire_request(int dispatcher, std::uint64_t incarnation,
                                     scheduling::RequestId id) {
  Node& owner = node(dispatcher);
  auto it = owner.requests.find(id);
  if (owner.incarnation != incarnation || it == owner.requests.end())
    return;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    if (!it->second.attempts[i].open)
      continue;
    AttemptRef ref{.dispatcher = dispatcher,
                   .incarnation = incarnation,
                   .id = id,
                   .attempt = static_cast<int>(i)};
    end_attempt(ref, Outcome::TimedOut, std::nullopt);
    it = owner.requests.find(id);
    if (it == owner.requests.end())
      return;
  }
  if (!std::exchange(it->second.answered, true)) {
    ++counts_.failed;
    feed(dispatcher, [&](auto& scheduler, auto& actions) {
      scheduler.on_client_disconnected(events_.now(), id, actions);
    });
  }
  erase_if_finished(dispatcher, id);
}

void FleetSimulation::erase_if_finished(int dispatcher, scheduling::RequestId id) {
  auto& requests = node(dispatcher).requests;
  auto it = requests.find(id);
  if (it != requests.end() && it->second.answered &&
      std::ranges::none_of(it->second.attempts, &Attempt::open))
    requests.erase(it);
}

void FleetSimulation::end_attempt(const AttemptRef& ref, Outcome outcome,
                                  std::optional<std::size_t> reporting_worker) {
  if (!sender_is_running(ref))
    return;
  auto& requests = node(ref.dispatcher).requests;
  auto it = requests.find(ref.id);
  if (it == requests.end())
    return;
  Request& request = it->second;
  Attempt& attempt = request.attempts[static_cast<std::size_t>(ref.attempt)];
  if (!std::exchange(attempt.open, false))
    return;
  std::size_t index = attempt.worker;
  Worker& worker = workers_[index];
  change_open_attempts(ref.dispatcher, index, -1);
  bool failed = outcome == Outcome::ConnectFailed || outcome == Outcome::Failure ||
                outcome == Outcome::ConnectionReset;
  if (failed && (!worker.up || worker.fail_share > 0) && !worker.first_failure_at)
    worker.first_failure_at = events_.now();
  if (outcome == Outcome::Success && !request.answered)
    count_success(request);
  scheduling::LoadReport load = reporting_worker ? load_report(worker) : scheduling::LoadReport();
  feed(ref.dispatcher, [&](auto& scheduler, auto& actions) {
    scheduler.on_attempt_end(
        events_.now(), {ref.id, ref.attempt, request.answered, worker.id, outcome, load}, actions);
  });
  erase_if_finished(ref.dispatcher, ref.id);
}

void FleetSimulation::count_success(Request& request) {
  request.answered = true;
  ++counts_.served;
  if ((events_.now() - request.arrived_at).count() > request.objective_ms) {
    ++counts_.late;
    return;
  }
  auto second = static_cast<std::size_t>((request.arrived_at - Time()) / Duration(1000));
  ++counts_.in_time_by_second[second];
}

}  // namespace dispatcher::testbed

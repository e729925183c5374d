#include "testbed/simulation/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatcher::testbed {

using scheduling::Action;
using scheduling::ActionKind;
using scheduling::EndpointUpdateKind;
using scheduling::LoadReport;
using scheduling::Outcome;

namespace {

constexpr double kWork = 300;       // ms, of a job on average
constexpr double kWay = 1.5;        // ms, one way
constexpr double kConnect = 250;    // ms
constexpr std::size_t kQueue = 12;  // places of a worker
constexpr double kNotice = 2000;    // ms until discovery tells of a change
constexpr double kCallMs = 60;      // of discovery's time, for a call...
constexpr double kLineMs = 0.3;     // ...and for a line
constexpr double kCallPatience = 3000;
constexpr double kLook = 100;  // how often the world looks who avoids what has vanished

double ms(Duration d) {
  return d.count();
}

}  // namespace

double FleetCounts::learned_at(double part) const {
  if (learned.empty())
    return -1;
  std::vector<double> sorted = learned;
  std::ranges::sort(sorted);
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(part * static_cast<double>(sorted.size())))];
}

double FleetCounts::share(double from, double to) const {
  long all = 0;
  long good = 0;
  for (auto i = static_cast<std::size_t>(from);
       i < std::min(came.size(), static_cast<std::size_t>(to)); ++i) {
    all += came[i];
    good += in_time[i];
  }
  return all ? double(good) / double(all) : 0;
}

double FleetCounts::settles(double start, double end, double part) const {
  double before = share(1, start - 1);  // a fault spoils what came just before it
  for (double at = end; at + 6 <= double(came.size()); ++at) {  // the last ones are still open
    if (share(at, at + 1) >= part * before && share(at, at + 3) >= part * before)
      return at - end;
  }
  return -1;
}

FleetSimulation::FleetSimulation(Options options) : options_(options), random_(options.seed) {
  settings_.dispatchers = options.thinks_alone ? 1 : options.dispatchers;
  scheduling::ClassSettings c;
  c.name = "order";
  c.idempotency = scheduling::Idempotency::NonIdempotent;
  c.deduplication_scope = scheduling::DeduplicationScope::All;
  c.deduplication_window = Duration(5000);
  c.latency_objective = Duration(300);
  c.objective_work_factor = 2.5;
  c.deadline = Duration(5000);
  c.late_weight = 0.5;
  settings_.classes = {c};
  c.name = "keyed";
  c.idempotency = scheduling::Idempotency::KeyedIdempotent;
  c.late_weight = 0.3;
  if (options.keyed > 0)
    settings_.classes.push_back(c);
  settings_.tick = Duration(2);
  settings_.max_attempts = 3;
  settings_.hedging_allowed = true;
  settings_.connect_timeout = Duration(kConnect);
  settings_.cancellation_allowed = true;
  settings_.watch_required = true;
  settings_.reports = scheduling::LoadReportMode::Inline;
  settings_.reports_job_start = true;
  settings_.answer_slack = Duration(8);
  settings_.poll_deadline = Duration(10000);
  settings_.drain_grace = Duration(500);
  settings_.slow_start_initial_fraction = 0.3;
  settings_.slow_start_duration = Duration(8000);
  settings_.overload_multiple = 3;
  settings_.overload_window = Duration(2000);
  settings_.weight_by_work = true;
  settings_.health_checks_allowed = options.probes;
  if (options.bare)
    settings_.reports_job_start = settings_.cancellation_allowed = settings_.hedging_allowed =
        options_.news = false;
  for (int i = 0; i < options.workers; ++i) {
    Worker w;
    w.id = std::string("w").append(std::to_string(i));
    w.speed = i % 3 == 0 ? 1.4 : 0.9;
    workers_.push_back(std::move(w));
    by_id_[workers_.back().id] = workers_.size() - 1;
  }
  nodes_.resize(static_cast<std::size_t>(options.dispatchers));
  for (int i = 0; i < options.dispatchers; ++i) {
    start(i, true);
    arrive(i);
  }
  look_who_knows();
}

void FleetSimulation::in(double after, std::function<void()> call) {
  events_.push({now_ + Duration(after), ++order_, std::move(call)});
}

void FleetSimulation::at(double seconds, std::function<void()> call) {
  events_.push({Time(Duration(1000 * seconds)), ++order_, std::move(call)});
}

void FleetSimulation::run_until(double seconds) {
  Time end{Duration(1000 * seconds)};
  while (!events_.empty() && events_.top().at <= end) {
    Event e = events_.top();
    events_.pop();
    now_ = std::max(now_, e.at);
    e.call();
  }
  now_ = end;
}

std::size_t FleetSimulation::open() const {
  std::size_t all = 0;
  for (const Node& n : nodes_) {
    all += static_cast<std::size_t>(
        std::ranges::count_if(n.jobs, [](const auto& j) { return !j.second.answered; }));
  }
  return all;
}

FleetSimulation::Where FleetSimulation::where() const {
  Where where;
  for (const Node& n : nodes_) {
    for (const auto& [id, job] : n.jobs)
      where.held += !job.answered && std::ranges::none_of(job.attempts, &Attempt::open);
  }
  auto late = [this](const Run& r) {
    const Node& n = nodes_[static_cast<std::size_t>(r.dispatcher)];
    auto it = n.jobs.find(r.id);
    return !lives(r) || it == n.jobs.end() || it->second.answered ||
           ms(now_ - it->second.came) > it->second.wanted;
  };
  for (const Worker& w : workers_) {
    where.queued += w.queue.size();
    where.running += w.running.size();
    where.queued_late += static_cast<std::size_t>(std::ranges::count_if(w.queue, late));
    where.running_late += static_cast<std::size_t>(std::ranges::count_if(w.running, late));
  }
  return where;
}

std::size_t FleetSimulation::index_of(std::string_view worker) const {
  return by_id_.find(worker)->second;
}

double FleetSimulation::warmth(const Worker& w) const {
  if (!w.started)
    return 1;
  double t = std::clamp((now_ - *w.started) / settings_.slow_start_duration, 0.0, 1.0);
  return settings_.slow_start_initial_fraction + (1 - settings_.slow_start_initial_fraction) * t;
}

LoadReport FleetSimulation::report(const Worker& w) const {
  LoadReport r;
  r.free_slots = std::max(0.0, double(options_.slots) - double(w.running.size()));
  r.queue = double(w.queue.size());
  r.fail_rate = w.errors * std::exp(-((now_ - w.error_at) / Duration(1000)));
  return r;
}

template <class Feed>
void FleetSimulation::feed(int node, Feed feed) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (!n.module)
    return;
  std::vector<Action> actions;
  feed(*n.module, actions);
  act(node, actions);
}

// ---- Dispatchers ----

void FleetSimulation::start(int node, bool first) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  ++n.life;
  n.watching = false;
  n.revision = 1;
  scheduling::Settings s = settings_;
  s.index = options_.thinks_alone ? 0 : node;
  s.seed = options_.seed * 1000003 + n.life * 7919 + std::uint64_t(node);
  std::vector<Action> actions;
  n.module.emplace(s, now_, actions);
  act(node, actions);
  if (options_.news)
    n.loads.emplace(node, options_.dispatchers);
  double jitter = first ? 0 : std::uniform_real_distribution<double>(0, 50)(random_);
  in(jitter, [this, node] { tell_list(node, EndpointUpdateKind::Cached, 0); });
}

void FleetSimulation::kill(int node, double back_after_s) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (!n.module)
    return;
  counts_.lost += std::ranges::count_if(n.jobs, [](const auto& j) { return !j.second.answered; });
  n.module.reset();
  n.loads.reset();
  n.tells_late = false;
  n.jobs.clear();
  n.there.clear();
  ++n.life;
  for (Worker& w : workers_)
    std::erase_if(w.queue, [&](const Run& r) { return r.dispatcher == node; });
  in(1000 * back_after_s, [this, node] { start(node, false); });
}

void FleetSimulation::arrive(int node) {
  double capacity = 0;  // jobs a second
  for (int i = 0; i < options_.workers; ++i)
    capacity += workers_[static_cast<std::size_t>(i)].speed * options_.slots;
  double shares = options_.dispatchers + 9.0 * options_.busy;
  double rate =
      load_ * options_.load * capacity / (kWork / 1000) / shares * (node < options_.busy ? 10 : 1);
  in(1000 * std::exponential_distribution<double>(rate)(random_), [this, node] {
    arrive(node);
    Node& n = nodes_[static_cast<std::size_t>(node)];
    if (!n.module)
      return;  // its clients find another one, which this world leaves out
    ++counts_.orders;
    double work = kWork * std::min(8.0, std::lognormal_distribution<double>(-0.32, 0.8)(random_));
    scheduling::Request r;
    r.id = ++next_id_, r.timeout = Duration(5000);
    if (options_.keyed > 0)
      r.job_class = std::bernoulli_distribution(options_.keyed)(random_);
    r.cost_hint = Duration(work * std::lognormal_distribution<double>(0, 0.3)(random_));
    auto second = static_cast<std::size_t>(now_s());
    counts_.came.resize(std::max(counts_.came.size(), second + 1)),
        counts_.in_time.resize(counts_.came.size());
    ++counts_.came[second];
    n.jobs[r.id] = {{}, 300 + 2.5 * work + work, now_, false};
    std::uint64_t life = n.life;
    in(5000, [this, node, life, id = r.id] { time_up(node, life, id); });
    feed(node, [&](auto& d, auto& out) { d.on_request(now_, r, out); });
  });
}

void FleetSimulation::act(int node, std::vector<Action>& actions) {
  std::uint64_t life = nodes_[static_cast<std::size_t>(node)].life;
  for (const Action& a : actions) {
    switch (a.kind) {
      case ActionKind::Send:
        send(node, a);
        break;
      case ActionKind::Cancel:
        cancel(node, a);
        break;
      case ActionKind::Reject:
        answer(node, a.id, counts_.refused);
        break;
      case ActionKind::Fail:
        answer(node, a.id, counts_.failed);
        break;
      case ActionKind::HealthCheck:
        probe(node, index_of(a.worker));
        break;
      case ActionKind::Watch:
        call_discovery(node);
        break;
      case ActionKind::SetTimer:
        events_.push({std::max(a.at, now_), ++order_, [this, node, life] {
                        if (nodes_[static_cast<std::size_t>(node)].life == life)
                          feed(node, [&](auto& d, auto& out) { d.on_timer(now_, out); });
                      }});
        break;
      case ActionKind::Log:
        break;
    }
  }
}

void FleetSimulation::answer(int node, scheduling::RequestId id, long& count) {
  auto& jobs = nodes_[static_cast<std::size_t>(node)].jobs;
  auto it = jobs.find(id);
  if (it == jobs.end() || std::exchange(it->second.answered, true))
    return;
  ++count;
  in(0, [this, node, id] {
    close(node, id);
  });  // the scheduler's cancels of its attempts follow first
}

// The client's time is over: what is out has timed out.
void FleetSimulation::time_up(int node, std::uint64_t life, scheduling::RequestId id) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  auto it = n.jobs.find(id);
  if (n.life != life || it == n.jobs.end())
    return;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    if (it->second.attempts[i].open) {
      end({node, life, id, static_cast<int>(i), 0, 0}, Outcome::TimedOut, std::nullopt);
      if ((it = n.jobs.find(id)) == n.jobs.end())
        return;
    }
  }
  if (std::exchange(it->second.answered, true))
    return close(node, id);
  ++counts_.failed;
  feed(node, [&](auto& d, auto& out) { d.on_client_disconnected(now_, id, out); });
  close(node, id);
}

void FleetSimulation::close(int node, scheduling::RequestId id) {
  auto& jobs = nodes_[static_cast<std::size_t>(node)].jobs;
  auto it = jobs.find(id);
  if (it != jobs.end() && it->second.answered &&
      std::ranges::none_of(it->second.attempts, &Attempt::open))
    jobs.erase(it);
}

void FleetSimulation::send(int node, const Action& a) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  auto it = n.jobs.find(a.id);
  std::size_t worker = index_of(a.worker);
  Run run{node, n.life, a.id, 0, 0, ++number_};
  if (it == n.jobs.end())
    return;
  Job& job = it->second;
  run.attempt = static_cast<int>(job.attempts.size());
  ++counts_.attempts;
  if (std::ranges::any_of(job.attempts, &Attempt::open))
    ++counts_.copies;
  Worker& w = workers_[worker];
  if (w.first_failure && (!w.up || w.fails > 0))
    ++counts_.after_first;
  job.attempts.push_back({worker, run.number, true});
  run.work = (job.wanted - 300) / 3.5;
  count_there(node, worker, 1);
  in(kWay, [this, worker, run] { reach(worker, run); });
}

void FleetSimulation::cancel(int node, const Action& a) {
  auto& jobs = nodes_[static_cast<std::size_t>(node)].jobs;
  auto it = jobs.find(a.id);
  if (it == jobs.end() || a.attempt >= std::ssize(it->second.attempts))
    return;
  Attempt& attempt = it->second.attempts[static_cast<std::size_t>(a.attempt)];
  if (!attempt.open)
    return;
  Run run{node, nodes_[static_cast<std::size_t>(node)].life, a.id, a.attempt, 0, attempt.number};
  in(kWay, [this, worker = attempt.worker, run] {
    Worker& w = workers_[worker];
    std::erase(w.queue, run);
    std::erase(w.running, run);
    begin_next(worker);
  });
  in(0, [this, run] { end(run, Outcome::Cancelled, std::nullopt); });
}

// With a report of `worker`, where it is the one that tells.
void FleetSimulation::end(Run run, Outcome outcome, std::optional<std::size_t> from) {
  if (!lives(run))
    return;
  Node& n = nodes_[static_cast<std::size_t>(run.dispatcher)];
  auto it = n.jobs.find(run.id);
  if (it == n.jobs.end())
    return;
  Attempt& attempt = it->second.attempts[static_cast<std::size_t>(run.attempt)];
  if (!std::exchange(attempt.open, false))
    return;
  std::size_t worker = attempt.worker;
  Worker& w = workers_[worker];
  count_there(run.dispatcher, worker, -1);
  bool bad = outcome == Outcome::ConnectFailed || outcome == Outcome::Failure ||
             outcome == Outcome::ConnectionReset;
  if (bad && (!w.up || w.fails > 0) && !w.first_failure)
    w.first_failure = now_;
  if (outcome == Outcome::Success && !std::exchange(it->second.answered, true)) {
    ++counts_.served;
    if (ms(now_ - it->second.came) > it->second.wanted) {
      ++counts_.late;
    } else {
      ++counts_.in_time[static_cast<std::size_t>((it->second.came - Time()) / Duration(1000))];
    }
  }
  bool final = it->second.answered;
  LoadReport load = from ? report(w) : LoadReport();
  feed(run.dispatcher, [&](auto& d, auto& out) {
    d.on_attempt_end(now_, {run.id, run.attempt, final, w.id, outcome, load}, out);
  });
  close(run.dispatcher, run.id);
}

// ---- Workers ----

void FleetSimulation::reach(std::size_t worker, Run run) {
  Worker& w = workers_[worker];
  if (!w.up)
    return in(kConnect, [this, run] { end(run, Outcome::ConnectFailed, std::nullopt); });
  if (w.fallen)
    return in(kWay, [this, run] { end(run, Outcome::ConnectFailed, std::nullopt); });
  if (w.fails > 0 && std::bernoulli_distribution(w.fails)(random_)) {
    w.errors = w.errors * std::exp(-((now_ - w.error_at) / Duration(1000))) + 1;
    w.error_at = now_;
    return in(kWay, [this, run, worker] { end(run, Outcome::Failure, worker); });
  }
  if (w.queue.size() >= kQueue)
    return in(kWay, [this, run, worker] { end(run, Outcome::Rejected, worker); });
  if (warmth(w) < 1) {
    w.sent.emplace_back(now_, run.work);
    while (w.sent.front().first + settings_.overload_window < now_)
      w.sent.pop_front();
    double all = 0;
    for (const auto& [at, work] : w.sent)
      all += work;
    double bears = settings_.overload_multiple * ms(settings_.overload_window) * options_.slots *
                   w.speed * warmth(w);
    counts_.cold_most = std::max(counts_.cold_most, all / bears);
    if (all > bears) {
      w.fallen = true;
      ++counts_.fallen;
    }
  }
  w.queue.push_back(run);
  begin_next(worker);
}

void FleetSimulation::begin_next(std::size_t worker) {
  Worker& w = workers_[worker];
  while (w.up && !w.silent && !w.fallen && !w.queue.empty() &&
         std::ssize(w.running) < options_.slots) {
    Run run = w.queue.front();
    w.queue.pop_front();
    w.running.push_back(run);
    double takes = run.work / (w.speed * warmth(w));
    if (warmth(w) < 1)
      counts_.cold_used += run.work;
    in(kWay, [this, run, worker] {
      if (lives(run) && settings_.reports_job_start) {
        feed(run.dispatcher, [&](auto& d, auto& out) {
          d.on_job_event(now_, run.id, run.attempt, workers_[worker].id,
                         scheduling::JobEventKind::Started, out);
        });
      }
    });
    in(takes, [this, worker, run] {
      Worker& then = workers_[worker];
      if (then.silent)
        return then.done.push_back(run);  // says so when it speaks again
      if (!then.up || std::erase(then.running, run) == 0)
        return;
      in(kWay, [this, run, worker] { end(run, Outcome::Success, worker); });
      begin_next(worker);
    });
  }
}

void FleetSimulation::probe(int node, std::size_t worker) {
  ++counts_.probes;
  std::uint64_t life = nodes_[static_cast<std::size_t>(node)].life;
  bool answers = workers_[worker].up && !workers_[worker].fallen && !workers_[worker].silent;
  in(answers ? 2 * kWay : 500, [this, node, life, worker, answers] {
    if (nodes_[static_cast<std::size_t>(node)].life != life)
      return;
    Worker& w = workers_[worker];
    if (!answers && !w.first_failure)
      w.first_failure = now_;
    feed(node, [&](auto& d, auto& out) {
      d.on_health_check_result(now_, w.id, answers ? Outcome::Success : Outcome::TimedOut,
                               answers ? report(w) : LoadReport(), out);
    });
  });
}

void FleetSimulation::vanish(int worker) {
  Worker& w = workers_[static_cast<std::size_t>(worker)];
  w.up = false;
  w.vanished = now_;
  w.running.clear();
  w.queue.clear();  // nobody hears of these again
}

void FleetSimulation::come_back(int worker) {
  Worker& w = workers_[static_cast<std::size_t>(worker)];
  w.up = true;
  w.started = now_;
  w.vanished.reset();
  w.first_failure.reset();
  w.known_bad.clear();
  changed(static_cast<std::size_t>(worker));
}

void FleetSimulation::replace(int worker) {
  auto old = static_cast<std::size_t>(worker);
  Worker next;
  next.id = workers_[old].id + "'";
  next.speed = workers_[old].speed;
  next.started = now_;
  for (const Run& r : workers_[old].running)
    in(kWay, [this, r] { end(r, Outcome::ConnectionReset, std::nullopt); });
  vanish(worker);
  workers_[old].listed = false;
  changed(old);
  workers_.push_back(std::move(next));
  by_id_[workers_.back().id] = workers_.size() - 1;
  changed(workers_.size() - 1);
}

void FleetSimulation::silent(int worker, bool silent) {
  Worker& w = workers_[static_cast<std::size_t>(worker)];
  w.silent = silent;
  for (Run run : std::exchange(w.done, {})) {
    if (std::erase(w.running, run)) {
      in(kWay,
         [this, run, worker] { end(run, Outcome::Success, static_cast<std::size_t>(worker)); });
    }
  }
  begin_next(static_cast<std::size_t>(worker));
}

void FleetSimulation::cut(int first, int last, bool cut) {
  for (int i = first; i <= last; ++i)
    nodes_[static_cast<std::size_t>(i)].apart = cut;
}

void FleetSimulation::make_bad(int worker, double fails, double speed) {
  Worker& w = workers_[static_cast<std::size_t>(worker)];
  w.fails = fails;
  w.speed *= speed;
}

// ---- Discovery ----

void FleetSimulation::changed(std::size_t worker) {
  in(kNotice, [this, worker] {
    changes_.emplace_back(++revision_, worker);
    for (int i = 0; i < options_.dispatchers; ++i) {
      if (nodes_[static_cast<std::size_t>(i)].watching)
        tell_list(i, EndpointUpdateKind::Delta, nodes_[static_cast<std::size_t>(i)].revision);
    }
  });
}

void FleetSimulation::call_discovery(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  std::uint64_t life = n.life;
  auto second = static_cast<std::size_t>(now_s());
  counts_.calls_by_second.resize(std::max(counts_.calls_by_second.size(), second + 1));
  counts_.failed_by_second.resize(counts_.calls_by_second.size());
  ++counts_.calls;
  ++counts_.calls_by_second[second];
  long lines = std::ranges::count_if(changes_, [&](const auto& c) { return c.first > n.revision; });
  Time begins = std::max(now_, discovery_free_);
  if (begins - now_ > Duration(kCallPatience)) {  // it waits in vain, and costs nothing
    ++counts_.failed_calls;
    ++counts_.failed_by_second[second];
    return in(kCallPatience, [this, node, life] {
      if (nodes_[static_cast<std::size_t>(node)].life == life)
        feed(node, [&](auto& d, auto& out) {
          d.on_endpoint_update(now_, EndpointUpdateKind::Failed, {}, out);
        });
    });
  }
  discovery_free_ = begins + Duration(kCallMs + kLineMs * double(lines));
  counts_.lines += lines;
  in(ms(discovery_free_ - now_), [this, node, life] {
    Node& n = nodes_[static_cast<std::size_t>(node)];
    if (n.life != life)
      return;
    n.watching = true;
    tell_list(node, EndpointUpdateKind::Delta, n.revision);
  });
}

void FleetSimulation::tell_list(int node, EndpointUpdateKind kind, int after) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (!n.module)
    return;
  std::vector<scheduling::WorkerEntry> entries;
  auto add = [&](std::size_t i, bool now) {
    const Worker& w = workers_[i];
    scheduling::WorkerEntry e;
    e.worker = w.id;
    e.size = options_.slots;
    e.readiness = now && !w.listed ? scheduling::Readiness::Removed : scheduling::Readiness::Ready;
    if (now && w.started)
      e.online_since = w.started;
    entries.push_back(e);
  };
  if (kind == EndpointUpdateKind::Cached) {
    for (int i = 0; i < options_.workers; ++i)
      add(static_cast<std::size_t>(i), false);
  } else {
    for (const auto& [revision, worker] : changes_) {
      if (revision > after)
        add(worker, true);
    }
  }
  if (kind != EndpointUpdateKind::Cached)
    n.revision = revision_;
  feed(node, [&](auto& d, auto& out) { d.on_endpoint_update(now_, kind, entries, out); });
  if (!n.loads)
    return;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (i < static_cast<std::size_t>(options_.workers) || kind != EndpointUpdateKind::Cached)
      names.push_back(workers_[i].id);
  }
  n.loads->list(names, [&](const std::string& worker, int jobs) {
    feed(node, [&](auto& d, auto& out) { d.on_load_gossip(now_, worker, jobs, out); });
  });
}

// ---- News between dispatchers ----

void FleetSimulation::count_there(int node, std::size_t worker, int more) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  int jobs = n.there[worker] += more;
  if (!n.loads)
    return;
  n.loads->announce(now_, workers_[worker].id, jobs);
  tell(node);
}

void FleetSimulation::tell(int node) {
  Node& n = nodes_[static_cast<std::size_t>(node)];
  if (!n.loads)
    return;
  for (const fleet::LoadGossip::Message& m : n.loads->due(now_)) {
    if (n.apart || nodes_[static_cast<std::size_t>(m.to)].apart ||
        std::bernoulli_distribution(options_.lossy)(random_))
      continue;
    ++counts_.messages;
    counts_.bytes += static_cast<long>(m.bytes.size());
    in(2 * kWay, [this, node, m] {
      Node& heard = nodes_[static_cast<std::size_t>(m.to)];
      if (!heard.loads)
        return;
      heard.loads->take(
          now_, static_cast<std::size_t>(node), m.bytes, [&](const std::string& worker, int jobs) {
            feed(m.to, [&](auto& d, auto& out) { d.on_load_gossip(now_, worker, jobs, out); });
          });
    });
  }
  if (!n.loads->waits() || std::exchange(n.tells_late, true))
    return;
  in(fleet::kLeft.count(), [this, node, life = n.life] {
    Node& later = nodes_[static_cast<std::size_t>(node)];
    if (later.life != life)
      return;
    later.tells_late = false;
    tell(node);
  });
}

void FleetSimulation::look_who_knows() {
  for (Worker& w : workers_) {
    if (!w.vanished || !w.listed || !w.first_failure)
      continue;
    for (int i = 0; i < options_.dispatchers; ++i) {
      const Node& n = nodes_[static_cast<std::size_t>(i)];
      if (!n.module || w.known_bad.contains(i) || !n.module->avoids(w.id))
        continue;
      if (!w.known_bad.empty())
        counts_.learned.push_back(ms(now_ - *w.first_failure));
      w.known_bad.insert(i);
    }
  }
  in(kLook, [this] { look_who_knows(); });
}

}  // namespace dispatcher::testbed

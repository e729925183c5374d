#include "routing/router.h"

#include <cstdio>

namespace dispatcher::routing {
namespace {

constexpr const char* kOutcomes[] = {"success",   "failure",     "overloaded",
                                     "timed_out", "unreachable", "broken",
                                     "withdrawn", "void"};  // in the order of scheduling::Outcome
constexpr std::size_t kEndedKept =
    4096;  // ids; a quarter of a megabyte, and well over a minute's commands

}  // namespace

using scheduling::Action;
using scheduling::ActionKind;
using scheduling::Duration;
using scheduling::LoadReport;
using scheduling::Outcome;

Router::Router(const scheduling::Settings& settings, std::size_t max_requests,
               const transport::Clock& clock, transport::Deadlines& deadlines, Ports ports,
               operations::Metrics& metrics, Log log)
    : settings_(settings),
      clock_(clock),
      deadlines_(deadlines),
      ports_(ports),
      metrics_(metrics),
      log_(std::move(log)),
      table_(max_requests) {}

void Router::note(const char* what, scheduling::RequestId id, int attempt, std::string_view text,
                  const char* more) const {
  if (!trace_)
    return;
  char head[64];
  std::snprintf(head, sizeof head, "%s %016llx %d ", what, static_cast<unsigned long long>(id),
                attempt);
  trace_(std::string(head).append(text).append(*more ? " " : "").append(more));
}

// The scheduler is never entered from inside one of its own actions: what a port reports meanwhile
// waits here.
void Router::post(std::function<void()> event) {
  events_.push_back(std::move(event));
  if (running_)
    return;
  running_ = true;
  while (!events_.empty()) {
    auto next = std::move(events_.front());
    events_.pop_front();
    next();
  }
  running_ = false;
}

void Router::act(std::vector<Action>& actions) {
  for (const Action& a : actions)
    carry_out(a);
}

void Router::start(const std::vector<scheduling::WorkerEntry>& known) {
  post([&] {
    std::vector<Action> actions;
    dispatcher_.emplace(settings_, clock_.now(), actions);
    act(actions);
    actions.clear();
    dispatcher_->on_endpoint_update(clock_.now(), scheduling::EndpointUpdateKind::Cached, known,
                                    actions);
    act(actions);
  });
}

Router::Taking Router::take(NewRequest n, const std::function<void(RequestRef)>& known) {
  if (by_id_.contains(n.request.id) || elsewhere_.contains(n.request.id))
    return Taking::Duplicate;
  Command c;
  c.id = n.request.id;
  c.job_class = n.request.job_class;
  c.most_attempts = settings_.max_attempts;
  c.cargo = std::move(n.cargo);
  c.ends = clock_.now() + n.request.timeout + n.request.transfer;
  std::optional<RequestRef> ref = table_.insert(std::move(c));
  if (!ref)
    return count_rejected(n.request.job_class), Taking::Full;
  by_id_[n.request.id] = *ref;
  if (tell_taken_)
    tell_taken_(n.request.id);
  ++open_;
  Command& kept = *table_.find(*ref);
  kept.deadline = deadlines_.add(kept.ends, [this, r = *ref] { time_up(r); });
  note("taken", n.request.id, -1, "");
  known(*ref);
  post([this, request = n.request] {
    std::vector<Action> actions;
    dispatcher_->on_request(clock_.now(), request, actions);
    act(actions);
  });
  return Taking::Taken;
}

void Router::client_gone(RequestRef ref) {
  post([this, ref] { drop_client(ref); });
}

void Router::drop_client(RequestRef ref) {
  Command* c = table_.find(ref);
  if (!c || c->answered)
    return;
  scheduling::RequestId id = c->id;
  note("answered", id, -1, "left");
  c->answered = true;
  --open_;
  std::vector<Action> actions;
  dispatcher_->on_client_disconnected(clock_.now(), id, actions);
  act(actions);
  if ((c = table_.find(ref)))
    close_answered(ref, *c);
}

void Router::attempt_ended(AttemptRef ref, Outcome outcome, const LoadReport& report, Reply reply) {
  post([=, this, reply = std::move(reply)]() mutable {
    end_attempt(ref, outcome, report, std::move(reply));
  });
}

void Router::progress(Progress news) {
  post([this, news = std::move(news)]() mutable {
    RequestRef ref;
    Command* c = by_id(news.id, ref);
    if (!c)
      return;  // finished or never heard of: calls repeat, and come late
    // A worker has one attempt of a command at a time; an earlier one there has ended.
    int attempt = static_cast<int>(c->attempts.size()) - 1;
    while (attempt >= 0 &&
           !(c->attempts[attempt].open && c->attempts[attempt].worker == news.worker))
      --attempt;
    if (attempt < 0)
      return;
    if (!news.started && !news.progress) {
      ports_.workers.forget_attempt({ref, attempt});
      return end_attempt({ref, attempt}, news.outcome, news.report,
                         {std::move(news.result), {}, {}, {}});
    }
    c->attempts[attempt].ran = true;
    if (news.started)
      note("started", news.id, attempt, news.worker);
    std::vector<Action> actions;
    auto kind =
        news.started ? scheduling::JobEventKind::Started : scheduling::JobEventKind::Progress;
    dispatcher_->on_job_event(clock_.now(), news.id, attempt, news.worker, kind, actions);
    act(actions);
  });
}

void Router::health_check_ended(const std::string& worker, Outcome outcome,
                                const LoadReport& report) {
  post([=, this] {
    note("probed", 0, -1, worker, kOutcomes[static_cast<int>(outcome)]);
    std::vector<Action> actions;
    dispatcher_->on_health_check_result(clock_.now(), worker, outcome, report, actions);
    act(actions);
  });
}

void Router::on_endpoint_update(scheduling::EndpointUpdateKind kind,
                                const std::vector<scheduling::WorkerEntry>& entries) {
  post([this, kind,
        &entries] {  // by reference: lists come from sockets and timers, never from an action
    std::vector<Action> actions;
    dispatcher_->on_endpoint_update(clock_.now(), kind, entries, actions);
    act(actions);
  });
}

void Router::on_load_gossip(const std::string& worker, int jobs) {
  post([this, worker, jobs] {
    std::vector<Action> actions;
    dispatcher_->on_load_gossip(clock_.now(), worker, jobs, actions);
    act(actions);
  });
}

void Router::count(const std::string& worker, int more) {
  if (!ports_.peers)
    return;
  int& jobs = at_[worker];
  ports_.peers->announce(worker, jobs += more);
  if (jobs == 0)
    at_.erase(worker);
}

std::vector<scheduling::RequestId> Router::ids() const {
  std::vector<scheduling::RequestId> all;
  for (const auto& [id, ref] : by_id_)
    all.push_back(id);
  return all;
}

std::vector<RequestRef> Router::open_refs() const {
  std::vector<RequestRef> open;
  for (RequestRef ref : table_.refs()) {
    if (!table_.find(ref)->answered)
      open.push_back(ref);
  }
  return open;
}

std::optional<Router::ReleasableRequest> Router::releasable(RequestRef ref) const {
  const Command* c = table_.find(ref);
  if (!c || c->answered || c->cargo->upload || c->cargo->reply)
    return std::nullopt;
  ReleasableRequest g{c->id, c->job_class, c->ends, {}};
  for (int i = 0; i < std::ssize(c->attempts); ++i) {
    if (!c->attempts[i].open)
      continue;
    if (!ports_.workers.is_accepted({ref, i}))
      return std::nullopt;
    g.workers.push_back(c->attempts[i].worker);
  }
  if (g.workers.empty())
    return std::nullopt;
  return g;
}

void Router::release(RequestRef ref) {
  post([this, ref] {
    Command* c = table_.find(ref);
    if (!c || c->answered)
      return;
    note("answered", c->id, -1, "given");
    c->answered = true;
    --open_;
    for (int i = 0; i < std::ssize(c->attempts); ++i) {
      if (!std::exchange(c->attempts[i].open, false))
        continue;  // the scheduler's cancels then reach nobody
      ports_.workers.forget_attempt({ref, i});
      count(c->attempts[i].worker, -1);
    }
    std::vector<Action> actions;
    dispatcher_->on_client_disconnected(clock_.now(), c->id, actions);
    act(actions);
    if ((c = table_.find(ref)))
      close_answered(ref, *c);
  });
}

void Router::apply_settings(const scheduling::Settings& settings) {
  post([this, settings] {
    settings_ = settings;
    dispatcher_->on_settings(settings);
  });
}

void Router::fail_all() {
  post([this] {
    for (RequestRef ref : table_.refs()) {
      Command* c = table_.find(ref);
      if (!c || c->answered)
        continue;
      answer_unserved(ref, *c);
      drop_client(ref);
    }
  });
}

// ---- The three final answers ----

void Router::reject(RequestRef ref, Command& c, Duration retry_after) {
  ++metrics_.of(c.job_class).throttled;
  ports_.clients.reject(ref, retry_after);
}

void Router::fail(RequestRef ref, Command& c) {
  ++metrics_.of(c.job_class).faulted;
  ports_.clients.failed(ref);
}

// ---- Actions ----

void Router::carry_out(const Action& a) {
  switch (a.kind) {
    case ActionKind::Send:
      return send(a);
    case ActionKind::Reject:
    case ActionKind::Fail:
      return answer(a);
    case ActionKind::Cancel:
      return cancel(a);
    case ActionKind::HealthCheck:
      return ports_.workers.check_health(std::string(a.worker));
    case ActionKind::Watch:
      return ports_.names.watch();
    case ActionKind::SetTimer:
      deadlines_.add(a.at, [this] {
        post([this] {
          std::vector<Action> actions;
          dispatcher_->on_timer(clock_.now(), actions);
          act(actions);
        });
      });
      return;
    case ActionKind::Log:
      return log_(a.text);
  }
}

Router::Command* Router::by_id(scheduling::RequestId id, RequestRef& ref) {
  auto it = by_id_.find(id);
  if (it == by_id_.end())
    return nullptr;
  ref = it->second;
  return table_.find(ref);
}

void Router::send(const Action& a) {
  RequestRef ref;
  Command* c = by_id(a.id, ref);
  std::string worker(a.worker);
  if (!c)
    return post([=, this, id = a.id] { tell_end(id, 0, true, worker, Outcome::NotSent, {}); });
  int attempt = static_cast<int>(c->attempts.size());
  // Past the end, past the deadline or past the last attempt allowed nothing goes out; the
  // scheduler learns it as the simulator told it.
  bool sent = !c->answered && clock_.now() < c->ends && attempt < c->most_attempts && !spent(*c);
  c->attempts.push_back({worker, sent});
  if (sent) {
    note("sent", a.id, attempt, worker);
    count(worker, 1);
  }
  if (sent)
    return ports_.workers.submit({ref, attempt}, worker, c->cargo, c->ends);
  post([=, this, id = a.id, final = c->answered] {
    tell_end(id, attempt, final, worker, Outcome::NotSent, {});
  });
}

void Router::answer(const Action& a) {
  RequestRef ref;
  Command* c = by_id(a.id, ref);
  if (!c || c->answered)
    return;
  c->answered = true;
  --open_;
  // The scheduler takes an attempt that is out for one that may run. Where none has begun that is a
  // refusal.
  bool refused = a.kind == ActionKind::Reject || !may_have_run(ref, *c);
  note("answered", a.id, -1, refused ? "nack" : "failed");
  if (refused) {
    reject(ref, *c, a.retry_after);
  } else {
    fail(ref, *c);
  }
  // Later, as the scheduler's cancels of this command's attempts follow among the same actions.
  post([this, ref] {
    if (Command* done = table_.find(ref))
      close_answered(ref, *done);
  });
}

bool Router::may_have_run(RequestRef ref, const Command& c) const {
  for (int i = 0; i < std::ssize(c.attempts); ++i) {
    if (c.attempts[i].ran || (c.attempts[i].open && ports_.workers.fully_sent({ref, i})))
      return true;
  }
  return false;
}

void Router::answer_unserved(RequestRef ref, Command& c) {
  if (may_have_run(ref, c)) {
    fail(ref, c);
  } else {
    reject(ref, c, Duration(0));
  }
}

void Router::cancel(const Action& a) {
  RequestRef ref;
  Command* c = by_id(a.id, ref);
  if (!c || a.attempt < 0 || a.attempt >= std::ssize(c->attempts) || !c->attempts[a.attempt].open)
    return;
  ports_.workers.cancel({ref, a.attempt});  // it ends when the worker has been told
}

// ---- Ends ----

void Router::end_attempt(AttemptRef ref, Outcome outcome, const LoadReport& report, Reply reply) {
  Command* c = table_.find(ref.command);
  bool open = c && ref.attempt < std::ssize(c->attempts) && c->attempts[ref.attempt].open;
  bool serves = open && outcome == Outcome::Success && !c->answered;
  if (reply.rest && !serves)
    reply.rest->abandon();  // nobody will take it
  if (!open)
    return;
  c->attempts[ref.attempt].open = false;
  c->attempts[ref.attempt].ran |= outcome != Outcome::Rejected &&
                                  outcome != Outcome::ConnectFailed && outcome != Outcome::NotSent;
  count(c->attempts[ref.attempt].worker, -1);
  note("ended", c->id, ref.attempt, c->attempts[ref.attempt].worker,
       kOutcomes[static_cast<int>(outcome)]);
  if (serves) {
    note("answered", c->id, -1, "served");
    c->answered = true;
    --open_;
    ++metrics_.of(c->job_class).fulfilled;
    ports_.clients.served(ref.command, std::move(reply));
  } else if (!c->answered && spent(*c)) {
    give_up_spent(ref.command, *c, outcome);
  }
  tell_end(c->id, ref.attempt, c->answered, std::string(c->attempts[ref.attempt].worker), outcome,
           report);
  if ((c = table_.find(ref.command)))
    close_answered(ref.command, *c);
}

// A part of its upload has gone out and been let go: it cannot be sent a second time.
bool Router::spent(const Command& c) const {
  return c.cargo->upload && !c.cargo->upload->replayable();
}

// The answer comes from here, and the scheduler is told that the command has ended with this
// attempt: it would otherwise choose another worker for something that is not there any more. A job
// begins with the last byte of its upload, so the end before that is a refusal that is true, for
// any class.
void Router::give_up_spent(RequestRef ref, Command& c, Outcome outcome) {
  bool whole = c.cargo->upload->taken_all();
  bool never_began = outcome == Outcome::ConnectFailed || outcome == Outcome::Rejected ||
                     (outcome == Outcome::Cancelled && !whole);
  c.answered = true;
  --open_;
  if (never_began) {
    reject(ref, c, Duration(0));
  } else {
    fail(ref, c);
  }
}

void Router::tell_end(scheduling::RequestId id, int attempt, bool final, const std::string& worker,
                      Outcome outcome, const LoadReport& report) {
  scheduling::AttemptEnd e;
  e.id = id;
  e.attempt = attempt;
  e.final = final;
  e.worker = worker;
  e.outcome = outcome;
  e.report = report;
  std::vector<Action> actions;
  dispatcher_->on_attempt_end(clock_.now(), e, actions);
  act(actions);
}

// The client's time is up: what is out has timed out. The scheduler still owes its answer and
// usually gave it a moment ago; where it gives none, the client gets a failure and the scheduler is
// told that the client has left.
void Router::time_up(RequestRef ref) {
  post([this, ref] {
    Command* c = table_.find(ref);
    for (int i = 0; c && i < std::ssize(c->attempts); c = table_.find(ref), ++i) {
      if (c && c->attempts[i].open) {
        // An upload that is still on its way says nothing of its worker, which must not wait for
        // the rest.
        bool unfinished = c->cargo->upload && !c->cargo->upload->taken_all();
        bool begun = !unfinished && ports_.workers.fully_sent({ref, i});
        if (begun) {
          ports_.workers.forget_attempt({ref, i});
        } else {
          ports_.workers.cancel({ref, i});  // its connection could still come up
        }
        Outcome end = unfinished ? Outcome::Cancelled
                      : begun    ? Outcome::TimedOut
                                 : Outcome::NotSent;
        end_attempt({ref, i}, end, {}, {});
      }
    }
    post([this, ref] {
      Command* late = table_.find(ref);
      if (!late || late->answered)
        return;
      log_("a command reached its deadline without the module's answer");
      answer_unserved(ref, *late);
      drop_client(ref);
    });
  });
}

// Answered and nothing of it out any more: the slot is free for another. An attempt whose
// connection is still coming up would begin for nobody: it is given up here, also where the
// settings forbid to cancel what runs.
void Router::close_answered(RequestRef ref, Command& c) {
  if (!c.answered)
    return;
  for (int i = 0; i < std::ssize(c.attempts); ++i) {
    if (c.attempts[i].open && !ports_.workers.fully_sent({ref, i})) {
      ports_.workers.cancel({ref, i});
      return end_attempt({ref, i}, Outcome::NotSent, {}, {});  // which comes back here
    }
  }
  for (const Attempt& a : c.attempts) {
    if (a.open)
      return;
  }
  deadlines_.drop(c.deadline);
  // Its number finds nothing from now on, but the id stays known for a while: each command has a
  // new one, and whoever uses one again while its first bearer has just ended must not have that
  // run a second time.
  ended_.push_back(c.id);
  if (ended_.size() > kEndedKept) {
    by_id_.erase(ended_.front());
    ended_.pop_front();
  }
  table_.erase(ref);
}

}  // namespace dispatcher::routing

#include "routing/router.h"

namespace dispatcher::routing {

using scheduling::Action;
using scheduling::ActionKind;
using scheduling::Duration;
using scheduling::LoadReport;
using scheduling::Outcome;
using scheduling::Scheduler;

Router::Router(scheduling::Settings settings, std::size_t max_requests,
               const transport::Clock& clock, transport::Deadlines& deadlines, Ports ports,
               operations::Metrics& metrics, Log log)
    : settings_(std::move(settings)),
      clock_(clock),
      deadlines_(deadlines),
      ports_(ports),
      metrics_(metrics),
      log_(std::move(log)),
      table_(max_requests) {}

void Router::start(const std::vector<scheduling::WorkerEntry>& cached_workers) {
  events_.post([&] {
    Actions first_actions;
    scheduler_.emplace(settings_, clock_.now(), first_actions);
    for (const Action& action : first_actions)
      carry_out(action);
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_endpoint_update(clock_.now(), scheduling::EndpointUpdateKind::Cached,
                                   cached_workers, actions);
    });
  });
}

void Router::apply_settings(const scheduling::Settings& settings) {
  events_.post([this, settings] {
    settings_ = settings;
    scheduler_->on_settings(settings);
  });
}

// ---- Events ----

Router::AdmissionResult Router::admit(NewRequest incoming,
                                      const std::function<void(RequestRef)>& on_admitted) {
  const scheduling::Request& request = incoming.request;
  if (table_.is_duplicate(request.id))
    return AdmissionResult::Duplicate;
  transport::Time expires_at = clock_.now() + request.timeout + request.transfer;
  std::optional<RequestRef> ref = table_.insert({.id = request.id,
                                                 .job_class = request.job_class,
                                                 .max_attempts = settings_.max_attempts,
                                                 .payload = std::move(incoming.payload),
                                                 .expires_at = expires_at,
                                                 .answered = false,
                                                 .attempts = {},
                                                 .deadline = {}});
  if (!ref) {
    count_rejected(request.job_class);
    return AdmissionResult::TableFull;
  }
  if (on_request_accepted_)
    on_request_accepted_(request.id);
  table_.find(*ref)->deadline =
      deadlines_.add(expires_at, [this, added = *ref] { on_deadline(added); });
  trace_.accepted(request.id);
  on_admitted(*ref);
  events_.post([this, request] {
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_request(clock_.now(), request, actions);
    });
  });
  return AdmissionResult::Admitted;
}

void Router::client_disconnected(RequestRef ref) {
  events_.post([this, ref] { drop_client(ref); });
}

void Router::attempt_ended(AttemptRef ref, Outcome outcome, const LoadReport& report, Reply reply) {
  events_.post([=, this, reply = std::move(reply)]() mutable {
    end_attempt(ref, outcome, report, std::move(reply));
  });
}

void Router::cancellation_confirmed(AttemptRef ref) {
  events_.post([this, ref] { end_attempt(ref, Outcome::Cancelled, {}, {}, EndSource::Worker); });
}

void Router::job_event_reported(WorkerJobEvent event) {
  events_.post([this, event = std::move(event)]() mutable { on_job_event(std::move(event)); });
}

void Router::health_check_ended(const std::string& worker, Outcome outcome,
                                const LoadReport& report) {
  events_.post([=, this] {
    trace_.health_checked(worker, outcome);
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_health_check_result(clock_.now(), worker, outcome, report, actions);
    });
  });
}

void Router::reply_broken(const std::string& worker, std::size_t job_class) {
  events_.post([=, this] {
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_reply_broken(clock_.now(), worker, job_class, actions);
    });
  });
}

void Router::on_endpoint_update(scheduling::EndpointUpdateKind kind,
                                const std::vector<scheduling::WorkerEntry>& entries) {
  // Capturing `entries` by reference is safe: updates come from sockets and timers, never from
  // inside another event, so this event runs before post() returns.
  events_.post([this, kind, &entries] {
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_endpoint_update(clock_.now(), kind, entries, actions);
    });
  });
}

void Router::on_load_gossip(const std::string& worker, int jobs) {
  events_.post([this, worker, jobs] {
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_load_gossip(clock_.now(), worker, jobs, actions);
    });
  });
}

// ---- Hot restart and shutdown ----

std::optional<Router::ReleasableRequest> Router::releasable(RequestRef ref) const {
  const OpenRequest* request = table_.find(ref);
  if (!request || request->answered || request->payload->upload || request->payload->reply)
    return std::nullopt;
  ReleasableRequest releasable{request->id, request->job_class, request->expires_at, {}};
  for (int i = 0; i < std::ssize(request->attempts); ++i) {
    if (!request->attempts[i].open)
      continue;
    if (!ports_.workers.is_accepted({ref, i}))
      return std::nullopt;
    releasable.workers.push_back(request->attempts[i].worker);
  }
  if (releasable.workers.empty())
    return std::nullopt;
  return releasable;
}

void Router::release(RequestRef ref) {
  events_.post([this, ref] {
    OpenRequest* request = table_.find(ref);
    if (!request || request->answered)
      return;
    scheduling::RequestId id = request->id;
    trace_.answered(id, "released");
    table_.mark_answered(*request);
    forget_open_attempts(ref, *request);
    run_scheduler([&](Scheduler& scheduler, Actions& actions) {
      scheduler.on_client_disconnected(clock_.now(), id, actions);
    });
    close_if_answered(ref);
    table_.make_external(id);
  });
}

void Router::fail_all() {
  events_.post([this] {
    for (RequestRef ref : table_.refs()) {
      const OpenRequest* request = table_.find(ref);
      if (!request || request->answered)
        continue;
      fail_or_reject(ref, *request);
      drop_client(ref);
    }
  });
}

// ---- Actions ----

void Router::carry_out(const Action& action) {
  switch (action.kind) {
    case ActionKind::Send:
      return send(action);
    case ActionKind::Reject:
    case ActionKind::Fail:
      return answer(action);
    case ActionKind::Cancel:
      return cancel(action);
    case ActionKind::HealthCheck:
      return ports_.workers.check_health(std::string(action.worker));
    case ActionKind::Watch:
      return ports_.discovery.watch();
    case ActionKind::SetTimer:
      return set_timer(action.at);
    case ActionKind::Log:
      return log_(action.text);
  }
}

void Router::set_timer(transport::Time at) {
  deadlines_.add(at, [this] {
    events_.post([this] {
      run_scheduler([&](Scheduler& scheduler, Actions& actions) {
        scheduler.on_timer(clock_.now(), actions);
      });
    });
  });
}

// ---- Answers ----

void Router::answer(const Action& action) {
  std::optional<RequestRef> ref = table_.find_id(action.id);
  OpenRequest* request = ref ? table_.find(*ref) : nullptr;
  if (!request || request->answered)
    return;
  table_.mark_answered(*request);
  // The scheduler fails a request if one of its attempts may run. If none has begun, the request is
  // rejected instead, so that the client may retry.
  bool rejected = action.kind == ActionKind::Reject || !may_have_run(*ref, *request);
  trace_.answered(action.id, rejected ? "rejected" : "failed");
  if (rejected) {
    reject(*ref, *request, action.retry_after);
  } else {
    fail(*ref, *request);
  }
  // Deferred: the scheduler's Cancel actions for these attempts follow in the same list of actions.
  events_.post([this, answered = *ref] { close_if_answered(answered); });
}

void Router::reject(RequestRef ref, const OpenRequest& request, Duration retry_after) {
  ++metrics_.for_class(request.job_class).throttled;
  ports_.clients.respond_with_rejection(ref, retry_after);
}

void Router::fail(RequestRef ref, const OpenRequest& request) {
  ++metrics_.for_class(request.job_class).faulted;
  ports_.clients.respond_with_failure(ref);
}

// Rejects the request if no attempt can have begun, otherwise fails it.
void Router::fail_or_reject(RequestRef ref, const OpenRequest& request) {
  if (may_have_run(ref, request)) {
    fail(ref, request);
  } else {
    reject(ref, request, Duration(0));
  }
}

void Router::drop_client(RequestRef ref) {
  OpenRequest* request = table_.find(ref);
  if (!request || request->answered)
    return;
  scheduling::RequestId id = request->id;
  trace_.answered(id, "disconnected");
  table_.mark_answered(*request);
  run_scheduler([&](Scheduler& scheduler, Actions& actions) {
    scheduler.on_client_disconnected(clock_.now(), id, actions);
  });
  close_if_answered(ref);
}

bool Router::may_have_run(RequestRef ref, const OpenRequest& request) const {
  for (int i = 0; i < std::ssize(request.attempts); ++i) {
    const Attempt& attempt = request.attempts[i];
    if (attempt.may_have_run || (attempt.open && ports_.workers.fully_sent({ref, i})))
      return true;
  }
  return false;
}

// Removes an answered request once none of its attempts is open. Attempts that are not fully sent
// are cancelled here, as they would start a job whose result is no longer needed. This applies even
// if the settings forbid cancelling running jobs.
void Router::close_if_answered(RequestRef ref) {
  OpenRequest* request = table_.find(ref);
  if (!request || !request->answered)
    return;
  for (int i = 0; i < std::ssize(request->attempts); ++i) {
    if (request->attempts[i].open && !ports_.workers.fully_sent({ref, i})) {
      ports_.workers.cancel({ref, i});
      return end_attempt({ref, i}, Outcome::NotSent, {}, {});  // calls close_if_answered() again
    }
  }
  if (request->has_open_attempt())
    return;
  deadlines_.disarm(request->deadline);
  table_.remove(ref);
}

}  // namespace dispatcher::routing

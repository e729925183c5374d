// The life cycle of an attempt: sending, job events, end and deadline.
#include <utility>

#include "routing/router.h"

namespace dispatcher::routing {

using scheduling::Action;
using scheduling::Duration;
using scheduling::LoadReport;
using scheduling::Outcome;
using scheduling::Scheduler;

namespace {

bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed ||
         outcome == Outcome::NotSent;
}

}  // namespace

void Router::send(const Action& action) {
  std::string worker(action.worker);
  std::optional<RequestRef> ref = table_.find_id(action.id);
  if (!ref) {
    return events_.post(
        [=, this, id = action.id] { report_not_sent(id, 0, /*final=*/true, worker); });
  }
  OpenRequest& request = *table_.find(*ref);
  int attempt = static_cast<int>(request.attempts.size());
  bool sent = may_send(request);
  request.attempts.push_back({.worker = worker, .open = sent, .may_report = sent});
  if (sent) {
    trace_.sent(action.id, attempt, worker);
    count_attempts(worker, 1);
    return ports_.workers.submit({*ref, attempt}, worker, request.payload, request.expires_at);
  }
  events_.post([=, this, id = action.id, final = request.answered] {
    report_not_sent(id, attempt, final, worker);
  });
}

bool Router::may_send(const OpenRequest& request) const {
  return !request.answered && clock_.now() < request.expires_at &&
         std::ssize(request.attempts) < request.max_attempts && !request.cannot_be_resent();
}

// Only starts the cancellation; the end of the attempt is reported by the worker port.
void Router::cancel(const Action& action) {
  std::optional<RequestRef> request = table_.find_id(action.id);
  if (!request || !table_.find(*request)->is_open(action.attempt))
    return;
  AttemptRef ref{*request, action.attempt};
  trace_.cancelling(action.id, action.attempt, table_.find(*request)->attempts[ref.attempt].worker,
                    submit_progress(ref));
  if (action.awaits_confirmation) {
    ports_.workers.cancel_and_confirm(ref);
  } else {
    ports_.workers.cancel(ref);
  }
}

SubmitProgress Router::submit_progress(AttemptRef ref) const {
  if (!ports_.workers.fully_sent(ref))
    return SubmitProgress::NotSent;
  return ports_.workers.is_accepted(ref) ? SubmitProgress::Accepted : SubmitProgress::Unanswered;
}

void Router::on_job_event(WorkerJobEvent event) {
  std::optional<RequestRef> ref = table_.find_id(event.id);
  std::optional<int> attempt;
  if (ref)
    attempt = table_.find(*ref)->open_attempt_at(event.worker);
  bool ends_job = !event.started && !event.progress;
  if (ends_job || !attempt) {
    trace_.job_event(event.id, attempt.value_or(RequestTrace::kNoAttempt), event.worker,
                     ends_job ? std::optional(event.outcome) : std::nullopt);
  }
  if (!attempt)
    return;  // ended or unknown: workers repeat events and may send them late
  OpenRequest& request = *table_.find(*ref);
  if (ends_job)
    return on_job_end({*ref, *attempt}, request, std::move(event));
  request.attempts[*attempt].may_have_run = true;
  if (event.started)
    trace_.started(event.id, *attempt, event.worker);
  auto kind =
      event.started ? scheduling::JobEventKind::Started : scheduling::JobEventKind::Progress;
  run_scheduler([&](Scheduler& scheduler, Actions& actions) {
    scheduler.on_job_event(clock_.now(), event.id, *attempt, event.worker, kind, actions);
  });
}

void Router::on_job_end(AttemptRef ref, const OpenRequest& request, WorkerJobEvent event) {
  if (!is_ambiguous_end(event, request, ref)) {
    ports_.workers.forget_attempt(ref);
    return end_attempt(ref, event.outcome, event.report, {std::move(event.result), {}, {}, {}},
                       EndSource::Worker);
  }
  if (request.cannot_be_resent())
    return;  // no further attempt is possible, and this one may still succeed
  run_scheduler([&](Scheduler& scheduler, Actions& actions) {
    scheduler.on_ambiguous_end(clock_.now(), request.id, ref.attempt, actions);
  });
}

// A job event does not name its attempt, and workers repeat an event until it is acknowledged. A
// success serves the request whichever attempt it belongs to; any other end may belong to an
// earlier attempt at the same worker while the latest one runs. An attempt that is not fully sent
// does not run, so the event cannot be ambiguous then.
bool Router::is_ambiguous_end(const WorkerJobEvent& event, const OpenRequest& request,
                              AttemptRef ref) const {
  return event.outcome != Outcome::Success && !request.answered &&
         request.has_earlier_attempt_that_may_report(ref.attempt) && ports_.workers.fully_sent(ref);
}

void Router::end_attempt(AttemptRef ref, Outcome outcome, const LoadReport& report, Reply reply,
                         EndSource source) {
  OpenRequest* request = table_.find(ref.request);
  bool open = request && request->is_open(ref.attempt);
  bool serves = open && outcome == Outcome::Success && !request->answered;
  if (reply.body_stream && !serves)
    reply.body_stream->abandon();  // it has no reader
  if (!open)
    return;
  Attempt& attempt = request->attempts[ref.attempt];
  attempt.open = false;
  attempt.may_have_run |= !proves_not_run(outcome);
  attempt.may_report = source == EndSource::Worker || !proves_not_run(outcome);
  count_attempts(attempt.worker, -1);
  trace_.ended(request->id, ref.attempt, attempt.worker, outcome);
  if (serves) {
    answer_served(ref.request, *request, std::move(reply));
  } else if (!request->answered && request->cannot_be_resent()) {
    answer_without_retry(ref.request, *request, outcome);
  }
  std::string worker = attempt.worker;  // copied: the request may be removed during the call
  report_attempt_end({.id = request->id,
                      .attempt = ref.attempt,
                      .final = request->answered,
                      .worker = worker,
                      .outcome = outcome,
                      .report = report,
                      .reported_by_worker = source == EndSource::Worker});
  close_if_answered(ref.request);
}

void Router::answer_served(RequestRef ref, OpenRequest& request, Reply reply) {
  trace_.answered(request.id, "served");
  table_.mark_answered(request);
  ++metrics_.for_class(request.job_class).fulfilled;
  ports_.clients.respond_with_reply(ref, std::move(reply));
}

// The upload cannot be sent again, so the request is answered without asking the scheduler, which
// would choose another worker. A job begins with the last byte of its upload: if the attempt ended
// before that, the request can be rejected, whatever its class.
void Router::answer_without_retry(RequestRef ref, OpenRequest& request, Outcome outcome) {
  bool not_begun = outcome == Outcome::ConnectFailed || outcome == Outcome::Rejected ||
                   (outcome == Outcome::Cancelled && request.has_unfinished_upload());
  table_.mark_answered(request);
  if (not_begun) {
    reject(ref, request, Duration(0));
  } else {
    fail(ref, request);
  }
}

void Router::report_attempt_end(const scheduling::AttemptEnd& end) {
  run_scheduler([&](Scheduler& scheduler, Actions& actions) {
    scheduler.on_attempt_end(clock_.now(), end, actions);
  });
}

void Router::report_not_sent(scheduling::RequestId id, int attempt, bool final,
                             const std::string& worker) {
  report_attempt_end({.id = id,
                      .attempt = attempt,
                      .final = final,
                      .worker = worker,
                      .outcome = Outcome::NotSent});
}

// After this, the scheduler's Cancel actions for these attempts have no effect.
void Router::forget_open_attempts(RequestRef ref, OpenRequest& request) {
  for (int i = 0; i < std::ssize(request.attempts); ++i) {
    Attempt& attempt = request.attempts[i];
    if (!std::exchange(attempt.open, false))
      continue;
    ports_.workers.forget_attempt({ref, i});
    count_attempts(attempt.worker, -1);
  }
}

// ---- The client's deadline ----

// Open attempts time out. Usually the scheduler then answers the request; if it does not, the
// client is answered here and the scheduler is told that the client has disconnected.
void Router::on_deadline(RequestRef ref) {
  events_.post([this, ref] {
    end_overdue_attempts(ref);
    events_.post([this, ref] { answer_overdue(ref); });
  });
}

void Router::end_overdue_attempts(RequestRef ref) {
  for (int i = 0;; ++i) {
    // Looked up each time: the end of an attempt may remove the request.
    const OpenRequest* request = table_.find(ref);
    if (!request || i >= std::ssize(request->attempts))
      return;
    if (request->attempts[i].open)
      end_overdue_attempt({ref, i}, *request);
  }
}

void Router::end_overdue_attempt(AttemptRef ref, const OpenRequest& request) {
  // An unfinished upload is no evidence against the worker.
  bool unfinished = request.has_unfinished_upload();
  bool begun = !unfinished && ports_.workers.fully_sent(ref);
  if (begun) {
    ports_.workers.forget_attempt(ref);
    return end_attempt(ref, Outcome::TimedOut, {}, {});
  }
  ports_.workers.cancel(ref);  // its connection could still be established
  end_attempt(ref, unfinished ? Outcome::Cancelled : Outcome::NotSent, {}, {});
}

void Router::answer_overdue(RequestRef ref) {
  const OpenRequest* request = table_.find(ref);
  if (!request || request->answered)
    return;
  log_("a request reached its deadline without an answer from the scheduler");
  fail_or_reject(ref, *request);
  drop_client(ref);
}

void Router::count_attempts(const std::string& worker, int change) {
  if (!ports_.gossip)
    return;
  int& count = open_attempts_[worker];
  count += change;
  ports_.gossip->announce(worker, count);
  if (count == 0)
    open_attempts_.erase(worker);
}

}  // namespace dispatcher::routing

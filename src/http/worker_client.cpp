#include "http/worker_client.h"

namespace dispatcher::http {

using routing::AttemptRef;
using scheduling::Outcome;
using transport::SlotRef;

namespace {

// wire: answers to DELETE /jobs/ID. 404: the worker does not have the job any more.
bool confirms_cancellation(int status) {
  return status / 100 == 2 || status == 404;
}

bool is_reply_head(const protocol::Message& head) {
  return head.status == 200;
}

}  // namespace

void WorkerClient::update(const protocol::EndpointUpdate& update) {
  if (update.is_snapshot) {
    for (auto& [uid, worker] : workers_)
      worker.removed = true;
  }
  for (const protocol::WorkerEndpoint& endpoint : update.entries)
    update_worker(endpoint);
  erase_removed_workers();
}

void WorkerClient::update_worker(const protocol::WorkerEndpoint& endpoint) {
  Worker& worker = workers_[endpoint.uid];
  worker.removed = endpoint.entry.readiness == scheduling::Readiness::Removed;
  bool moved = !endpoint.address.empty() && endpoint.address != worker.address;
  bool replaced = moved || endpoint.entry.online_since != worker.online_since;
  // Connections to a replaced process are dead, even if its host has not closed them.
  if (replaced)
    idle_.close_all(endpoint.uid);
  if (replaced || endpoint.entry.readiness != scheduling::Readiness::Ready)
    worker.recall_pending = true;
  if (moved)
    worker.address = endpoint.address;
  worker.online_since = endpoint.entry.online_since;
}

void WorkerClient::erase_removed_workers() {
  for (auto it = workers_.begin(); it != workers_.end();) {
    auto& [uid, worker] = *it;
    if (worker.removed) {
      worker.recall_pending = true;
      idle_.close_all(uid);
    }
    it = worker.removed && worker.attempts == 0 ? workers_.erase(it) : std::next(it);
  }
}

// A connection may be established long after the scheduler chose the worker, which may be draining
// or warming up by then.
void WorkerClient::recall_unsent_attempts() {
  std::vector<AttemptRef> recalled;
  for (const auto& [connection, call] : calls_) {
    if (call.attempt && call.payload && workers_.at(call.worker).recall_pending)
      recalled.push_back(*call.attempt);
  }
  for (auto& [uid, worker] : workers_)
    worker.recall_pending = false;
  for (AttemptRef attempt : recalled) {
    if (!attempts_.contains(attempt))
      continue;  // ended as a consequence of an earlier one
    abandon_attempt(attempt);
    router_->attempt_ended(attempt, Outcome::NotSent, {});
  }
}

void WorkerClient::submit(AttemptRef attempt, const std::string& worker,
                          std::shared_ptr<const routing::RequestPayload> payload,
                          scheduling::Time deadline) {
  auto it = workers_.find(worker);
  if (it == workers_.end())
    return router_->attempt_ended(attempt, Outcome::ConnectFailed, {});
  const auto& http_payload = static_cast<const HttpRequestPayload&>(*payload);
  std::shared_ptr<streaming::Pipe> upload = payload->upload;
  if (upload && !upload->rewind())
    return router_->attempt_ended(attempt, Outcome::ConnectFailed, {});
  ++it->second.attempts;
  attempts_[attempt] = {worker, http_payload.request.id, std::nullopt};
  Call call(CallKind::Submit, worker);
  call.attempt = attempt;
  call.reply = payload->reply;
  call.job_class = http_payload.request.request.job_class;
  call.payload = payload;
  call.deadline = deadline;
  if (streaming_)
    call.parser.enable_streaming(is_reply_head, streaming_->max_body_bytes);
  if (upload)
    call.transfer = upload_transfer(http_payload);
  if (start_call(std::move(call), {})) {
    if (upload)
      upload->start();
    return;
  }
  remove_attempt(attempt);
  router_->attempt_ended(attempt, Outcome::ConnectFailed, {});
}

void WorkerClient::check_health(const std::string& worker) {
  auto it = workers_.find(worker);
  bool started = false;
  if (it != workers_.end()) {
    std::string bytes =
        protocol::write_health_check(options_.asks_load_reports, it->second.address);
    started = start_call(Call(CallKind::HealthCheck, worker), std::move(bytes));
  }
  if (!started)
    router_->health_check_ended(worker, Outcome::ConnectFailed, {});
}

// Until the worker has accepted the attempt, closing the connection cancels it; after that, a
// cancellation call does. Unread input is read first, as it may be the 202: the next loop turn
// serves sockets before deadlines. If only a part of the answer has arrived, the connection is
// closed and a cancellation is sent.
void WorkerClient::cancel(AttemptRef attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return;
  ActiveAttempt& active = it->second;
  if (active.connection) {
    bool may_run = fully_sent(attempt);
    if (may_run && platform_.network.has_unread(*active.connection)) {
      platform_.deadlines.disarm(active.next_cancellation);
      active.next_cancellation =
          platform_.deadlines.add(platform_.clock.now(), [this, attempt] { cancel(attempt); });
      return;
    }
    if (!may_run || calls_.at(*active.connection).parser.idle()) {
      abandon_attempt(attempt);
      Outcome outcome = may_run ? Outcome::Cancelled : Outcome::NotSent;
      return router_->attempt_ended(attempt, outcome, {});
    }
    close_call(*std::exchange(active.connection, std::nullopt));
  }
  if (!std::exchange(active.cancelled, true))
    send_cancellation(attempt);
}

// If the submit has not been answered yet, the answer is awaited: closing the connection before it
// would leave unknown what the worker has read.
void WorkerClient::cancel_and_confirm(AttemptRef attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.cancelled)
    return;
  it->second.awaits_confirmation = true;
  if (!it->second.connection)
    on_accepted(attempt);
}

// The worker has the job and will send its events. Sends the cancellation if one was waiting for
// the job to be accepted.
void WorkerClient::on_accepted(AttemptRef attempt) {
  ActiveAttempt& active = attempts_.at(attempt);
  active.connection.reset();
  if (active.awaits_confirmation && !std::exchange(active.cancelled, true))
    send_cancellation(attempt);
}

void WorkerClient::abandon_attempt(AttemptRef attempt) {
  close_call(*remove_attempt(attempt)->connection);
}

// Repeated until the cancellation has been written or the attempt has ended: until then no other
// attempt of the request may be sent to this worker.
void WorkerClient::send_cancellation(AttemptRef attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return;
  it->second.next_cancellation = {};
  Call call(CallKind::Cancel, it->second.worker);
  call.cancelled_attempt = attempt;
  const std::string& address = workers_.at(it->second.worker).address;
  if (!start_call(std::move(call), protocol::write_cancellation(it->second.id, address)))
    schedule_cancellation(attempt);
}

void WorkerClient::schedule_cancellation(AttemptRef attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return;
  it->second.next_cancellation =
      platform_.deadlines.add(platform_.clock.now() + options_.call_timeout,
                              [this, attempt] { send_cancellation(attempt); });
}

void WorkerClient::on_cancellation_written(Call& call) {
  if (!call.cancelled_attempt)
    return;
  call.cancellation_written = true;
  auto it = attempts_.find(*call.cancelled_attempt);
  if (it != attempts_.end() && it->second.awaits_confirmation)
    return;
  AttemptRef attempt = *std::exchange(call.cancelled_attempt, std::nullopt);
  if (remove_attempt(attempt))
    router_->attempt_ended(attempt, Outcome::Cancelled, {});
}

void WorkerClient::on_cancellation_answered(Call& call, int status) {
  on_cancellation_written(call);
  if (!call.cancelled_attempt || !remove_attempt(*call.cancelled_attempt))
    return;
  if (confirms_cancellation(status)) {
    router_->cancellation_confirmed(*call.cancelled_attempt);
  } else {
    router_->attempt_ended(*call.cancelled_attempt, Outcome::Cancelled, {});
  }
}

// A cancellation that was written completely is assumed to have cancelled the attempt.
void WorkerClient::on_cancellation_failed(const Call& call) {
  if (!call.cancellation_written)
    return schedule_cancellation(*call.cancelled_attempt);
  if (remove_attempt(*call.cancelled_attempt))
    router_->attempt_ended(*call.cancelled_attempt, Outcome::Cancelled, {});
}

void WorkerClient::cancel_job(const std::string& worker, const std::string& id) {
  auto it = workers_.find(worker);
  if (it == workers_.end())
    return;
  start_call(Call(CallKind::Cancel, worker), protocol::write_cancellation(id, it->second.address));
}

bool WorkerClient::is_accepted(AttemptRef attempt) const {
  auto it = attempts_.find(attempt);
  return it != attempts_.end() && !it->second.connection && !it->second.cancelled;
}

bool WorkerClient::fully_sent(AttemptRef attempt) const {
  auto it = attempts_.find(attempt);
  return it == attempts_.end() || !it->second.connection ||
         fully_sent(calls_.at(*it->second.connection));
}

void WorkerClient::forget_attempt(AttemptRef attempt) {
  // The event that ended the attempt belonged to an earlier one at the same worker.
  if (!fully_sent(attempt))
    return abandon_attempt(attempt);
  std::optional<ActiveAttempt> active = remove_attempt(attempt);
  if (!active || !active->connection)
    return;
  // A job event can arrive before the 202. The call continues without its attempt, so that the
  // connection can be reused, with the timeout of other calls.
  SlotRef connection = *active->connection;
  Call& call = calls_.at(connection);
  call.attempt.reset();
  call.answer_deadline = end_call_after(connection, options_.call_timeout, Outcome::TimedOut);
}

std::optional<WorkerClient::ActiveAttempt> WorkerClient::remove_attempt(AttemptRef attempt) {
  auto it = attempts_.find(attempt);
  if (it == attempts_.end())
    return std::nullopt;
  ActiveAttempt active = std::move(it->second);
  attempts_.erase(it);
  platform_.deadlines.disarm(active.next_cancellation);
  if (auto worker = workers_.find(active.worker); worker != workers_.end())
    --worker->second.attempts;
  return active;
}

}  // namespace dispatcher::http

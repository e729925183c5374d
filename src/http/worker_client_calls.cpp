// Calls to workers and the connections that carry them.
#include "http/worker_client.h"

namespace dispatcher::http {

using protocol::Message;
using scheduling::Outcome;
using transport::SlotRef;

namespace {

// How long the last byte of a submit is held back after its connection is established: a worker
// that resets new connections does so within this time.
constexpr transport::Duration kLastByteDelay{3};

}  // namespace

WorkerClient::Call* WorkerClient::find(SlotRef connection) {
  auto it = calls_.find(connection);
  return it == calls_.end() ? nullptr : &it->second;
}

// A submit always opens a new connection. If that fails, the job certainly has not begun; bytes
// written to a reused connection that has been closed would be lost without such proof.
bool WorkerClient::start_call(Call call, std::string bytes) {
  std::optional<SlotRef> connection;
  if (call.kind != CallKind::Submit)
    connection = idle_.take(call.worker);
  if (connection) {
    call.repeatable_bytes = bytes;
  } else {
    connection = open_connection(call.worker, workers_.at(call.worker).address);
    if (!connection)
      return false;
    call.connect_deadline =
        end_call_after(*connection, options_.connection_timeout, Outcome::ConnectFailed);
  }
  // The scheduler times attempts out; all other calls time out here.
  if (call.kind != CallKind::Submit)
    call.answer_deadline = end_call_after(*connection, options_.call_timeout, Outcome::TimedOut);
  if (call.attempt)
    attempts_.at(*call.attempt).connection = connection;
  Call& started = calls_.emplace(*connection, std::move(call)).first->second;
  if (started.kind == CallKind::Submit)
    return true;  // send_submit() follows once the connection is established
  platform_.network.send(*connection, std::move(bytes));
  on_call_written(*connection, started);
  return true;
}

// Closes an idle connection if no descriptor is available.
std::optional<SlotRef> WorkerClient::open_connection(const std::string& worker,
                                                     const std::string& address) {
  auto connect = [&] {
    return platform_.network.connect(address, *this, transport::Urgency::Normal);
  };
  std::optional<SlotRef> connection = connect();
  if (!connection && idle_.close_any())
    connection = connect();
  if (!connection)
    platform_.log.line("worker", worker + ": cannot connect to " + address);
  return connection;
}

transport::Deadlines::Handle WorkerClient::end_call_after(SlotRef connection,
                                                          transport::Duration timeout,
                                                          Outcome outcome) {
  return platform_.deadlines.add(platform_.clock.now() + timeout,
                                 [this, connection, outcome] { end_call(connection, outcome); });
}

// Called only once the connection is established, so that the worker learns the time left at that
// moment. The last byte of the message, or of its relayed body, is held back: a worker begins the
// job only when it has that byte, so a reset before it proves that the job has not begun.
void WorkerClient::send_submit(SlotRef connection, Call& call) {
  const auto& payload = static_cast<const HttpRequestPayload&>(*call.payload);
  const std::string& address = workers_.at(call.worker).address;
  scheduling::Duration left = call.deadline - platform_.clock.now() - kLastByteDelay;
  std::string bytes;
  if (call.transfer) {
    bytes = protocol::write_submit_head(payload.request, address, left, payload.length);
  } else {
    bytes = protocol::write_submit(payload.request, address, left);
    call.held_back_byte = bytes.back();
    bytes.pop_back();
  }
  call.payload.reset();
  platform_.network.send(connection, std::move(bytes));
}

void WorkerClient::on_connected(SlotRef connection) {
  Call* call = find(connection);
  if (!call)
    return;
  platform_.deadlines.disarm(call->connect_deadline);
  if (call->kind != CallKind::Submit)
    return on_call_written(connection, *call);
  send_submit(connection, *call);
  schedule_last_byte(connection, *call, kLastByteDelay);
  begin_upload(connection);
}

void WorkerClient::schedule_last_byte(SlotRef connection, Call& call, transport::Duration delay) {
  call.last_byte_delay = platform_.deadlines.add(
      platform_.clock.now() + delay, [this, connection] { release_last_byte(connection); });
}

void WorkerClient::release_last_byte(SlotRef connection) {
  Call* call = find(connection);
  if (!call)
    return;
  call->last_byte_delay = {};
  if (call->transfer) {
    call->transfer->last_byte_allowed = true;
    return send_upload(connection);
  }
  // The worker may have closed the connection. The next loop turn detects that first, as it serves
  // sockets before deadlines.
  if (platform_.network.has_unread(connection))
    return schedule_last_byte(connection, *call, transport::Duration(0));
  platform_.network.send(connection, std::exchange(call->held_back_byte, {}));
  on_call_written(connection, *call);
}

bool WorkerClient::fully_sent(const Call& call) const {
  bool upload_sent = !call.transfer || !call.transfer->upload || call.transfer->upload_sent;
  return !call.payload && call.held_back_byte.empty() && upload_sent;
}

void WorkerClient::on_call_written(SlotRef connection, Call& call) {
  if (call.connect_deadline.is_set() || platform_.network.unsent_bytes(connection) > 0)
    return;
  if (call.kind == CallKind::Cancel)
    return on_cancellation_written(call);
  if (call.kind == CallKind::Submit && !call.counted_as_sent && fully_sent(call)) {
    call.counted_as_sent = true;
    ++platform_.metrics.relayed;
  }
}

void WorkerClient::on_bytes(SlotRef connection, std::string_view bytes) {
  Call* call = find(connection);
  if (!call) {  // input without a call: the connection must not be reused
    idle_.remove(connection);
    platform_.network.close(connection);
    return;
  }
  if (call->transfer && call->transfer->reply)
    return on_reply_bytes(connection, bytes);
  call->parser.feed(bytes);
  try {
    while (std::optional<Message> message = call->parser.next()) {
      if (message->streamed)
        return begin_reply(connection, *message);
      if (message->status / 100 != 1)
        return on_answer(connection, *message);
    }
  } catch (const protocol::HttpError& error) {
    platform_.log.line("worker", call->worker + ": malformed answer: " + error.what());
    return end_call(connection, Outcome::Failure);
  }
  send_upload(connection);  // its last byte may have waited until this input was read
}

void WorkerClient::on_answer(SlotRef connection, const Message& message) {
  Call& answered = calls_.at(connection);
  bool upload_complete = !answered.transfer || !answered.transfer->upload;
  // An accepted job still gets the rest of its upload; any other answer ends the call and closes
  // the connection.
  if (!upload_complete && message.status == 202 && answered.attempt) {
    answered.accepted_early = true;
    answered.keep_connection = message.keep_alive;
    return send_upload(connection);
  }
  Call call = std::move(answered);
  drop_transfer(call);
  drop_call(connection);
  bool reusable =
      upload_complete && message.keep_alive && call.parser.idle() && call.held_back_byte.empty();
  reuse_or_close(connection, call.worker, reusable);
  if (call.kind == CallKind::HealthCheck) {
    auto answer = protocol::parse_health_check_response(message, platform_.identifier_tables);
    return router_->health_check_ended(call.worker, *answer.end, answer.report);
  }
  on_cancellation_answered(call, message.status);
  if (call.attempt)
    on_submit_answer(call, message);
}

void WorkerClient::on_submit_answer(const Call& call, const Message& message) {
  auto answer =
      protocol::parse_submit_response(message, platform_.identifier_tables, streaming_.has_value());
  // A job whose last byte is still held back has not begun, whatever the answer says.
  if (!call.held_back_byte.empty() && answer.end != Outcome::Rejected) {
    platform_.log.line("worker", call.worker + ": answered before it had the whole request");
    answer.end = Outcome::ConnectFailed;
  }
  if (!answer.end)
    return on_accepted(*call.attempt);
  remove_attempt(*call.attempt);
  routing::Reply reply;
  if (answer.end == Outcome::Success) {
    reply.fields = protocol::select_content_headers(message.headers);
    reply.body = message.body;
  }
  router_->attempt_ended(*call.attempt, *answer.end, answer.report, std::move(reply));
}

// A connection that closes before the last byte has been written proves that the job has not begun.
void WorkerClient::on_closed(SlotRef connection, bool all_written) {
  Call* closed = find(connection);
  if (!closed)
    return idle_.remove(connection);
  if (Transfer* transfer = closed->transfer.get(); transfer && transfer->reply) {
    transfer->reply_reader.on_connection_closed();
    closed->keep_connection = false;
    return transfer->reply_reader.done() ? end_reply(connection) : abort_reply(connection);
  }
  if (std::optional<Message> last = closed->parser.next_at_close())
    return on_answer(connection, *last);
  Call call = std::move(*closed);
  drop_call(connection);
  // A reused connection may have been closed before the call was made.
  if (!call.repeatable_bytes.empty() && workers_.contains(call.worker)) {
    if (!repeat_call(call))
      report_outcome(call, Outcome::ConnectFailed);
    return;
  }
  bool may_run = all_written && fully_sent(call);
  drop_transfer(call);
  report_outcome(call, may_run ? Outcome::ConnectionReset : Outcome::ConnectFailed);
}

bool WorkerClient::repeat_call(const Call& call) {
  idle_.close_all(call.worker);
  Call repeated(call.kind, call.worker);
  repeated.cancelled_attempt = call.cancelled_attempt;
  return start_call(std::move(repeated), call.repeatable_bytes);
}

// Ends a call that has no answer. After a timeout the worker's host may be gone: bytes written to
// open connections would be lost without proof that the job has not begun, whereas a failed attempt
// to open a new connection is such proof.
void WorkerClient::end_call(SlotRef connection, Outcome outcome) {
  auto it = calls_.find(connection);
  if (it == calls_.end())
    return;
  Call call = std::move(it->second);
  bool relays_body = call.transfer != nullptr;
  drop_transfer(call);
  drop_call(connection);
  close_connection(connection, relays_body);
  if (outcome == Outcome::TimedOut || outcome == Outcome::ConnectFailed)
    idle_.close_all(call.worker);
  report_outcome(call, outcome);
}

void WorkerClient::report_outcome(const Call& call, Outcome outcome) {
  if (call.kind == CallKind::HealthCheck)
    return router_->health_check_ended(call.worker, outcome, {});
  if (call.cancelled_attempt)
    on_cancellation_failed(call);
  if (!call.attempt)
    return;
  remove_attempt(*call.attempt);
  router_->attempt_ended(*call.attempt, outcome, {});
}

void WorkerClient::close_call(SlotRef connection) {
  bool relays_body = calls_.at(connection).transfer != nullptr;
  drop_call(connection);
  close_connection(connection, relays_body);
}

// A relayed body is aborted with a reset: after a close, megabytes of it could still be in flight.
void WorkerClient::close_connection(SlotRef connection, bool relays_body) {
  if (relays_body) {
    platform_.network.reset(connection);
  } else {
    platform_.network.close(connection);
  }
}

void WorkerClient::drop_call(SlotRef connection) {
  auto it = calls_.find(connection);
  if (it == calls_.end())
    return;
  Call& call = it->second;
  drop_transfer(call);
  platform_.deadlines.disarm(call.connect_deadline);
  platform_.deadlines.disarm(call.last_byte_delay);
  platform_.deadlines.disarm(call.answer_deadline);
  calls_.erase(it);
}

void WorkerClient::reuse_or_close(SlotRef connection, const std::string& worker, bool reusable) {
  auto it = workers_.find(worker);
  if (!reusable || it == workers_.end() || it->second.removed)
    return platform_.network.close(connection);
  idle_.add(worker, connection, options_.idle_lifetime);
}

}  // namespace dispatcher::http

// Relayed bodies on the worker's side: the worker is the upload's sink and the reply's source.
#include "http/worker_client.h"

namespace dispatcher::http {

using protocol::Framing;
using protocol::Message;
using routing::AttemptRef;
using scheduling::Outcome;
using transport::SlotRef;

// The body is taken from the pipe only once the connection is established.
std::unique_ptr<WorkerClient::Transfer> WorkerClient::upload_transfer(
    const HttpRequestPayload& payload) const {
  auto transfer = std::make_unique<Transfer>();
  transfer->upload.emplace(payload.upload, payload.length ? Framing::Length : Framing::Chunked);
  if (payload.length)
    transfer->upload->hold_back_last_byte(*payload.length);
  return transfer;
}

void WorkerClient::begin_upload(SlotRef connection) {
  Call* call = find(connection);
  if (!call || !call->transfer || !call->transfer->upload)
    return;
  Transfer& transfer = *call->transfer;
  transfer.connected = true;
  transfer.upload->pipe()->on_data = [this, connection] {
    send_upload(connection);
  };
  schedule_stall_check(connection, transfer);
  send_upload(connection);
}

void WorkerClient::send_upload(SlotRef connection) {
  Call* call = find(connection);
  if (!call || !call->transfer || !call->transfer->upload || !call->transfer->connected)
    return;
  transport::Network& network = platform_.network;
  Transfer& transfer = *call->transfer;
  transfer.upload->send_available(network, connection);
  // The last byte starts the job. Unread input is read first: the worker may have closed the
  // connection, and the byte would be lost without proof that the job has not begun.
  bool may_send_last_byte = transfer.last_byte_allowed && transfer.upload->only_last_byte_left();
  if (!transfer.upload_sent && may_send_last_byte && !network.has_unread(connection)) {
    transfer.upload->release_last_byte();
    transfer.upload->send_available(network, connection);
    transfer.upload_sent = true;
    network.send(connection, transfer.upload->terminator());
  }
  bool unsent = network.unsent_bytes(connection) > 0;
  transfer.upload_stall.set_waiting(platform_.clock.now(), unsent);
  if (!transfer.upload_sent || unsent)
    return;
  on_call_written(connection, *call);
  transfer.upload->pipe()->on_data = nullptr;
  transfer.upload.reset();
  network.set_bulk(connection, false);
  if (call->accepted_early)
    finish_early_accepted(connection);
}

// Ends the call of a job that the worker accepted before its upload was complete, now that the
// upload has been sent. Job events follow.
void WorkerClient::finish_early_accepted(SlotRef connection) {
  Call call = std::move(calls_.at(connection));
  drop_call(connection);
  reuse_or_close(connection, call.worker, call.keep_connection);
  if (call.attempt)
    on_accepted(*call.attempt);
}

// The attempt ends as served with the head of the reply. If the body fails later, the response to
// the client is aborted.
void WorkerClient::begin_reply(SlotRef connection, const Message& head) {
  Call& call = calls_.at(connection);
  std::optional<AttemptRef> attempt = std::exchange(call.attempt, std::nullopt);
  if (!attempt || !call.reply || call.reply->abandoned())
    return decline_reply(connection, attempt);
  remove_attempt(*attempt);
  auto answer = protocol::parse_submit_response(head, platform_.identifier_tables, true);
  Transfer& transfer = begin_reply_transfer(connection, head);
  routing::Reply reply;
  reply.fields = protocol::select_content_headers(head.headers);
  if (transfer.reply_reader.framing() == Framing::Length)
    reply.length = transfer.reply_reader.length();
  reply.body_stream = transfer.reply;
  if (transfer.reply_reader.done()) {
    end_reply(connection);
  } else {
    transfer.reply->on_capacity = [this, connection] {
      permit_reply_reading(connection);
    };
    permit_reply_reading(connection);
  }
  router_->attempt_ended(*attempt, *answer.end, answer.report, std::move(reply));
}

// The reply is not wanted any more.
void WorkerClient::decline_reply(SlotRef connection, std::optional<AttemptRef> attempt) {
  if (attempt) {
    remove_attempt(*attempt);
    router_->attempt_ended(*attempt, Outcome::Cancelled, {});
  }
  drop_call(connection);
  platform_.network.reset(connection);
}

WorkerClient::Transfer& WorkerClient::begin_reply_transfer(SlotRef connection,
                                                           const Message& head) {
  Call& call = calls_.at(connection);
  if (!call.transfer)
    call.transfer = std::make_unique<Transfer>();
  Transfer& transfer = *call.transfer;
  // A worker that replies before it has the whole upload does not get the rest, and the connection
  // is not reused.
  call.keep_connection =
      head.keep_alive && (!transfer.upload || transfer.upload_sent) && call.held_back_byte.empty();
  if (transfer.upload) {
    transfer.upload->pipe()->on_data = nullptr;
    transfer.upload->pipe()->abandon();
    transfer.upload.reset();
  }
  platform_.deadlines.disarm(call.connect_deadline);
  platform_.deadlines.disarm(call.last_byte_delay);
  platform_.deadlines.disarm(call.answer_deadline);
  transfer.reply = call.reply;
  transfer.reply_reader = call.parser.take_body_reader();
  if (!transfer.stall_check.is_set())
    schedule_stall_check(connection, transfer);
  transfer.reply->append(head.body);
  return transfer;
}

// Permits reading as much of the reply as the pipe has capacity for; the rest stays in the socket.
void WorkerClient::permit_reply_reading(SlotRef connection) {
  Call* call = find(connection);
  if (!call || !call->transfer || !call->transfer->reply)
    return;
  Transfer& transfer = *call->transfer;
  if (transfer.reply->abandoned()) {
    drop_call(connection);
    return platform_.network.reset(connection);
  }
  std::size_t capacity = transfer.reply->capacity();
  platform_.network.permit_reading(connection, capacity);
  transfer.reply_stall.set_waiting(platform_.clock.now(), capacity > 0);
}

void WorkerClient::on_reply_bytes(SlotRef connection, std::string_view bytes) {
  Call& call = calls_.at(connection);
  Transfer& transfer = *call.transfer;
  // Keeps the pipe alive, as its callbacks below may end the call.
  std::shared_ptr<streaming::Pipe> reply = transfer.reply;
  transfer.reply_stall.record_progress(platform_.clock.now());
  std::size_t used = 0;
  try {
    auto append = [&](std::string_view body) {
      reply->append(body);
    };
    used = transfer.reply_reader.read(bytes, append);
    if (reply->appended_bytes() > kBulkThresholdBytes)
      platform_.network.set_bulk(connection, true);
  } catch (const protocol::HttpError& error) {
    platform_.log.line("worker", call.worker + ": malformed reply: " + error.what());
    return abort_reply(connection);
  }
  Call* open = find(connection);
  if (!open)
    return;
  if (!open->transfer->reply_reader.done())
    return permit_reply_reading(connection);
  if (used < bytes.size())
    open->keep_connection = false;
  end_reply(connection);
}

void WorkerClient::end_reply(SlotRef connection) {
  Call call = std::move(calls_.at(connection));
  std::shared_ptr<streaming::Pipe> reply = call.transfer->reply;
  drop_transfer(call);
  drop_call(connection);
  platform_.network.set_bulk(connection, false);
  platform_.network.pause_reading(connection, false);
  reuse_or_close(connection, call.worker, call.keep_connection);
  reply->finish();
}

// Reported as the worker's failure, unless the reply has been abandoned.
void WorkerClient::abort_reply(SlotRef connection) {
  const Call& call = calls_.at(connection);
  std::shared_ptr<streaming::Pipe> reply = call.transfer->reply;
  if (!reply->abandoned())
    router_->reply_broken(call.worker, call.job_class);
  drop_call(connection);
  platform_.network.reset(connection);
  reply->abort();
}

void WorkerClient::on_written(SlotRef connection) {
  Call* call = find(connection);
  if (!call)
    return;
  if (!call->transfer)
    return on_call_written(connection, *call);
  call->transfer->upload_stall.record_progress(platform_.clock.now());
  send_upload(connection);
}

// One periodic check covers both directions: moving a deadline with each piece of a body would cost
// more than relaying the piece.
void WorkerClient::schedule_stall_check(SlotRef connection, Transfer& transfer) {
  auto check = [this, connection] {
    Call* call = find(connection);
    if (!call || !call->transfer)
      return;
    Transfer& checked = *call->transfer;
    checked.stall_check = {};
    transport::Time now = platform_.clock.now();
    if (checked.reply_stall.is_stalled(now, streaming_->stall_timeout)) {
      platform_.log.line("stream", call->worker + ": its reply stalled");
      return abort_reply(connection);
    }
    if (checked.upload_stall.is_stalled(now, streaming_->stall_timeout)) {
      platform_.log.line("stream", call->worker + ": stopped reading an upload");
      return end_call(connection, Outcome::ConnectFailed);  // the job has not begun
    }
    schedule_stall_check(connection, checked);
  };
  transport::Time next_check = platform_.clock.now() + streaming_->stall_timeout / 4;
  transfer.stall_check = platform_.deadlines.add(next_check, std::move(check));
}

void WorkerClient::drop_transfer(Call& call) {
  if (!call.transfer)
    return;
  platform_.deadlines.disarm(call.transfer->stall_check);
  if (call.transfer->upload)
    call.transfer->upload->pipe()->on_data = nullptr;
  if (call.transfer->reply)
    call.transfer->reply->on_capacity = nullptr;
  call.transfer.reset();
}

}  // namespace dispatcher::http

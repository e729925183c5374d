// Relayed bodies on the client's side: the client is the upload's source and the reply's sink.
#include "http/client_server.h"

namespace dispatcher::http {

using protocol::Framing;
using protocol::Headers;
using protocol::Message;
using transport::SlotRef;

// Reserves memory for the reply, and for the upload if there is one, before the request is
// scheduled, so that a body in transfer never waits for memory that another body holds.
bool ClientServer::open_pipes(HttpRequestPayload& payload, bool has_upload) {
  if (!streaming_)
    return true;
  streaming::MemoryBudget& budget = *streaming_->budget;
  if (!budget.can_reserve(has_upload ? 2 : 1))
    return false;
  if (has_upload)
    payload.upload = std::make_shared<streaming::Pipe>(*budget.reserve(), streaming_->replay_bytes);
  payload.reply = std::make_shared<streaming::Pipe>(*budget.reserve());
  return true;
}

// The scheduler assumes at most the timeout of the class; the time beyond that is reserved for the
// transfer of the body.
void ClientServer::split_timeout(scheduling::Request& request) const {
  scheduling::Duration left = std::min(request.timeout, streaming_->max_timeout);
  request.streamed = true;
  request.timeout = std::min(left, platform_.identifier_tables.deadlines[request.job_class]);
  request.transfer = left - request.timeout;
}

// `message`: the head of the request and the part of the body received with it.
void ClientServer::begin_upload(SlotRef connection, Session& session,
                                std::shared_ptr<streaming::Pipe> upload, const Message& message) {
  session.transfer = std::make_unique<Transfer>();
  Transfer& transfer = *session.transfer;
  transfer.upload_reader = session.parser.take_body_reader();
  bool expects = protocol::header_names_equal(message.header("Expect"), "100-continue");
  transfer.awaits_continue = expects && !transfer.upload_reader.done();
  transfer.upload = std::move(upload);
  transfer.upload->append(message.body);
  transfer.upload->on_capacity = [this, connection] {
    permit_upload_reading(connection);
  };
  schedule_stall_check(connection, transfer);
  if (transfer.upload_reader.done()) {
    transfer.upload->finish();
  } else {
    permit_upload_reading(connection);
  }
}

// Permits reading as much of the upload as the pipe has capacity for; the rest stays in the socket.
void ClientServer::permit_upload_reading(SlotRef connection) {
  Session* session = find(connection);
  if (!session || !session->transfer)
    return;
  Transfer& transfer = *session->transfer;
  if (!transfer.upload || transfer.upload_reader.done())
    return;
  if (transfer.awaits_continue && transfer.upload->started()) {
    transfer.awaits_continue = false;
    platform_.network.send(connection, protocol::write_response(100, {}, {}, true));
  }
  std::size_t capacity = transfer.upload->capacity();
  platform_.network.permit_reading(connection, capacity);
  transfer.upload_stall.set_waiting(platform_.clock.now(),
                                    capacity > 0 && !transfer.awaits_continue);
}

void ClientServer::on_upload_bytes(SlotRef connection, Session& session, std::string_view bytes) {
  Transfer& transfer = *session.transfer;
  // Keeps the pipe alive, as its callbacks below may end the transfer.
  std::shared_ptr<streaming::Pipe> upload = transfer.upload;
  std::size_t used = 0;
  transfer.upload_stall.record_progress(platform_.clock.now());
  try {
    auto append = [&](std::string_view body) {
      upload->append(body);
    };
    used = transfer.upload_reader.read(bytes, append);
    if (upload->appended_bytes() > kBulkThresholdBytes)
      platform_.network.set_bulk(connection, true);
  } catch (const protocol::HttpError& error) {
    return abort_upload(connection, error.status, error.what());
  }
  Session* open = find(connection);
  if (!open || !open->transfer || !open->transfer->upload)
    return;
  if (!open->transfer->upload_reader.done())
    return permit_upload_reading(connection);
  open->transfer->upload_stall.set_waiting(platform_.clock.now(), false);
  feed_parser(*open, bytes.substr(used));
  pause_reading(connection, *open, false);
  platform_.network.pause_reading(connection, false);
  upload->finish();
}

// The upload is malformed or stalled, so its job cannot have begun. The attempt is cancelled before
// the response is sent, which frees the memory and informs the worker.
void ClientServer::abort_upload(SlotRef connection, int status, const std::string& reason) {
  Session* session = find(connection);
  if (!session)
    return;
  std::optional<routing::RequestRef> request = std::exchange(session->open_request, std::nullopt);
  if (request) {
    connection_of_.erase(*request);
    router_->client_disconnected(*request);
  }
  platform_.log.line("stream", "an upload was cut: " + reason);
  respond_error(connection, status, reason);
}

// The request has its answer: the rest of an incomplete upload is discarded, and the connection is
// closed after the response.
void ClientServer::detach_upload(SlotRef connection, Session& session) {
  Transfer& transfer = *session.transfer;
  if (!transfer.upload)
    return;
  transfer.upload->on_capacity = nullptr;
  if (!transfer.upload_reader.done()) {
    session.keep_alive = false;
    transfer.upload->abort();
    // finish() discards the rest once the response has been written.
    platform_.network.pause_reading(connection, true);
  }
  transfer.upload.reset();
  transfer.upload_stall.set_waiting(platform_.clock.now(), false);
}

void ClientServer::begin_reply(SlotRef connection, Session& session, routing::Reply reply) {
  bool first_transfer = !session.transfer;
  if (first_transfer)
    session.transfer = std::make_unique<Transfer>();
  Transfer& transfer = *session.transfer;
  detach_upload(connection, session);
  Headers headers = std::move(reply.fields);
  Framing framing = Framing::Chunked;
  if (reply.length) {
    framing = Framing::Length;
    headers.emplace_back("Content-Length", std::to_string(*reply.length));
  } else if (session.http_1_0) {  // has no chunked coding: the body ends with the connection
    framing = Framing::UntilClose;
    session.keep_alive = false;
  } else {
    headers.emplace_back("Transfer-Encoding", "chunked");
  }
  session.keep_alive = session.keep_alive && stage_ < Stage::Closing;
  transfer.reply.emplace(std::move(reply.body_stream), framing);
  transfer.reply->pipe()->on_data = [this, connection] {
    send_reply(connection);
  };
  if (first_transfer)
    schedule_stall_check(connection, transfer);
  platform_.network.send(connection,
                         protocol::write_response_head(200, headers, session.keep_alive));
  send_reply(connection);
}

void ClientServer::send_reply(SlotRef connection) {
  Session* session = find(connection);
  if (!session || !session->transfer || !session->transfer->reply)
    return;
  transport::Network& network = platform_.network;
  Transfer& transfer = *session->transfer;
  if (transfer.reply->pipe()->aborted())
    return abort_reply(connection, "the worker reset it");
  transfer.reply->send_available(network, connection);
  transfer.reply_stall.set_waiting(platform_.clock.now(), network.unsent_bytes(connection) > 0);
  if (transfer.reply->all_taken() && !std::exchange(transfer.reply_terminated, true)) {
    network.send(connection, transfer.reply->terminator());
    transfer.reply_stall.set_waiting(platform_.clock.now(), network.unsent_bytes(connection) > 0);
  }
  // The reply keeps its memory until its last byte has been written.
  if (transfer.reply_terminated && network.unsent_bytes(connection) == 0)
    end_reply(connection);
}

void ClientServer::end_reply(SlotRef connection) {
  Session& session = sessions_.at(connection);
  drop_transfer(connection, session);
  if (!session.keep_alive || stage_ >= Stage::Closing) {
    remove_session(connection);
    return platform_.network.finish(connection);
  }
  // The next message is left to a later loop turn, as this may run inside a callback of the pipe.
  schedule_resume(connection, session);
}

// The head of the response has been sent and no second response can follow. The client notices that
// the body is incomplete: the last chunk is missing, or the body is shorter than its length.
void ClientServer::abort_reply(SlotRef connection, const std::string& reason) {
  platform_.log.line("stream", "a reply was cut, its request has failed: " + reason);
  remove_session(connection);
  platform_.network.reset(connection);
}

void ClientServer::abort_replies() {
  std::vector<SlotRef> replying;
  for (const auto& [connection, session] : sessions_) {
    if (session.transfer && session.transfer->reply)
      replying.push_back(connection);
  }
  for (SlotRef connection : replying)
    abort_reply(connection, "the drain timeout is over");
}

void ClientServer::on_written(SlotRef connection) {
  Session* session = find(connection);
  if (!session)
    return;
  if (!session->transfer) {
    try_hand_over(connection);
    return;
  }
  session->transfer->reply_stall.record_progress(platform_.clock.now());
  send_reply(connection);
}

// One periodic check covers both directions: moving a deadline with each piece of a body would cost
// more than relaying the piece.
void ClientServer::schedule_stall_check(SlotRef connection, Transfer& transfer) {
  auto check = [this, connection] {
    Session* session = find(connection);
    if (!session || !session->transfer)
      return;
    Transfer& checked = *session->transfer;
    checked.stall_check = {};
    transport::Time now = platform_.clock.now();
    if (checked.reply_stall.is_stalled(now, streaming_->stall_timeout))
      return abort_reply(connection, "the client stopped reading");
    if (checked.upload_stall.is_stalled(now, streaming_->stall_timeout))
      return abort_upload(connection, 408, "the client sends nothing");
    schedule_stall_check(connection, checked);
  };
  transport::Time next_check = platform_.clock.now() + streaming_->stall_timeout / 4;
  transfer.stall_check = platform_.deadlines.add(next_check, std::move(check));
}

void ClientServer::drop_transfer(SlotRef connection, Session& session) {
  if (!session.transfer)
    return;
  Transfer& transfer = *session.transfer;
  if (transfer.upload) {
    transfer.upload->on_capacity = nullptr;
    if (!transfer.upload_reader.done())
      transfer.upload->abort();
  }
  if (transfer.reply) {
    transfer.reply->pipe()->on_data = nullptr;
    if (!transfer.reply->all_taken())
      transfer.reply->pipe()->abandon();
  }
  platform_.deadlines.disarm(transfer.stall_check);
  session.transfer.reset();
  platform_.network.set_bulk(connection, false);
}

}  // namespace dispatcher::http

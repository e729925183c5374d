#include "http/client_server.h"

#include <array>
#include <cstdio>

namespace dispatcher::http {

using protocol::Headers;
using protocol::Message;
using transport::SlotRef;

namespace {

// From accepting a connection to the end of its first request. A faulty client must get an error or
// a close within 3 s.
constexpr transport::Duration kFirstRequestTimeout{2000};
// From the first to the last byte of a later request.
constexpr transport::Duration kLaterRequestTimeout{10'000};
constexpr int kMaxMessagesPerTurn = 4;  // per connection

const Headers kPlainText{{"Content-Type", "text/plain"}};

bool is_request_head(const Message& head) {
  return head.method == "POST" && protocol::is_request_path(head.target);
}

}  // namespace

ClientServer::Session* ClientServer::find(SlotRef connection) {
  auto it = sessions_.find(connection);
  return it == sessions_.end() ? nullptr : &it->second;
}

ClientServer::Session& ClientServer::open_session(SlotRef connection) {
  Session& session = sessions_[connection];
  if (streaming_)
    session.parser.enable_streaming(is_request_head, streaming_->max_body_bytes);
  return session;
}

void ClientServer::remove_session(SlotRef connection) {
  auto it = sessions_.find(connection);
  unmark_idle(it->second);
  drop_transfer(connection, it->second);
  platform_.deadlines.disarm(it->second.request_deadline);
  platform_.deadlines.disarm(it->second.resume);
  sessions_.erase(it);
}

void ClientServer::on_accepted(SlotRef connection) {
  Session& session = open_session(connection);
  session.sequence = ++last_sequence_;
  without_request_[session.sequence] = connection;
  schedule_request_deadline(connection, session, kFirstRequestTimeout);
}

void ClientServer::on_bytes(SlotRef connection, std::string_view bytes) {
  Session* session = find(connection);
  if (!session)
    return;
  if (session->transfer && session->transfer->upload && !session->transfer->upload_reader.done())
    return on_upload_bytes(connection, *session, bytes);
  feed_parser(*session, bytes);
  session->messages_this_turn = 0;
  // Bounds the memory for requests that the client pipelines behind its open one.
  if (session->is_busy() && session->parser.buffered() > protocol::kMaxHeadBytes)
    pause_reading(connection, *session, true);
  process_messages(connection);
}

void ClientServer::on_closed(SlotRef connection, bool) {
  Session* session = find(connection);
  if (!session)
    return;
  std::optional<routing::RequestRef> request = session->open_request;
  std::function<void()> on_client_left = std::move(session->on_client_left);
  remove_session(connection);
  if (on_client_left)
    on_client_left();
  if (!request)
    return;
  connection_of_.erase(*request);
  router_->client_disconnected(*request);
}

// Handles a few messages and leaves the rest to a later loop turn, so that one connection with
// hundreds of pipelined requests does not delay the others. A request that is answered at its
// admission leads here again, so the session counts the messages.
void ClientServer::process_messages(SlotRef connection) {
  for (;;) {
    Session* session = find(connection);
    if (!session || session->is_busy() || session->resume.is_set() || try_hand_over(connection))
      return;
    if (session->messages_this_turn >= kMaxMessagesPerTurn && !session->parser.idle()) {
      pause_reading(connection, *session, true);
      return schedule_resume(connection, *session);
    }
    std::optional<Message> message;
    try {
      message = session->parser.next();
    } catch (const protocol::HttpError& error) {
      return respond_error(connection, error.status, error.what());
    }
    if (!message)
      return wait_for_more(connection, *session);
    ++session->messages_this_turn;
    platform_.deadlines.disarm(session->request_deadline);
    unmark_idle(*session);
    session->keep_alive = message->keep_alive;
    session->http_1_0 = message->http_1_0;
    handle_message(connection, std::move(*message));
  }
}

void ClientServer::wait_for_more(SlotRef connection, Session& session) {
  pause_reading(connection, session, false);
  if (session.parser.idle())
    return mark_idle(connection, session);
  if (session.parser.take_expect_continue())
    platform_.network.send(connection, protocol::write_response(100, {}, {}, true));
  if (idle_.contains(session.sequence))
    unmark_idle(session);
  if (!session.request_deadline.is_set())
    schedule_request_deadline(connection, session, kLaterRequestTimeout);
}

void ClientServer::schedule_resume(SlotRef connection, Session& session) {
  session.resume = platform_.deadlines.add(platform_.clock.now(), [this, connection] {
    Session* resumed = find(connection);
    if (!resumed)
      return;
    resumed->resume = {};
    resumed->messages_this_turn = 0;
    process_messages(connection);
  });
}

// Closes connections whose clients send nothing or too slowly.
void ClientServer::schedule_request_deadline(SlotRef connection, Session& session,
                                             transport::Duration limit) {
  auto on_deadline = [this, connection] {
    Session* late = find(connection);
    if (!late)
      return;
    late->request_deadline = {};
    if (!late->parser.idle())
      return respond_error(connection, 408, "the request did not come whole in time");
    remove_session(connection);
    platform_.network.finish(connection);
  };
  session.request_deadline =
      platform_.deadlines.add(platform_.clock.now() + limit, std::move(on_deadline));
}

void ClientServer::pause_reading(SlotRef connection, Session& session, bool paused) {
  if (std::exchange(session.reading_paused, paused) == paused)
    return;
  if (paused) {
    session.paused_since = platform_.clock.now();
  } else if (!platform_.network.has_unread(connection)) {
    session.paused_since.reset();
  }
  platform_.network.pause_reading(connection, paused);
}

// Bytes that are read after a pause of reading count as arrived when the pause began.
void ClientServer::feed_parser(Session& session, std::string_view bytes) {
  transport::Time arrived = platform_.clock.now();
  if (!session.reading_paused) {
    arrived = session.paused_since.value_or(arrived);
    session.paused_since.reset();
  }
  session.arrivals.record(bytes.size(), arrived);
  session.parser.feed(bytes);
}

// While connections are being closed, one that has received a part of its next message stays open:
// that message is still served.
bool ClientServer::stays_open(SlotRef connection, const Session& session) const {
  bool closing = stage_ >= Stage::Closing;
  return session.keep_alive &&
         (!closing || !session.parser.idle() || platform_.network.has_unread(connection));
}

void ClientServer::respond(SlotRef connection, int status, const Headers& headers,
                           std::string_view body) {
  Session* session = find(connection);
  if (!session)
    return;
  if (session->transfer) {
    detach_upload(connection, *session);
    drop_transfer(connection, *session);
  }
  bool keep = stays_open(connection, *session);
  platform_.network.send(connection, protocol::write_response(status, headers, body, keep));
  if (keep)
    return;
  remove_session(connection);
  platform_.network.finish(connection);
}

// Closes the connection, as the bytes after a malformed message may be the rest of it.
void ClientServer::respond_error(SlotRef connection, int status, const std::string& reason) {
  platform_.log.line("client", std::to_string(status) + ": " + reason);
  if (Session* session = find(connection))
    session->keep_alive = false;
  respond(connection, status, kPlainText, reason);
}

void ClientServer::respond_to_request(routing::RequestRef request, int status,
                                      const Headers& headers, std::string_view body) {
  auto it = connection_of_.find(request);
  if (it == connection_of_.end())
    return;
  SlotRef connection = it->second;
  connection_of_.erase(it);
  sessions_.at(connection).open_request.reset();
  respond(connection, status, headers, body);
  process_messages(connection);  // pipelined requests
}

void ClientServer::respond_with_reply(routing::RequestRef request, routing::Reply reply) {
  if (!reply.body_stream)
    return respond_to_request(request, 200, reply.fields, reply.body);
  auto it = connection_of_.find(request);
  if (it == connection_of_.end())
    return reply.body_stream->abandon();
  SlotRef connection = it->second;
  connection_of_.erase(it);
  Session& session = sessions_.at(connection);
  session.open_request.reset();
  begin_reply(connection, session, std::move(reply));
}

void ClientServer::respond_with_rejection(routing::RequestRef request,
                                          scheduling::Duration retry_after) {
  Headers headers;
  if (retry_after.count() > 0) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", retry_after.count() / 1000);
    headers.emplace_back("Retry-After", seconds.data());
  }
  respond_to_request(request, 503, headers, "refused; nothing of it has run");
}

void ClientServer::respond_with_failure(routing::RequestRef request) {
  respond_to_request(request, 502, kPlainText, "failed; it may have run");
}

void ClientServer::mark_idle(SlotRef connection, Session& session) {
  if (session.sequence != 0)
    return;
  session.sequence = ++last_sequence_;
  idle_[session.sequence] = connection;
}

void ClientServer::unmark_idle(Session& session) {
  without_request_.erase(session.sequence);
  idle_.erase(session.sequence);
  session.sequence = 0;
}

// Closes one connection to make room for another. Order of preference: one that has sent nothing,
// one between two requests, one whose first request is incomplete.
bool ClientServer::shed_idle() {
  return shed_oldest(without_request_, ShedRule::OnlySilent) ||
         shed_oldest(idle_, ShedRule::OnlySilent) ||
         shed_oldest(without_request_, ShedRule::AnyWithoutInput);
}

// Skips connections with unread input: it may be a client's first request, which clients do not
// retry.
bool ClientServer::shed_oldest(const ConnectionsByAge& candidates, ShedRule rule) {
  for (auto [sequence, connection] : candidates) {
    bool silent = sessions_.at(connection).parser.idle();
    if (rule == ShedRule::OnlySilent && !silent)
      continue;
    if (platform_.network.has_unread(connection))
      continue;
    platform_.log.line("shed", "a client connection without a request was closed to make room");
    remove_session(connection);
    platform_.network.close(connection);
    return true;
  }
  return false;
}

void ClientServer::close_connections() {
  stage_ = std::max(stage_, Stage::Closing);
  finish_idle(idle_);
  finish_idle(without_request_);
}

// Takes a copy, as remove_session() modifies the map that the candidates come from.
void ClientServer::finish_idle(ConnectionsByAge candidates) {
  while (!candidates.empty()) {
    SlotRef connection = candidates.begin()->second;
    candidates.erase(candidates.begin());
    if (!sessions_.at(connection).parser.idle() || platform_.network.has_unread(connection))
      continue;
    remove_session(connection);
    platform_.network.finish(connection);
  }
}

}  // namespace dispatcher::http

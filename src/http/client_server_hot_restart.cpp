// Connections that are handed over between the two processes of a hot restart.
#include "http/client_server.h"

namespace dispatcher::http {

using transport::SlotRef;

void ClientServer::set_connection_handover(ConnectionHandover handover) {
  connection_handover_ = std::move(handover);
  std::vector<SlotRef> connections;
  for (const auto& [connection, session] : sessions_)
    connections.push_back(connection);
  for (SlotRef connection : connections)
    try_hand_over(connection);
}

bool ClientServer::try_hand_over(SlotRef connection) {
  Session* session = find(connection);
  if (!connection_handover_ || !session || session->is_busy() || session->resume.is_set())
    return false;
  std::optional<std::string> unread = session->parser.unread();
  if (!unread)
    return false;
  transport::Descriptor descriptor = platform_.network.release(connection);
  if (!descriptor)
    return false;
  bool used = !without_request_.contains(session->sequence);
  remove_session(connection);
  connection_handover_(std::move(descriptor), std::move(*unread), used);
  return true;
}

std::optional<ClientServer::ReleasedConnection> ClientServer::release_connection(
    routing::RequestRef request) {
  auto it = connection_of_.find(request);
  if (it == connection_of_.end())
    return std::nullopt;
  std::optional<ReleasedConnection> released = release_session(it->second);
  if (released)
    connection_of_.erase(it);
  return released;
}

std::optional<ClientServer::ReleasedConnection> ClientServer::release_adopted_connection(
    SlotRef connection) {
  if (!find(connection))
    return std::nullopt;
  return release_session(connection);
}

std::optional<ClientServer::ReleasedConnection> ClientServer::release_session(SlotRef connection) {
  Session& session = sessions_.at(connection);
  std::optional<std::string> unread = session.parser.unread();
  if (session.transfer || !unread)
    return std::nullopt;
  ReleasedConnection released{.connection = platform_.network.release(connection),
                              .unread = std::move(*unread),
                              .keep_alive = session.keep_alive,
                              .uses_http_1_0 = session.http_1_0};
  if (!released.connection)
    return std::nullopt;
  remove_session(connection);
  return released;
}

void ClientServer::adopt_connection(SlotRef connection, std::string_view unread, bool used) {
  if (used) {
    open_session(connection);
  } else {
    on_accepted(connection);
  }
  on_bytes(connection, unread);
}

void ClientServer::adopt_request_connection(SlotRef connection, const ReleasedConnection& released,
                                            std::function<void()> on_client_left) {
  Session& session = open_session(connection);
  session.keep_alive = released.keep_alive;
  session.http_1_0 = released.uses_http_1_0;
  session.awaits_other_process = true;
  session.on_client_left = std::move(on_client_left);
  feed_parser(session, released.unread);
}

void ClientServer::answer_adopted(SlotRef connection, int status, std::string_view body) {
  Session* session = find(connection);
  if (!session)
    return;
  session->awaits_other_process = false;
  session->on_client_left = nullptr;
  respond(connection, status, {}, body);
  process_messages(connection);
}

}  // namespace dispatcher::http

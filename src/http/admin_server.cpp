#include "http/admin_server.h"

namespace dispatcher::http {

using transport::SlotRef;

namespace {

constexpr transport::Duration kCallTimeout{5000};  // for receiving the complete call

}  // namespace

void AdminServer::on_accepted(SlotRef connection) {
  Session& session = sessions_[connection];
  session.sequence = ++last_sequence_;
  by_sequence_[session.sequence] = connection;
  session.deadline = deadlines_.add(clock_.now() + kCallTimeout, [this, connection] {
    sessions_.at(connection).deadline = {};
    respond(connection, {408, "the call did not come whole in time"});
  });
}

void AdminServer::on_bytes(SlotRef connection, std::string_view bytes) {
  auto it = sessions_.find(connection);
  if (it == sessions_.end())
    return;
  it->second.parser.feed(bytes);
  try {
    if (std::optional<protocol::Message> call = it->second.parser.next()) {
      operations::AdminResponse answer = operations::handle_admin_request(*call, operations_);
      if (call->method != "GET" || answer.status != 200)
        log_.line("ops", call->method + " " + call->target + ": " + std::to_string(answer.status));
      respond(connection, answer);
    }
  } catch (const protocol::HttpError& error) {
    log_.line("ops", std::to_string(error.status) + ": " + error.what());
    respond(connection, {error.status, error.what()});
  }
}

void AdminServer::respond(SlotRef connection, const operations::AdminResponse& answer) {
  remove_session(connection);
  network_.send(connection,
                protocol::write_response(answer.status, {{"Content-Type", "text/plain"}},
                                         answer.body, false));
  network_.finish(connection);
}

void AdminServer::on_closed(SlotRef connection, bool) {
  remove_session(connection);
}

void AdminServer::remove_session(SlotRef connection) {
  auto it = sessions_.find(connection);
  if (it == sessions_.end())
    return;
  deadlines_.disarm(it->second.deadline);
  by_sequence_.erase(it->second.sequence);
  sessions_.erase(it);
}

// Closes the oldest connection without unread input. A complete call is answered in the loop turn
// in which it arrives, so every session here belongs to a silent or slow caller.
bool AdminServer::shed_idle() {
  for (auto [sequence, connection] : by_sequence_) {
    if (network_.has_unread(connection))
      continue;
    remove_session(connection);
    network_.close(connection);
    return true;
  }
  return false;
}

}  // namespace dispatcher::http

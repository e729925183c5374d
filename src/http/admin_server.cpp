#include "http/admin_server.h"

namespace dispatcher::http {

using transport::SlotRef;

namespace {

constexpr transport::Duration kWhole{5000};  // for the call to come whole

}  // namespace

void AdminServer::on_accepted(SlotRef at) {
  Caller& c = callers_[at];
  c.place = ++placed_;
  order_[c.place] = at;
  c.slow = deadlines_.add(clock_.now() + kWhole, [this, at] {
    callers_.at(at).slow = {};
    respond(at, {408, "the call did not come whole in time"});
  });
}

void AdminServer::on_bytes(SlotRef at, std::string_view bytes) {
  auto it = callers_.find(at);
  if (it == callers_.end())
    return;
  it->second.parser.feed(bytes);
  try {
    if (auto call = it->second.parser.next()) {
      operations::Answer answer = operations::answer_call(*call, desk_);
      if (call->method != "GET" || answer.status != 200)
        log_.line("ops", call->method + " " + call->target + ": " + std::to_string(answer.status));
      respond(at, answer);
    }
  } catch (const protocol::HttpError& e) {
    log_.line("ops", std::to_string(e.status) + ": " + e.what());
    respond(at, {e.status, std::string(e.what()) + ""});
  }
}

void AdminServer::respond(SlotRef at, const operations::Answer& answer) {
  forget(at);
  network_.send(at, protocol::write_response(answer.status, {{"Content-Type", "text/plain"}},
                                             answer.body, false));
  network_.finish(at);
}

void AdminServer::on_closed(SlotRef at, bool) {
  forget(at);
}

void AdminServer::forget(SlotRef at) {
  auto it = callers_.find(at);
  if (it == callers_.end())
    return;
  deadlines_.drop(it->second.slow);
  order_.erase(it->second.place);
  callers_.erase(it);
}

// Guards newcomers against callers that connect and say nothing: a call that is there is answered
// in the turn it comes, so whoever is still here has been silent or slow, and the one that has been
// here longest goes.
bool AdminServer::shed_idle() {
  for (auto [place, at] : order_) {
    if (network_.has_unread(at))
      continue;
    forget(at);
    network_.close(at);
    return true;
  }
  return false;
}

}  // namespace dispatcher::http

#include "http_front.h"

#include <cstdio>

namespace oatledge::program {

using protocol::Headers;
using protocol::Message;
using transport::SlotRef;

namespace {

constexpr transport::Duration kSlowest{10'000};  // from a message's first byte to its last
const Headers kText{{"Content-Type", "text/plain"}};

}  // namespace

void HttpFront::on_accepted(SlotRef at) { note_idle(at, sessions_[at]); }

void HttpFront::on_bytes(SlotRef at, std::string_view bytes) {
  auto it = sessions_.find(at);
  if (it == sessions_.end()) return;
  Session& s = it->second;
  s.parser.feed(bytes);
  // Guards memory: a client may send ahead while its command runs, but no more than one message of it is
  // kept.
  if (s.command && s.parser.buffered() > protocol::kMostHead + protocol::kMostBody) {
    on_.network.close(at);
    return on_closed(at, true);
  }
  work(at);
}

void HttpFront::work(SlotRef at) {
  while (true) {
    auto it = sessions_.find(at);
    if (it == sessions_.end() || it->second.command) return;
    Session& s = it->second;
    std::optional<Message> message;
    try {
      message = s.parser.next();
    } catch (const protocol::HttpError& e) {
      s.keep_alive = false;
      return reject(at, e.status, e.what());
    }
    if (message) {
      on_.deadlines.drop(s.slow);
      s.keep_alive = message->keep_alive, s.used = true;
      if (s.idle_since != 0) idle_.erase(std::exchange(s.idle_since, 0));
      handle(at, std::move(*message));
      continue;
    }
    if (s.parser.idle()) return note_idle(at, s);
    if (s.parser.take_continue()) on_.network.send(at, protocol::write_response(100, {}, {}, true));
    if (s.idle_since != 0) idle_.erase(std::exchange(s.idle_since, 0));
    if (s.slow.order == 0)  // guards the table against clients that send a byte now and then
      s.slow = on_.deadlines.add(on_.clock.now() + kSlowest, [this, at] {
        auto slow = sessions_.find(at);
        if (slow == sessions_.end()) return;
        slow->second.slow = {}, slow->second.keep_alive = false;
        reject(at, 408, "the request did not come whole in time");
      });
    return;
  }
}

void HttpFront::handle(SlotRef at, Message m) {
  std::string_view path = std::string_view(m.target).substr(0, m.target.find('?'));
  bool ready = path == "/ready", news = path == "/_jobs/news";
  if (!ready && !news && !protocol::is_command_path(m.target)) return respond(at, 404, kText, "no such path");
  const char* method = ready ? "GET" : "POST";
  if (m.method != method) return respond(at, 405, {{"Allow", method}}, "");
  if (ready)
    return respond(at, ready_ && !draining_ ? 200 : 503, kText,
                   draining_ ? "draining"
                   : ready_  ? "ready"
                             : "no list yet");
  if (news) return take_news(at, m);
  take_command(at, std::move(m));
}

void HttpFront::take_command(SlotRef at, Message m) {
  protocol::ClientCommand command;
  try {
    command = protocol::read_command(std::move(m), on_.words);
  } catch (const protocol::Refused& e) {
    return reject(at, 400, e.what());
  }
  stagehinge::Request request = command.request;
  auto taken =
      router_->take({request, std::make_shared<HttpCargo>(std::move(command))}, [&](routing::CommandRef c) {
        sessions_.at(at).command = c;
        waiting_[c] = at;
      });
  using Taking = routing::Router::Taking;
  // Never reached the module, so nothing of it can have run: trying again is harmless.
  if (taken == Taking::Full) {
    on_.log.line("full", "the command table is full; a command was refused");
    respond(at, 503, {}, "too many commands are open");
  } else if (taken == Taking::Duplicate) {
    reject(at, 409, "a command with this X-Correlation-Id is open");
  }
}

void HttpFront::take_news(SlotRef at, const Message& m) {
  protocol::News n;
  try {
    n = protocol::read_news(m.body, on_.words);
  } catch (const protocol::Refused& e) {
    return reject(at, 400, std::string("call-back: ") + e.what());
  }
  respond(at, 204, {}, {});
  routing::Progress p;
  p.id = n.id, p.instance = std::move(n.from), p.report = n.report, p.result = std::move(n.result);
  using What = protocol::News::What;
  using stagehinge::Outcome;
  p.started = n.what == What::Started, p.progress = n.what == What::Progress;
  p.outcome = n.what == What::Done       ? Outcome::Success
              : n.what == What::Returned ? Outcome::Overloaded
              : n.what == What::Lost     ? Outcome::Broken
                                         : Outcome::Failure;
  router_->progress(std::move(p));
}

void HttpFront::respond(SlotRef at, int status, const Headers& headers, std::string_view body) {
  auto it = sessions_.find(at);
  if (it == sessions_.end()) return;
  bool keep = it->second.keep_alive && !draining_;
  on_.network.send(at, protocol::write_response(status, headers, body, keep));
  if (keep) return;
  forget(at);
  on_.network.finish(at);
}

void HttpFront::reject(SlotRef at, int status, const std::string& why) {
  on_.log.line("client", std::to_string(status) + ": " + why);
  respond(at, status, kText, why);
}

void HttpFront::answer(routing::CommandRef command, int status, const Headers& headers,
                       std::string_view body) {
  auto it = waiting_.find(command);
  if (it == waiting_.end()) return;
  SlotRef at = it->second;
  waiting_.erase(it);
  sessions_.at(at).command.reset();
  respond(at, status, headers, body);
  work(at);  // what the client sent ahead
}

void HttpFront::served(routing::CommandRef command, std::string result) { answer(command, 200, {}, result); }

void HttpFront::nack(routing::CommandRef command, stagehinge::Duration retry_after) {
  Headers headers;
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    headers.emplace_back("Retry-After", seconds);
  }
  answer(command, 503, headers, "refused; nothing of it has run");
}

void HttpFront::failed(routing::CommandRef command) {
  answer(command, 502, kText, "failed; it may have run");
}

void HttpFront::on_closed(SlotRef at, bool) {
  auto it = sessions_.find(at);
  if (it == sessions_.end()) return;
  std::optional<routing::CommandRef> command = it->second.command;
  forget(at);
  if (!command) return;
  waiting_.erase(*command);
  router_->client_gone(*command);
}

void HttpFront::forget(SlotRef at) {
  auto it = sessions_.find(at);
  if (it->second.idle_since != 0) idle_.erase(it->second.idle_since);
  on_.deadlines.drop(it->second.slow);
  sessions_.erase(it);
}

void HttpFront::note_idle(SlotRef at, Session& s) {
  if (s.idle_since != 0) return;
  s.idle_since = ++idle_order_;
  idle_[s.idle_since] = at;
}

bool HttpFront::shed_idle() {
  if (idle_.empty()) return false;
  SlotRef at = idle_.begin()->second;
  on_.log.line("shed", "an idle client connection was closed to make room");
  forget(at);
  on_.network.close(at);
  return true;
}

void HttpFront::start_draining() {
  draining_ = true;
  for (auto [order, at] : std::map(idle_))
    if (sessions_.at(at).used) forget(at), on_.network.finish(at);
}

void HttpFront::close_idle() {
  for (auto [order, at] : std::map(idle_)) forget(at), on_.network.finish(at);
}

}  // namespace oatledge::program

#include "http/client_server.h"

#include <cstdio>

namespace dispatcher::http {

using protocol::Headers;
using protocol::Message;
using transport::SlotRef;

namespace {

// A connection has this long from connecting to bring its first whole request: bad clients are owed
// an error or a close within 3 s. Later requests have longer, from their first byte to their last.
constexpr transport::Duration kFirst{2000};
constexpr transport::Duration kSlowest{10'000};
bool is_command(const Message& head) {
  return head.method == "POST" && protocol::is_request_path(head.target);
}

constexpr transport::Duration kOneArrival{5};
constexpr int kMessagesATurn = 4;  // of one connection; then the others' turn
const Headers kText{{"Content-Type", "text/plain"}};

}  // namespace

ClientServer::Session& ClientServer::begin(SlotRef at) {
  Session& s = sessions_[at];
  if (on_streams_)
    s.parser.stream(is_command, on_streams_->most_body);
  return s;
}

void ClientServer::on_accepted(SlotRef at) {
  Session& s = begin(at);
  s.place = ++order_;
  fresh_[s.place] = at;
  wait_for_whole(at, s, kFirst);
}

void ClientServer::on_bytes(SlotRef at, std::string_view bytes) {
  auto it = sessions_.find(at);
  if (it == sessions_.end())
    return;
  Session& s = it->second;
  if (s.transfer && s.transfer->upload && !s.transfer->reader.done())
    return on_upload(at, s, bytes);
  feed(s, bytes);
  // Guards memory: a client may send ahead while its command runs, but little of it is kept. The
  // command itself must not be lost for that.
  if ((s.command || s.transfer || s.asks) && s.parser.buffered() > protocol::kMostHead)
    hold(at, s, true);
  work(at);
}

// Guards the other connections against one that sends hundreds of requests at once: a few are
// answered, the next ones after everybody else had a turn.
void ClientServer::work(SlotRef at) {
  for (int handled = 0;; ++handled) {
    auto it = sessions_.find(at);
    if (it == sessions_.end() || it->second.command || it->second.transfer || it->second.asks)
      return;
    if (try_pass(at))
      return;
    Session& s = it->second;
    if (handled == kMessagesATurn && !s.parser.idle()) {
      hold(at, s, true);
      s.more = on_.deadlines.add(on_.clock.now(), [this, at] {
        if (auto next = sessions_.find(at); next != sessions_.end())
          next->second.more = {}, work(at);
      });
      return;
    }
    std::optional<Message> message;
    try {
      message = s.parser.next();
    } catch (const protocol::HttpError& e) {
      return respond_error(at, e.status, e.what());
    }
    if (message) {
      on_.deadlines.drop(s.slow);
      leave_orders(s);
      s.keep_alive = message->keep_alive;
      s.old = message->old;
      handle(at, std::move(*message));
      continue;
    }
    hold(at, s, false);
    if (s.parser.idle())
      return note_idle(at, s);
    if (s.parser.take_continue())
      on_.network.send(at, protocol::write_response(100, {}, {}, true));
    if (idle_.contains(s.place))
      leave_orders(s);
    if (s.slow.order == 0)
      wait_for_whole(at, s, kSlowest);
    return;
  }
}

// Guards the table against clients that say nothing, or send a byte now and then.
void ClientServer::wait_for_whole(SlotRef at, Session& s, transport::Duration longest) {
  s.slow = on_.deadlines.add(on_.clock.now() + longest, [this, at] {
    auto slow = sessions_.find(at);
    if (slow == sessions_.end())
      return;
    slow->second.slow = {};
    if (!slow->second.parser.idle())
      return respond_error(at, 408, "the request did not come whole in time");
    forget(at);
    on_.network.finish(at);
  });
}

void ClientServer::hold(SlotRef at, Session& s, bool held) {
  if (std::exchange(s.held, held) == held)
    return;
  if (held) {
    s.held_since = on_.clock.now();
  } else if (!on_.network.unread(at)) {
    s.held_since.reset();  // nothing has waited there
  }
  on_.network.hold(at, held);
}

// A client's patience counts from its last byte, and a command that was sent ahead may have waited
// here for most of it. Bytes within a few milliseconds count as one arrival, so that single ones
// cost little.
void ClientServer::feed(Session& s, std::string_view bytes) {
  transport::Time now = on_.clock.now();
  transport::Time came = s.held ? now : s.held_since.value_or(now);
  s.held_since = s.held ? s.held_since : std::nullopt;
  s.fed += bytes.size();
  if (s.arrivals.empty() || came - s.arrivals.back().first > kOneArrival)
    s.arrivals.push_back({0, came, came});
  s.arrivals.back().upto = s.fed;
  s.arrivals.back().last = came;
  s.parser.feed(bytes);
}

transport::Time ClientServer::arrived(Session& s) const {
  std::uint64_t used = s.fed - s.parser.buffered();
  while (s.arrivals.size() > 1 && s.arrivals.front().upto < used)
    s.arrivals.pop_front();
  return s.arrivals.empty() ? on_.clock.now() : s.arrivals.front().last;
}

void ClientServer::handle(SlotRef at, Message m) {
  std::string_view path = std::string_view(m.target).substr(0, m.target.find('?'));
  bool ready = path == "/ready";
  bool news = path == "/_jobs/news";
  if (!ready && !news && !protocol::is_request_path(m.target))
    return respond(at, 404, kText, "no such path");
  const char* method = ready ? "GET" : "POST";
  if (m.method != method)
    return respond(at, 405, {{"Allow", method}}, "");
  if (ready) {
    return respond(at, this->ready() ? 200 : 503, kText,
                   this->ready()               ? "ready"
                   : stage_ == Stage::Starting ? "no list yet"
                                               : "draining");
  }
  if (news)
    return take_news(at, m);
  take_command(at, std::move(m));
}

void ClientServer::take_command(SlotRef at, Message m) {
  bool streamed = m.streamed;
  bool expects = protocol::same_name(m.header("Expect"), "100-continue");
  std::string first = streamed ? std::exchange(m.body, {}) : std::string();
  Headers fields = streamed ? protocol::content_fields(m.headers) : Headers();
  protocol::ClientRequest command;
  try {
    command = protocol::parse_client_request(std::move(m), on_.words);
  } catch (const protocol::Refused& e) {
    return respond_error(at, 400, e.what());
  }
  auto waited = on_.clock.now() - arrived(sessions_.at(at));
  command.request.timeout = std::max(scheduling::Duration(0), command.request.timeout - waited);
  if (streamed) {
    command.fields = std::move(fields);
    stretch_patience(command.request);
  }
  scheduling::Request request = command.request;
  if (stage_ == Stage::Ending) {
    router_->count_rejected(request.job_class);
    return respond(at, 503, {}, "this dispatcher ends");
  }
  auto cargo = std::make_shared<HttpRequestPayload>(std::move(command));
  if (!give_pipes(*cargo, streamed)) {
    on_.log.line("stream", "no memory for another body; a command was refused");
    router_->count_rejected(request.job_class);
    if (streamed)
      sessions_.at(at).keep_alive = false;
    return respond(at, 503, {}, "too many bodies are on their way");
  }
  auto taken = router_->take({request, cargo}, [&](routing::RequestRef c) {
    Session& s = sessions_.at(at);
    s.command = c;
    waiting_[c] = at;
    if (!streamed)
      return;
    if (s.parser.passing().framing() == protocol::Framing::Length)
      cargo->length = s.parser.passing().length();
    begin_upload(at, s, cargo->upload, first, expects);
  });
  using Taking = routing::Router::Taking;
  // Never reached the scheduler, so nothing of it can have run: trying again is harmless.
  if (taken == Taking::Full) {
    on_.log.line("full", "the command table is full; a command was refused");
    if (streamed)
      sessions_.at(at).keep_alive = false;
    respond(at, 503, {}, "too many commands are open");
  } else if (taken == Taking::Duplicate) {
    respond_error(at, 409, "a command had this X-Correlation-Id a moment ago");
  }
}

void ClientServer::take_news(SlotRef at, const Message& m) {
  protocol::JobEvent n;
  try {
    n = protocol::parse_job_event(m.body, on_.words);
  } catch (const protocol::Refused& e) {
    return respond_error(at, 400, std::string("call-back: ") + e.what());
  }
  if (adopted_job_event_ && adopted_job_event_(n))
    return respond(at, 204, {}, {});
  if (forward_ && !router_->knows(n.id) && forward_(m.body, [this, at](bool taken) {
        auto it = sessions_.find(at);
        if (it == sessions_.end())
          return;
        it->second.asks = false;
        respond(at, taken ? 204 : 503, {}, {});  // after a 503 the worker calls again
        work(at);
      })) {
    sessions_.at(at).asks = true;
    return;
  }
  respond(at, 204, {}, {});
  on_job_event(std::move(n));
}

void ClientServer::on_job_event(protocol::JobEvent n) {
  routing::Progress p;
  p.id = n.id;
  p.worker = std::move(n.from);
  p.report = n.report;
  p.result = std::move(n.result);
  using What = protocol::JobEvent::What;
  using scheduling::Outcome;
  p.started = n.what == What::Started;
  p.progress = n.what == What::Progress;
  p.outcome = n.what == What::Done       ? Outcome::Success
              : n.what == What::Returned ? Outcome::Rejected
              : n.what == What::Lost     ? Outcome::ConnectionReset
                                         : Outcome::Failure;
  router_->progress(std::move(p));
}

// At the end a connection is kept for as long as there is something of the next message: that has
// been taken.
bool ClientServer::keeps(SlotRef at, const Session& s) const {
  return s.keep_alive && (stage_ < Stage::Closing || !s.parser.idle() || on_.network.unread(at));
}

void ClientServer::respond(SlotRef at, int status, const Headers& headers, std::string_view body) {
  auto it = sessions_.find(at);
  if (it == sessions_.end())
    return;
  if (it->second.transfer) {
    leave_upload(at, it->second);
    drop_transfer(at, it->second);
  }
  bool keep = keeps(at, it->second);
  on_.network.send(at, protocol::write_response(status, headers, body, keep));
  if (keep)
    return;
  forget(at);
  on_.network.finish(at);
}

// What makes no sense costs its sender the connection: what follows on it may be the rest of the
// same nonsense.
void ClientServer::respond_error(SlotRef at, int status, const std::string& why) {
  on_.log.line("client", std::to_string(status) + ": " + why);
  if (auto it = sessions_.find(at); it != sessions_.end())
    it->second.keep_alive = false;
  respond(at, status, kText, why);
}

void ClientServer::answer(routing::RequestRef command, int status, const Headers& headers,
                          std::string_view body) {
  auto it = waiting_.find(command);
  if (it == waiting_.end())
    return;
  SlotRef at = it->second;
  waiting_.erase(it);
  sessions_.at(at).command.reset();
  respond(at, status, headers, body);
  work(at);  // what the client sent ahead
}

void ClientServer::served(routing::RequestRef command, routing::Reply reply) {
  if (!reply.rest)
    return answer(command, 200, reply.fields, reply.body);
  auto it = waiting_.find(command);
  if (it == waiting_.end())
    return reply.rest->abandon();
  SlotRef at = it->second;
  waiting_.erase(it);
  Session& s = sessions_.at(at);
  s.command.reset();
  begin_reply(at, s, std::move(reply));
}

void ClientServer::reject(routing::RequestRef command, scheduling::Duration retry_after) {
  Headers headers;
  if (retry_after.count() > 0) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after.count() / 1000);
    headers.emplace_back("Retry-After", seconds);
  }
  answer(command, 503, headers, "refused; nothing of it has run");
}

void ClientServer::failed(routing::RequestRef command) {
  answer(command, 502, kText, "failed; it may have run");
}

void ClientServer::on_closed(SlotRef at, bool) {
  auto it = sessions_.find(at);
  if (it == sessions_.end())
    return;
  std::optional<routing::RequestRef> command = it->second.command;
  std::function<void()> left = std::move(it->second.left);
  forget(at);
  if (left)
    left();
  if (!command)
    return;
  waiting_.erase(*command);
  router_->client_gone(*command);
}

void ClientServer::forget(SlotRef at) {
  auto it = sessions_.find(at);
  leave_orders(it->second);
  drop_transfer(at, it->second);
  on_.deadlines.drop(it->second.slow);
  on_.deadlines.drop(it->second.more);
  sessions_.erase(it);
}

void ClientServer::note_idle(SlotRef at, Session& s) {
  if (s.place != 0)
    return;
  s.place = ++order_;
  idle_[s.place] = at;
}

void ClientServer::leave_orders(Session& s) {
  fresh_.erase(s.place);
  idle_.erase(s.place);
  s.place = 0;
}

// Those that have never said anything go first, then those between two requests, then those whose
// first request does not come whole. What has sent something that is still to be read is left
// alone: it may be an ordinary client's request, and the first one on a connection is not sent
// again.
bool ClientServer::shed_idle() {
  return shed_one(fresh_, true) || shed_one(idle_, true) || shed_one(fresh_, false);
}

bool ClientServer::shed_one(const Order& from, bool silent_only) {
  for (auto [place, at] : from) {
    if ((silent_only && !sessions_.at(at).parser.idle()) || on_.network.unread(at))
      continue;
    on_.log.line("shed", "a client connection without a request was closed to make room");
    forget(at);
    on_.network.close(at);
    return true;
  }
  return false;
}

void ClientServer::pass_on(PassOn pass) {
  pass_ = std::move(pass);
  std::vector<SlotRef> all;
  for (const auto& [at, s] : sessions_)
    all.push_back(at);
  for (SlotRef at : all)
    try_pass(at);
}

bool ClientServer::try_pass(SlotRef at) {
  auto it = sessions_.find(at);
  if (!pass_ || it == sessions_.end())
    return false;
  Session& s = it->second;
  if (s.command || s.transfer || s.asks || s.more.order != 0)
    return false;
  std::optional<std::string> unread = s.parser.unread();
  if (!unread)
    return false;
  transport::Descriptor connection = on_.network.release(at);
  if (!connection)
    return false;
  bool used = !fresh_.contains(s.place);
  forget(at);
  pass_(std::move(connection), std::move(*unread), used);
  return true;
}

std::optional<ClientServer::ReleasedConnection> ClientServer::release_connection(
    routing::RequestRef command) {
  auto it = waiting_.find(command);
  if (it == waiting_.end())
    return std::nullopt;
  SlotRef at = it->second;
  Session& s = sessions_.at(at);
  std::optional<std::string> unread = s.parser.unread();
  if (s.transfer || !unread)
    return std::nullopt;
  ReleasedConnection p{on_.network.release(at), std::move(*unread), s.keep_alive, s.old};
  if (!p.connection)
    return std::nullopt;
  waiting_.erase(it);
  forget(at);
  return p;
}

void ClientServer::adopt_request_connection(SlotRef at, const ReleasedConnection& as,
                                            std::function<void()> left) {
  Session& s = begin(at);
  s.keep_alive = as.keep_alive;
  s.old = as.old;
  s.asks = true;
  s.left = std::move(left);
  feed(s, as.unread);
}

void ClientServer::answer_adopted(SlotRef at, int status, std::string_view body) {
  auto it = sessions_.find(at);
  if (it == sessions_.end())
    return;
  it->second.asks = false;
  it->second.left = nullptr;
  respond(at, status, {}, body);
  work(at);
}

void ClientServer::adopt(SlotRef at, std::string_view unread, bool used) {
  if (used) {
    begin(at);
  } else {
    on_accepted(at);
  }
  on_bytes(at, unread);
}

void ClientServer::close_connections() {
  stage_ = std::max(stage_, Stage::Closing);
  finish_all(idle_);
  finish_all(fresh_);
}

void ClientServer::finish_all(Order from) {  // a copy: each leaves its order
  for (auto [place, at] : from) {
    if (sessions_.at(at).parser.idle() && !on_.network.unread(at)) {
      forget(at);
      on_.network.finish(at);
    }
  }
}

}  // namespace dispatcher::http

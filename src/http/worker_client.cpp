#include "http/worker_client.h"

#include <algorithm>

namespace dispatcher::http {

using protocol::Message;
using routing::AttemptRef;
using scheduling::Outcome;
using transport::SlotRef;

namespace {

bool is_reply(const Message& head) {
  return head.status == 200;
}

constexpr std::size_t kMostIdle = 2;  // pooled connections a worker, for probes and withdrawals
// How long a submit's last byte is held back on a connection that has come up: a worker that
// resets connections does so within this of the first bytes.
constexpr transport::Duration kHeldBack{3};

}  // namespace

void WorkerClient::update(const protocol::EndpointUpdate& list) {
  if (list.whole) {
    for (auto& [uid, i] : workers_)
      i.gone = true;
  }
  for (const protocol::WorkerEndpoint& l : list.entries) {
    Worker& i = workers_[l.uid];
    i.gone = l.entry.readiness == scheduling::Readiness::Removed;
    // Connections to a process that has been replaced are dead, even where its machine never said
    // so.
    bool moved = !l.address.empty() && l.address != i.address;
    bool replaced = moved || l.entry.online_since != i.online_since;
    if (replaced)
      close_pool(i);
    i.closed |= replaced || l.entry.readiness != scheduling::Readiness::Ready;
    if (moved)
      i.address = l.address;
    i.online_since = l.entry.online_since;
  }
  for (auto it = workers_.begin(); it != workers_.end();) {
    if (it->second.gone) {
      it->second.closed = true;
      close_pool(it->second);
    }
    it = it->second.gone && it->second.attempts == 0 ? workers_.erase(it) : std::next(it);
  }
}

// Guards the drain rule and cold workers: a connection may come up long after it was asked for,
// and what goes out with it then is a send of that moment.
void WorkerClient::recall() {
  std::vector<AttemptRef> late;
  for (const auto& [at, c] : calls_) {
    if (c.attempt && c.cargo && workers_.at(c.worker).closed)
      late.push_back(*c.attempt);
  }
  for (auto& [uid, i] : workers_)
    i.closed = false;
  for (AttemptRef attempt : late) {
    if (!active_.contains(attempt))
      continue;  // an earlier one's end has given it up
    give_up(attempt);
    router_->attempt_ended(attempt, Outcome::NotSent, {});
  }
}

void WorkerClient::submit(AttemptRef attempt, const std::string& worker,
                          std::shared_ptr<const routing::RequestPayload> cargo,
                          scheduling::Time ends) {
  auto it = workers_.find(worker);
  if (it == workers_.end())
    return router_->attempt_ended(attempt, Outcome::ConnectFailed, {});
  const auto& http = static_cast<const HttpRequestPayload&>(*cargo);
  // From its first byte; where that has been let go, routing has not asked for this.
  if (cargo->upload && !cargo->upload->rewind())
    return router_->attempt_ended(attempt, Outcome::ConnectFailed, {});
  ++it->second.attempts;
  active_[attempt] = {worker, http.command.id, std::nullopt};
  Call c;
  c.kind = Kind::Submit;
  c.worker = worker;
  c.attempt = attempt;
  c.reply = cargo->reply;
  c.cargo = cargo;
  c.ends = ends;
  if (streaming_)
    c.parser.stream(is_reply, streaming_->most_body);
  if (cargo->upload)
    c.stream = std::make_unique<Stream>(upload_stream(http));
  if (call(std::move(c), {})) {
    if (cargo->upload)
      cargo->upload->begin();
    return;
  }
  release(attempt);
  router_->attempt_ended(attempt, Outcome::ConnectFailed, {});
}

void WorkerClient::check_health(const std::string& worker) {
  auto it = workers_.find(worker);
  Call c;
  c.kind = Kind::HealthCheck;
  c.worker = worker;
  if (it == workers_.end() ||
      !call(std::move(c), protocol::write_health_check(times_.reports, it->second.address)))
    router_->health_check_ended(worker, Outcome::ConnectFailed, {});
}

// Before the 202 closing the connection gives the attempt up; after it a call of its own does.
// Guards against a job that runs on beside its next attempt: what says 202 may lie unread, so it is
// read first (the sockets come first in the next turn), and where an answer has come in part, both
// are done.
void WorkerClient::cancel(AttemptRef attempt) {
  auto it = active_.find(attempt);
  if (it == active_.end())
    return;
  Active& a = it->second;
  if (a.connection) {
    bool run = fully_sent(attempt);
    if (run && on_.network.unread(*a.connection)) {
      on_.deadlines.drop(a.again);
      a.again = on_.deadlines.add(on_.clock.now(), [this, attempt] { cancel(attempt); });
      return;
    }
    if (!run || calls_.at(*a.connection).parser.idle()) {
      give_up(attempt);
      return router_->attempt_ended(attempt, run ? Outcome::Cancelled : Outcome::NotSent, {});
    }
    hang_up(*std::exchange(a.connection, std::nullopt));
  }
  if (!std::exchange(a.cancelled, true))
    send_cancellation(attempt);
}

void WorkerClient::give_up(AttemptRef attempt) {
  hang_up(*release(attempt)->connection);
}

void WorkerClient::hang_up(SlotRef at) {
  bool streams = calls_.at(at).stream != nullptr;
  drop_call(at);
  if (streams) {
    on_.network.reset(at);
  } else {
    on_.network.close(at);
  }
}

// Until it is written the attempt is still there, and nothing else of the command may go to that
// worker. So it is tried until it is, or until the attempt is over.
void WorkerClient::send_cancellation(AttemptRef attempt) {
  auto it = active_.find(attempt);
  if (it == active_.end())
    return;
  it->second.again = {};
  Call c;
  c.kind = Kind::Cancel;
  c.worker = it->second.worker;
  c.gives_up = attempt;
  const std::string& address = workers_.at(it->second.worker).address;
  if (!call(std::move(c), protocol::write_cancellation(it->second.id, address)))
    tell_again(attempt);
}

void WorkerClient::tell_again(AttemptRef attempt) {
  if (auto it = active_.find(attempt); it != active_.end()) {
    it->second.again = on_.deadlines.add(on_.clock.now() + times_.probe,
                                         [this, attempt] { send_cancellation(attempt); });
  }
}

void WorkerClient::given_up(Call& c) {
  if (!c.gives_up)
    return;
  AttemptRef attempt = *std::exchange(c.gives_up, std::nullopt);
  if (release(attempt))
    router_->attempt_ended(attempt, Outcome::Cancelled, {});
}

void WorkerClient::cancel_job(const std::string& worker, const std::string& id) {
  auto it = workers_.find(worker);
  if (it == workers_.end())
    return;
  Call c;
  c.kind = Kind::Cancel;
  c.worker = worker;
  call(std::move(c), protocol::write_cancellation(id, it->second.address));
}

bool WorkerClient::is_accepted(AttemptRef attempt) const {
  auto it = active_.find(attempt);
  return it != active_.end() && !it->second.connection && !it->second.cancelled;
}

bool WorkerClient::fully_sent(AttemptRef attempt) const {
  auto it = active_.find(attempt);
  return it == active_.end() || !it->second.connection ||
         fully_sent(calls_.at(*it->second.connection));
}

bool WorkerClient::fully_sent(const Call& c) const {
  return !c.cargo && c.last.empty() && (!c.stream || !c.stream->upload || c.stream->sent);
}

void WorkerClient::forget_attempt(AttemptRef attempt) {
  if (!fully_sent(attempt))
    return give_up(attempt);  // what ended it was told of an earlier attempt there
  std::optional<Active> a = release(attempt);
  if (!a || !a->connection)
    return;
  // A call-back can overtake the 202: the call goes on without its attempt, so that the connection
  // is kept. It gets an end of its own now: a worker that never answers must not keep the
  // descriptor.
  Call& c = calls_.at(*a->connection);
  c.attempt.reset();
  c.answer = on_.deadlines.add(on_.clock.now() + times_.probe,
                               [this, r = *a->connection] { end(r, Outcome::TimedOut); });
}

std::optional<WorkerClient::Active> WorkerClient::release(AttemptRef attempt) {
  auto it = active_.find(attempt);
  if (it == active_.end())
    return std::nullopt;
  Active a = std::move(it->second);
  active_.erase(it);
  on_.deadlines.drop(a.again);
  if (auto i = workers_.find(a.worker); i != workers_.end())
    --i->second.attempts;
  return a;
}

// Guards commands that must not run twice. What is written to a used connection that has gone stale
// or silent is lost without a proof, and a new one that does not come up is a proof: so each
// attempt has a new connection. And a worker begins a request with its last byte, so that one is
// held back until the connection has shown that it stands: a reset before it proves that the job
// never began.
bool WorkerClient::call(Call c, std::string bytes) {
  Worker& i = workers_.at(c.worker);
  std::optional<SlotRef> at;
  bool fresh = i.idle.empty() || c.kind == Kind::Submit;
  if (fresh) {
    at = on_.network.connect(i.address, *this, transport::Urgency::Normal);
    // Guards attempts where descriptors are few: what lies idle must not keep one from going out.
    if (!at && !pooled_.empty()) {
      SlotRef idle = pooled_.begin()->first;
      take_from_pool(idle);
      on_.network.close(idle);
      at = on_.network.connect(i.address, *this, transport::Urgency::Normal);
    }
    if (!at) {
      on_.log.line("instance", c.worker + ": no connection to be had to " + i.address);
      return false;
    }
    c.connect = on_.deadlines.add(on_.clock.now() + times_.connect,
                                  [this, r = *at] { end(r, Outcome::ConnectFailed); });
  } else {
    at = i.idle.back().connection;
    take_from_pool(*at);
  }
  // An attempt waits as long as the scheduler lets it; the other calls are ours to end.
  if (c.kind != Kind::Submit) {
    c.answer = on_.deadlines.add(on_.clock.now() + times_.probe,
                                 [this, r = *at] { end(r, Outcome::TimedOut); });
  }
  if (c.attempt)
    active_.at(*c.attempt).connection = at;
  if (!fresh)
    c.bytes = bytes;
  Call& kept = calls_.emplace(*at, std::move(c)).first->second;
  if (kept.kind == Kind::Submit)
    return true;  // written when its connection is up
  on_.network.send(*at, std::move(bytes));
  note_written(*at, kept);
  return true;
}

// Not before the connection is up: the time that the worker is told is what is left then, but for
// the last byte's wait.
void WorkerClient::write_head(SlotRef at, Call& c) {
  const auto& cargo = static_cast<const HttpRequestPayload&>(*c.cargo);
  const std::string& address = workers_.at(c.worker).address;
  scheduling::Duration left = c.ends - on_.clock.now() - kHeldBack;
  std::string bytes = c.stream
                          ? protocol::write_submit_head(cargo.command, address, left, cargo.length)
                          : protocol::write_submit(cargo.command, address, left);
  if (!c.stream) {
    c.last = bytes.back();
    bytes.pop_back();
  }
  c.cargo.reset();
  on_.network.send(at, std::move(bytes));
}

void WorkerClient::on_connected(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end())
    return;
  on_.deadlines.drop(it->second.connect);
  if (it->second.kind != Kind::Submit)
    return note_written(at, it->second);
  write_head(at, it->second);
  it->second.commit = on_.deadlines.add(on_.clock.now() + kHeldBack, [this, at] { commit(at); });
  begin_upload(at);
}

void WorkerClient::commit(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end())
    return;
  it->second.commit = {};
  if (it->second.stream)
    return commit_upload(at, *it->second.stream);
  // It may have closed by now: a last byte that meets that is lost without a proof. The sockets
  // come first in the next turn.
  if (on_.network.unread(at)) {
    it->second.commit = on_.deadlines.add(on_.clock.now(), [this, at] { commit(at); });
    return;
  }
  on_.network.send(at, std::exchange(it->second.last, {}));
  note_written(at, it->second);
}

void WorkerClient::note_written(SlotRef at, Call& c) {
  if (c.connect.order != 0 || on_.network.unsent(at) > 0)
    return;
  if (c.kind == Kind::Cancel)
    return given_up(c);
  if (c.kind == Kind::Submit && !c.relayed && fully_sent(c)) {
    c.relayed = true;
    ++on_.metrics.relayed;
  }
}

void WorkerClient::on_bytes(SlotRef at, std::string_view bytes) {
  auto it = calls_.find(at);
  if (it == calls_.end()) {  // nothing was asked: whatever this answers, it is not our next call
    take_from_pool(at);
    on_.network.close(at);
    return;
  }
  if (it->second.stream && it->second.stream->reply)
    return on_reply(at, bytes);
  it->second.parser.feed(bytes);
  try {
    while (std::optional<Message> m = it->second.parser.next()) {
      if (m->streamed)
        return begin_reply(at, std::move(*m));
      if (m->status / 100 != 1)
        return on_message(at, *m);
    }
  } catch (const protocol::HttpError& e) {
    on_.log.line("instance", it->second.worker + ": malformed answer: " + e.what());
    return end(at, Outcome::Failure);
  }
  pump_upload(at);  // its last byte may have waited for this to be read
}

void WorkerClient::on_message(SlotRef at, const Message& m) {
  // Answered before all of its upload went out: a taken job gets the rest, any other ends with its
  // connection.
  bool whole = !calls_.at(at).stream || !calls_.at(at).stream->upload;
  // And one that a last byte is still held back from has not begun, whatever it says.
  bool never = !calls_.at(at).last.empty();
  if (!whole && m.status == 202 && calls_.at(at).attempt) {
    calls_.at(at).taken = true;
    calls_.at(at).keep = m.keep_alive;
    return pump_upload(at);
  }
  Call c = std::move(calls_.at(at));
  drop_stream(c);
  drop_call(at);
  keep_or_close(at, c.worker, whole && m.keep_alive && c.parser.idle() && c.last.empty());
  if (c.kind == Kind::HealthCheck) {
    auto answer = protocol::parse_health_check_answer(m, on_.words);
    return router_->health_check_ended(c.worker, *answer.end, answer.report);
  }
  given_up(c);
  if (!c.attempt)
    return;
  auto answer = protocol::parse_submit_answer(m, on_.words, streaming_.has_value());
  if (never && answer.end != Outcome::Rejected) {
    on_.log.line("instance", c.worker + ": answered before it had the whole command");
    answer.end = Outcome::ConnectFailed;
  }
  if (!answer.end) {
    active_.at(*c.attempt).connection.reset();  // taken: its call-backs tell the rest
    return;
  }
  release(*c.attempt);
  routing::Reply reply;
  if (answer.end == Outcome::Success) {
    reply.fields = protocol::content_fields(m.headers);
    reply.body = m.body;
  }
  router_->attempt_ended(*c.attempt, *answer.end, answer.report, std::move(reply));
}

// A break before the last byte went out proves that the job never began; after it nothing does.
void WorkerClient::on_closed(SlotRef at, bool all_written) {
  auto it = calls_.find(at);
  if (it == calls_.end())
    return take_from_pool(at);
  if (it->second.stream && it->second.stream->reply) {
    it->second.stream->reader.closed();
    it->second.keep = false;
    return it->second.stream->reader.done() ? end_reply(at) : break_reply(at);
  }
  std::optional<Message> last = it->second.parser.at_end();
  if (last)
    return on_message(at, *last);
  Call c = std::move(it->second);
  drop_call(at);
  // A used connection may have been closed before it was asked for this: probes and withdrawals may
  // be repeated.
  if (std::string again = std::exchange(c.bytes, {});
      !again.empty() && workers_.contains(c.worker)) {
    close_pool(workers_.at(c.worker));
    Call once_more;
    once_more.kind = c.kind;
    once_more.worker = c.worker;
    once_more.gives_up = c.gives_up;
    if (call(std::move(once_more), std::move(again)))
      return;
    return report_end(c, Outcome::ConnectFailed, {});
  }
  bool may_run = all_written && fully_sent(c);
  drop_stream(c);
  report_end(c, may_run ? Outcome::ConnectionReset : Outcome::ConnectFailed, {});
}

void WorkerClient::end(SlotRef at, Outcome outcome) {
  auto it = calls_.find(at);
  if (it == calls_.end())
    return;
  Call c = std::move(it->second);
  bool streams = c.stream != nullptr;
  drop_stream(c);
  drop_call(at);
  if (streams) {
    on_.network.reset(at);
  } else {
    on_.network.close(at);
  }
  // Guards jobs that must not run twice: a machine that says nothing may have vanished, and what is
  // written to its open connections is lost without a proof. A new connection to it fails, and that
  // is one.
  bool silent = outcome == Outcome::TimedOut || outcome == Outcome::ConnectFailed;
  if (auto i = workers_.find(c.worker); silent && i != workers_.end())
    close_pool(i->second);
  report_end(c, outcome, {});
}

void WorkerClient::report_end(const Call& c, Outcome outcome,
                              const scheduling::LoadReport& report) {
  if (c.kind == Kind::HealthCheck)
    return router_->health_check_ended(c.worker, outcome, report);
  if (c.gives_up)
    tell_again(*c.gives_up);
  if (!c.attempt)
    return;
  release(*c.attempt);
  router_->attempt_ended(*c.attempt, outcome, report);
}

void WorkerClient::drop_call(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end())
    return;
  drop_stream(it->second);
  on_.deadlines.drop(it->second.connect);
  on_.deadlines.drop(it->second.commit);
  on_.deadlines.drop(it->second.answer);
  calls_.erase(it);
}

// Retired well before the worker's machine would close it: a call written to a closed connection
// ends as broken, and a job that must not run twice is then lost.
void WorkerClient::keep_or_close(SlotRef at, const std::string& worker, bool keep) {
  auto it = workers_.find(worker);
  if (!keep || it == workers_.end() || it->second.gone)
    return on_.network.close(at);
  if (it->second.idle.size() >= kMostIdle) {  // the latest used are the likeliest to be alive
    SlotRef oldest = it->second.idle.front().connection;
    take_from_pool(oldest);
    on_.network.close(oldest);
  }
  auto retire = on_.deadlines.add(on_.clock.now() + times_.idle, [this, at] {
    take_from_pool(at);
    on_.network.close(at);
  });
  it->second.idle.push_back({at, retire});
  pooled_[at] = worker;
}

void WorkerClient::take_from_pool(SlotRef at) {
  auto it = pooled_.find(at);
  if (it == pooled_.end())
    return;
  auto& idle = workers_.at(it->second).idle;
  auto found = std::ranges::find(idle, at, &Idle::connection);
  on_.deadlines.drop(found->retire);
  idle.erase(found);
  pooled_.erase(it);
}

void WorkerClient::close_pool(Worker& i) {
  for (Idle& idle : i.idle) {
    on_.deadlines.drop(idle.retire);
    pooled_.erase(idle.connection);
    on_.network.close(idle.connection);
  }
  i.idle.clear();
}

}  // namespace dispatcher::http

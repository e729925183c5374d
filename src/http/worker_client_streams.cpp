// The worker side of bodies that pass through: a worker is the sink of an upload and the
// source of its reply.
#include "http/worker_client.h"

namespace dispatcher::http {

using protocol::Framing;
using protocol::Message;
using routing::AttemptRef;
using scheduling::Outcome;
using transport::SlotRef;

// The head has been given to the connection; the body follows once that has come up, so that
// nothing of the body is taken by one that never does.
WorkerClient::Stream WorkerClient::upload_stream(const HttpRequestPayload& cargo) {
  Stream s;
  s.length = cargo.length;
  s.upload.emplace(cargo.upload, cargo.length ? Framing::Length : Framing::Chunked);
  if (cargo.length)
    s.upload->keep_last(*cargo.length);
  return s;
}

void WorkerClient::begin_upload(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end() || !it->second.stream || !it->second.stream->upload)
    return;
  Stream& s = *it->second.stream;
  s.up = true;
  s.upload->pipe()->on_data = [this, at] {
    pump_upload(at);
  };
  watch_stall(at, s);
  pump_upload(at);
}

// A job begins with its last byte: the last one of the body, or of its framing, waits for the
// commit.
void WorkerClient::pump_upload(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end() || !it->second.stream || !it->second.stream->upload ||
      !it->second.stream->up)
    return;
  Stream& s = *it->second.stream;
  s.upload->pump(on_.network, at);
  // The worker may have closed, and the client's last bytes have been read before that has been:
  // a last byte written now would be lost without a proof. on_bytes() or on_closed() comes first.
  if (!s.sent && s.committed && s.upload->at_last() && !on_.network.unread(at)) {
    s.upload->let_last_go();
    s.upload->pump(on_.network, at);
    s.sent = true;
    on_.network.send(at, s.upload->end());
  }
  s.uploads.wait(on_.clock.now(), on_.network.unsent(at) > 0);
  if (!s.sent || on_.network.unsent(at) > 0)
    return;
  note_written(at, it->second);
  s.upload->pipe()->on_data = nullptr;
  s.upload.reset();
  on_.network.bulk(at, false);
  if (it->second.taken)
    finish_taken(at);
}

void WorkerClient::commit_upload(SlotRef at, Stream& s) {
  s.committed = true;
  pump_upload(at);
}

// It took the job before it had all of it; now it has, and its call-backs tell the rest.
void WorkerClient::finish_taken(SlotRef at) {
  Call c = std::move(calls_.at(at));
  if (c.attempt)
    active_.at(*c.attempt).connection.reset();
  drop_call(at);
  keep_or_close(at, c.worker, c.keep);
}

// The reply is answered with its head: from here on the attempt has ended as served, and what goes
// wrong is told to the client by cutting it.
void WorkerClient::begin_reply(SlotRef at, Message m) {
  Call& c = calls_.at(at);
  std::optional<AttemptRef> attempt = std::exchange(c.attempt, std::nullopt);
  std::shared_ptr<streaming::Pipe> pipe = attempt ? c.reply : nullptr;
  if (!pipe || pipe->abandoned()) {
    if (attempt) {
      release(*attempt);
      router_->attempt_ended(*attempt, Outcome::Cancelled, {});
    }
    drop_call(at);
    return on_.network.reset(at);
  }
  release(*attempt);
  auto answer = protocol::parse_submit_answer(m, on_.words, true);
  if (!c.stream)
    c.stream = std::make_unique<Stream>();
  Stream& s = *c.stream;
  // It answers before it had everything: the rest is not sent any more, and this connection ends
  // with it.
  c.keep = m.keep_alive && (!s.upload || s.sent) && c.last.empty();
  if (s.upload) {
    s.upload->pipe()->on_data = nullptr;
    s.upload->pipe()->abandon();
    s.upload.reset();
  }
  on_.deadlines.drop(c.connect);
  on_.deadlines.drop(c.commit);
  on_.deadlines.drop(c.answer);
  s.reply = pipe;
  s.reader = c.parser.pass();
  if (s.stall.order == 0)
    watch_stall(at, s);
  pipe->append(m.body);
  routing::Reply reply;
  reply.fields = protocol::content_fields(m.headers);
  if (s.reader.framing() == Framing::Length)
    reply.length = s.reader.length();
  reply.rest = pipe;
  if (s.reader.done()) {
    end_reply(at);
  } else {
    pipe->on_room = [this, at] {
      reply_room(at);
    };
    reply_room(at);
  }
  router_->attempt_ended(*attempt, *answer.end, answer.report, std::move(reply));
}

void WorkerClient::reply_room(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end() || !it->second.stream || !it->second.stream->reply)
    return;
  Stream& s = *it->second.stream;
  if (s.reply->abandoned()) {  // the client has left, or was cut
    drop_call(at);
    return on_.network.reset(at);
  }
  std::size_t room = s.reply->room();
  on_.network.grant(at, room);
  s.replies.wait(on_.clock.now(), room > 0);
}

void WorkerClient::on_reply(SlotRef at, std::string_view bytes) {
  Call& c = calls_.at(at);
  Stream& s = *c.stream;
  std::shared_ptr<streaming::Pipe> pipe = s.reply;
  s.replies.moved(on_.clock.now());
  std::size_t used = 0;
  try {
    used = s.reader.read(bytes, [&](std::string_view body) { pipe->append(body); });
    if (pipe->appended() > kLong)
      on_.network.bulk(at, true);
  } catch (const protocol::HttpError& e) {
    on_.log.line("instance", c.worker + ": malformed reply: " + e.what());
    return break_reply(at);
  }
  auto it = calls_.find(at);  // the client's side may have given it up meanwhile
  if (it == calls_.end())
    return;
  if (!it->second.stream->reader.done())
    return reply_room(at);
  if (used < bytes.size())
    it->second.keep = false;
  end_reply(at);
}

void WorkerClient::end_reply(SlotRef at) {
  Call c = std::move(calls_.at(at));
  std::shared_ptr<streaming::Pipe> pipe = c.stream->reply;
  drop_stream(c);
  drop_call(at);
  on_.network.bulk(at, false);
  on_.network.hold(at, false);
  keep_or_close(at, c.worker, c.keep);
  pipe->finish();
}

void WorkerClient::break_reply(SlotRef at) {
  auto it = calls_.find(at);
  std::shared_ptr<streaming::Pipe> pipe = it->second.stream->reply;
  drop_call(at);
  on_.network.reset(at);
  pipe->break_off();
}

void WorkerClient::on_written(SlotRef at) {
  auto it = calls_.find(at);
  if (it == calls_.end())
    return;
  if (!it->second.stream)
    return note_written(at, it->second);
  it->second.stream->uploads.moved(on_.clock.now());
  pump_upload(at);
}

void WorkerClient::watch_stall(SlotRef at, Stream& s) {
  s.stall = on_.deadlines.add(on_.clock.now() + streaming_->stall / 4, [this, at] {
    auto it = calls_.find(at);
    if (it == calls_.end() || !it->second.stream)
      return;
    Stream& s = *it->second.stream;
    s.stall = {};
    transport::Time now = on_.clock.now();
    if (s.replies.stalled(now, streaming_->stall)) {
      on_.log.line("stream", it->second.worker + ": its reply stalled");
      return break_reply(at);
    }
    if (s.uploads.stalled(now, streaming_->stall)) {
      on_.log.line("stream", it->second.worker + ": it takes no more of an upload");
      return end(at, Outcome::ConnectFailed);  // not the last byte: the job has not begun
    }
    watch_stall(at, s);
  });
}

void WorkerClient::drop_stream(Call& c) {
  if (!c.stream)
    return;
  on_.deadlines.drop(c.stream->stall);
  if (c.stream->upload)
    c.stream->upload->pipe()->on_data = nullptr;
  if (c.stream->reply)
    c.stream->reply->on_room = nullptr;
  c.stream.reset();
}

}  // namespace dispatcher::http

// The client side of bodies that pass through: a client is the source of its upload and the sink of
// its reply.
#include "http/client_server.h"

namespace dispatcher::http {

using protocol::Framing;
using protocol::Headers;
using protocol::Message;
using transport::SlotRef;

// Each order owns the memory for a reply that passes through, and where its body does, for that:
// nothing that has begun ever waits for memory that another holds.
bool ClientServer::give_pipes(HttpRequestPayload& cargo, bool uploads) {
  if (!on_streams_)
    return true;
  streaming::Budget& budget = *on_streams_->budget;
  if (!budget.spare(uploads ? 2 : 1))
    return false;
  if (uploads)
    cargo.upload = std::make_shared<streaming::Pipe>(*budget.open(), on_streams_->replay_bytes);
  cargo.reply = std::make_shared<streaming::Pipe>(*budget.open());
  return true;
}

// A deadline beyond the class's is for the way of the body: the scheduler counts with the class's
// patience.
void ClientServer::stretch_patience(scheduling::Request& request) const {
  scheduling::Duration left = std::min(request.timeout, on_streams_->longest);
  request.streamed = true;
  request.timeout = std::min(left, on_.words.deadlines[request.job_class]);
  request.transfer = left - request.timeout;
}

void ClientServer::begin_upload(SlotRef at, Session& s, std::shared_ptr<streaming::Pipe> upload,
                                std::string_view first, bool expects) {
  s.transfer = std::make_unique<Transfer>();
  Transfer& t = *s.transfer;
  t.reader = s.parser.pass();
  t.expects = expects && !t.reader.done();
  t.upload = std::move(upload);
  t.upload->append(first);
  t.upload->on_room = [this, at] {
    upload_room(at);
  };
  watch_stall(at, t);
  if (t.reader.done()) {
    t.upload->finish();
  } else {
    upload_room(at);
  }
}

// The client may send as much as the pipe has room for, and what it sends beyond waits in the
// network.
void ClientServer::upload_room(SlotRef at) {
  auto it = sessions_.find(at);
  if (it == sessions_.end() || !it->second.transfer)
    return;
  Transfer& t = *it->second.transfer;
  if (!t.upload || t.reader.done())
    return;
  if (t.expects && t.upload->wanted()) {
    t.expects = false;
    on_.network.send(at, protocol::write_response(100, {}, {}, true));
  }
  std::size_t room = t.upload->room();
  on_.network.grant(at, room);
  t.uploads.wait(on_.clock.now(), room > 0 && !t.expects);
}

void ClientServer::on_upload(SlotRef at, Session& s, std::string_view bytes) {
  Transfer& t = *s.transfer;
  if (!t.upload)
    return;  // answered before it was whole: what comes is thrown away
  std::shared_ptr<streaming::Pipe> upload = t.upload;  // what is told below may end the transfer
  std::size_t used = 0;
  t.uploads.moved(on_.clock.now());
  try {
    used = t.reader.read(bytes, [&](std::string_view body) { upload->append(body); });
    if (upload->appended() > kLong)
      on_.network.bulk(at, true);
  } catch (const protocol::HttpError& e) {
    return abort_upload(at, e.status, e.what());
  }
  auto it = sessions_.find(at);
  if (it == sessions_.end() || !it->second.transfer || !it->second.transfer->upload)
    return;
  if (!it->second.transfer->reader.done())
    return upload_room(at);
  it->second.transfer->uploads.wait(on_.clock.now(), false);
  feed(it->second, bytes.substr(used));
  hold(at, it->second, false);
  on_.network.hold(at, false);
  upload->finish();
}

// The body makes no sense or does not come: nothing of it has begun. Its attempt is cancelled
// first, so that the memory is back and the worker knows.
void ClientServer::abort_upload(SlotRef at, int status, const std::string& why) {
  auto it = sessions_.find(at);
  if (it == sessions_.end())
    return;
  std::optional<routing::RequestRef> command = std::exchange(it->second.command, std::nullopt);
  if (command)
    waiting_.erase(*command);
  if (command)
    router_->client_gone(*command);
  on_.log.line("stream", "an upload was cut: " + why);
  respond_error(at, status, why);
}

// What the client still sends of its upload when it is answered is nobody's.
void ClientServer::leave_upload(SlotRef at, Session& s) {
  Transfer& t = *s.transfer;
  if (!t.upload)
    return;
  t.upload->on_room = nullptr;
  if (!t.reader.done()) {
    s.keep_alive = false;
    t.upload->break_off();
    on_.network.hold(at,
                     true);  // until the answer has gone out; then it is thrown away for a while
  }
  t.upload.reset();
  t.uploads.wait(on_.clock.now(), false);
}

void ClientServer::begin_reply(SlotRef at, Session& s, routing::Reply reply) {
  bool fresh = !s.transfer;
  if (fresh)
    s.transfer = std::make_unique<Transfer>();
  Transfer& t = *s.transfer;
  leave_upload(at, s);
  Headers headers = std::move(reply.fields);
  // Without a length, one that knows no chunks is told by the close.
  Framing framing = reply.length ? Framing::Length : s.old ? Framing::UntilClose : Framing::Chunked;
  if (reply.length) {
    headers.emplace_back("Content-Length", std::to_string(*reply.length));
  } else if (framing == Framing::Chunked) {
    headers.emplace_back("Transfer-Encoding", "chunked");
  } else {
    s.keep_alive = false;
  }
  s.keep_alive = s.keep_alive && stage_ < Stage::Closing;
  t.reply.emplace(std::move(reply.rest), framing);
  t.reply->pipe()->on_data = [this, at] {
    pump_reply(at);
  };
  if (fresh)
    watch_stall(at, t);
  on_.network.send(at, protocol::write_response_head(200, headers, s.keep_alive));
  pump_reply(at);
}

void ClientServer::pump_reply(SlotRef at) {
  auto it = sessions_.find(at);
  if (it == sessions_.end() || !it->second.transfer || !it->second.transfer->reply)
    return;
  Transfer& t = *it->second.transfer;
  if (t.reply->pipe()->broken())
    return cut_reply(at, "the instance broke it off");
  t.reply->pump(on_.network, at);
  t.replies.wait(on_.clock.now(), on_.network.unsent(at) > 0);
  if (t.reply->taken_all() && !std::exchange(t.ended, true)) {
    on_.network.send(at, t.reply->end());
    t.replies.wait(on_.clock.now(), on_.network.unsent(at) > 0);
  }
  // Its memory is given back when the last byte has gone out, and not before.
  if (t.ended && on_.network.unsent(at) == 0)
    end_reply(at);
}

void ClientServer::end_reply(SlotRef at) {
  Session& s = sessions_.at(at);
  drop_transfer(at, s);
  if (!s.keep_alive || stage_ >= Stage::Closing) {
    forget(at);
    return on_.network.finish(at);
  }
  // Not from inside the pipe's call: what comes next may be a new command.
  s.more = on_.deadlines.add(on_.clock.now(), [this, at] {
    if (auto next = sessions_.find(at); next != sessions_.end())
      next->second.more = {}, work(at);
  });
}

// No second answer on this connection: it ends without its last chunk, or short of its length.
void ClientServer::cut_reply(SlotRef at, const std::string& why) {
  on_.log.line("stream", "a reply was cut, its order has failed: " + why);
  forget(at);
  on_.network.reset(at);
}

void ClientServer::cut_streams() {
  std::vector<SlotRef> open;
  for (auto& [at, s] : sessions_) {
    if (s.transfer && s.transfer->reply)
      open.push_back(at);
  }
  for (SlotRef at : open)
    cut_reply(at, "the time to end is over");
}

void ClientServer::on_written(SlotRef at) {
  auto it = sessions_.find(at);
  if (it == sessions_.end())
    return;
  if (!it->second.transfer)
    return void(try_pass(at));
  it->second.transfer->replies.moved(on_.clock.now());
  pump_reply(at);
}

// One timer for both directions, moved only when it fires: touching it for each piece would cost
// more than the piece.
void ClientServer::watch_stall(SlotRef at, Transfer& t) {
  t.stall = on_.deadlines.add(on_.clock.now() + on_streams_->stall / 4, [this, at] {
    auto it = sessions_.find(at);
    if (it == sessions_.end() || !it->second.transfer)
      return;
    Transfer& t = *it->second.transfer;
    t.stall = {};
    transport::Time now = on_.clock.now();
    if (t.replies.stalled(now, on_streams_->stall))
      return cut_reply(at, "the client takes nothing");
    if (t.uploads.stalled(now, on_streams_->stall))
      return abort_upload(at, 408, "the client sends nothing");
    watch_stall(at, t);
  });
}

void ClientServer::drop_transfer(SlotRef at, Session& s) {
  if (!s.transfer)
    return;
  Transfer& t = *s.transfer;
  if (t.upload) {
    t.upload->on_room = nullptr;
    if (!t.reader.done())
      t.upload->break_off();
  }
  if (t.reply) {
    t.reply->pipe()->on_data = nullptr;
    if (!t.reply->taken_all())
      t.reply->pipe()->abandon();
  }
  on_.deadlines.drop(t.stall);
  s.transfer.reset();
  on_.network.bulk(at, false);
}

}  // namespace dispatcher::http

// What the two HTTP sides share where bodies pass through: the settings, the memory, and how a
// connection takes what a pipe holds.
#pragma once

#include <memory>

#include "protocol/body.h"
#include "streaming/pipe.h"
#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

struct Streaming {              // there is one where the features file switches it on
  std::uint64_t most_body = 0;  // bytes
  std::size_t replay_bytes = 0;
  transport::Duration stall{0};    // a side that is waited for moves nothing for this long
  transport::Duration longest{0};  // X-Time-Left-Ms counts up to this
  std::shared_ptr<streaming::Budget> budget;
};

// A body is long from here on, in bytes: its connections then stand in the queue of the long ones.
// A small order whose body did not come with its head must not wait behind those.
constexpr std::uint64_t kLong = 64 << 10;

// A pipe's way out: puts a framing on and gives the connection what there is.
class Outflow {
 public:
  Outflow(std::shared_ptr<streaming::Pipe> pipe, protocol::Framing framing)
      : pipe_(std::move(pipe)), writer_(framing) {}

  // All but the last byte of a body of `length` goes out before that one is let go.
  void keep_last(std::uint64_t length) { kept_from_ = length > 0 ? length - 1 : UINT64_MAX; }
  void let_last_go() { kept_from_ = UINT64_MAX; }
  // What is left is the last byte, of the body or of its framing.
  bool at_last() const { return pipe_->whole() && (pipe_->taken() == kept_from_ || taken_all()); }
  // Guards the others against a long window that goes out at once: a share of it, the rest in its
  // next turn.
  void pump(transport::Network& network, transport::SlotRef at) {
    for (std::size_t moved = 0;;) {
      transport::Slice slice = pipe_->next(static_cast<std::size_t>(
          std::min<std::uint64_t>(SIZE_MAX, kept_from_ - std::min(kept_from_, pipe_->taken()))));
      if (slice.bytes.empty())
        break;
      moved += slice.bytes.size();
      writer_.piece(std::move(slice), [&](auto bytes) { network.send(at, std::move(bytes)); });
      if (network.unsent(at) > kAhead)
        break;  // the rest waits in the pipe, where the source sees it
      if (moved < kShare)
        continue;
      network.again(at);
      break;
    }
    if (pipe_->taken() > kLong)
      network.bulk(at, true);
    note_written(network, at);
  }
  bool taken_all() const { return pipe_->taken_all(); }
  std::string end() const { return writer_.end(); }
  const std::shared_ptr<streaming::Pipe>& pipe() const { return pipe_; }

 private:
  static constexpr std::size_t kAhead = 64 << 10;
  static constexpr std::size_t kShare = 64 << 10;
  // Framing counts as body here, so that never more is told as written than is.
  void note_written(transport::Network& network, transport::SlotRef at) {
    std::uint64_t unsent = network.unsent(at);
    std::uint64_t taken = pipe_->taken();
    pipe_->written(taken - std::min(taken, unsent));
  }

  std::shared_ptr<streaming::Pipe> pipe_;
  protocol::BodyWriter writer_;
  std::uint64_t kept_from_ = UINT64_MAX;
};

// When one side of one direction last moved something, and whether it is that side that is waited
// for.
class Progress {
 public:
  void wait(transport::Time now, bool waited_for) {
    if (waited_for && !waits_)
      moved_ = now;
    waits_ = waited_for;
  }
  void moved(transport::Time now) { moved_ = now; }
  bool stalled(transport::Time now, transport::Duration longest) const {
    return waits_ && now - moved_ >= longest;
  }

 private:
  bool waits_ = false;
  transport::Time moved_{};
};

}  // namespace dispatcher::http

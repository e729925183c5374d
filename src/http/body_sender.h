// Sends a body from a pipe to a connection with its HTTP framing.
#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "http/streams.h"
#include "protocol/body.h"
#include "streaming/pipe.h"
#include "transport/network.h"

namespace dispatcher::http {

class BodySender {
 public:
  BodySender(std::shared_ptr<streaming::Pipe> pipe, protocol::Framing framing)
      : pipe_(std::move(pipe)), writer_(framing) {}

  // Withholds the last byte of a body of `length` bytes until release_last_byte().
  void hold_back_last_byte(std::uint64_t length) {
    send_limit_ = length > 0 ? length - 1 : UINT64_MAX;
  }
  void release_last_byte() { send_limit_ = UINT64_MAX; }

  // Everything has been sent but the last byte of the body or of its framing.
  bool only_last_byte_left() const {
    return pipe_->complete() && (pipe_->taken_bytes() == send_limit_ || all_taken());
  }
  // The whole body has been passed to the connection.
  bool all_taken() const { return pipe_->taken_all(); }

  // Passes the pipe's bytes to the connection as far as its write buffer permits. Sends at most
  // kMaxBytesPerTurn per loop turn and schedules the rest, so that a large window does not delay
  // other connections.
  void send_available(transport::Network& network, transport::SlotRef connection) {
    for (std::size_t sent = 0;;) {
      transport::Slice slice = pipe_->take(bytes_until_limit());
      if (slice.bytes.empty())
        break;
      sent += slice.bytes.size();
      writer_.write(std::move(slice),
                    [&](auto bytes) { network.send(connection, std::move(bytes)); });
      if (network.unsent_bytes(connection) > kMaxUnsentBytes)
        break;  // the rest stays in the pipe, which slows its source down
      if (sent < kMaxBytesPerTurn)
        continue;
      network.schedule_on_written(connection);
      break;
    }
    if (pipe_->taken_bytes() > kBulkThresholdBytes)
      network.set_bulk(connection, true);
    report_written(network, connection);
  }

  // The bytes that the framing requires after the body.
  std::string terminator() const { return writer_.end_marker(); }
  const std::shared_ptr<streaming::Pipe>& pipe() const { return pipe_; }

 private:
  static constexpr std::size_t kMaxUnsentBytes = 64 << 10;
  static constexpr std::size_t kMaxBytesPerTurn = 64 << 10;

  std::size_t bytes_until_limit() const {
    std::uint64_t left = send_limit_ - std::min(send_limit_, pipe_->taken_bytes());
    return static_cast<std::size_t>(std::min<std::uint64_t>(SIZE_MAX, left));
  }
  // Unsent framing bytes count as unsent body, so that the reported number is never too high.
  void report_written(transport::Network& network, transport::SlotRef connection) {
    std::uint64_t unsent = network.unsent_bytes(connection);
    std::uint64_t taken = pipe_->taken_bytes();
    pipe_->mark_written(taken - std::min(taken, unsent));
  }

  std::shared_ptr<streaming::Pipe> pipe_;
  protocol::BodyWriter writer_;
  std::uint64_t send_limit_ = UINT64_MAX;  // offset in the body, bytes
};

}  // namespace dispatcher::http

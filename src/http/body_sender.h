// Moves a body from a pipe to a connection and adds its HTTP framing.
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

  // Sends a body of `length` bytes up to its last byte, until release_last_byte().
  void hold_back_last_byte(std::uint64_t length) {
    send_limit_ = length > 0 ? length - 1 : UINT64_MAX;
  }
  void release_last_byte() { send_limit_ = UINT64_MAX; }

  // Only the last byte, of the body or of its framing, has still to be sent.
  bool only_last_byte_left() const {
    return pipe_->complete() && (pipe_->taken_bytes() == send_limit_ || all_taken());
  }
  // All of the body has been given to the connection.
  bool all_taken() const { return pipe_->taken_all(); }

  // Gives the connection what the pipe has, as far as the connection's write buffer permits. Sends
  // at most kBytesPerTurn and schedules the rest, so that a long window does not delay the other
  // connections.
  void send_available(transport::Network& network, transport::SlotRef connection) {
    for (std::size_t sent = 0;;) {
      transport::Slice slice = pipe_->take(bytes_until_limit());
      if (slice.bytes.empty())
        break;
      sent += slice.bytes.size();
      writer_.piece(std::move(slice),
                    [&](auto bytes) { network.send(connection, std::move(bytes)); });
      if (network.unsent_bytes(connection) > kMaximumUnsentBytes)
        break;  // the rest waits in the pipe, where the source sees it
      if (sent < kBytesPerTurn)
        continue;
      network.schedule_on_written(connection);
      break;
    }
    if (pipe_->taken_bytes() > kBulkThresholdBytes)
      network.set_bulk(connection, true);
    report_written(network, connection);
  }

  // What the framing requires after the last byte of the body.
  std::string terminator() const { return writer_.end(); }
  const std::shared_ptr<streaming::Pipe>& pipe() const { return pipe_; }

 private:
  static constexpr std::size_t kMaximumUnsentBytes = 64 << 10;
  static constexpr std::size_t kBytesPerTurn = 64 << 10;

  std::size_t bytes_until_limit() const {
    std::uint64_t left = send_limit_ - std::min(send_limit_, pipe_->taken_bytes());
    return static_cast<std::size_t>(std::min<std::uint64_t>(SIZE_MAX, left));
  }
  // Framing counts as body here, so that never more is reported as written than is.
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

// Incremental handling of the body of an HTTP/1.1 message: a reader that removes the framing as
// bytes arrive, and a writer that adds it. Uses no sockets and no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/buffer.h"

namespace dispatcher::protocol {

enum class Framing { Length, Chunked, UntilClose };

class BodyReader {
 public:
  // For a message without a body.
  BodyReader() = default;
  // `length` applies to Framing::Length only. The constructor and read() throw HttpError 413 if the
  // body is longer than `max_bytes`.
  BodyReader(Framing framing, std::uint64_t length, std::uint64_t max_bytes);

  // Calls out(bytes) for the body bytes in `input`. Returns the number of input bytes consumed,
  // which is less than all of them only if the body ends earlier. Skips chunk extensions and
  // trailers. Throws HttpError.
  template <class Out>
  std::size_t read(std::string_view input, Out out) {
    std::size_t used = 0;
    while (used < input.size() && !done()) {
      std::string_view rest = input.substr(used);
      if (remaining_ > 0 || framing_ == Framing::UntilClose) {
        std::size_t count = data_bytes(rest.size());
        consume_data(count);
        out(rest.substr(0, count));
        used += count;
      } else {
        used += consume_framing(rest);
      }
    }
    return used;
  }
  bool done() const { return stage_ == Stage::Done; }
  // Call when the peer has closed the connection. This completes a body with Framing::UntilClose
  // and has no effect on others.
  void on_connection_closed();
  Framing framing() const { return framing_; }
  // The declared length, for Framing::Length.
  std::uint64_t length() const { return length_; }
  // Body bytes read so far.
  std::uint64_t bytes() const { return read_; }

 private:
  enum class Stage { Data, ChunkEnd, ChunkLine, Trailers, Done };

  std::size_t data_bytes(std::size_t available) const {
    if (framing_ == Framing::UntilClose)
      return available;
    return static_cast<std::size_t>(std::min<std::uint64_t>(available, remaining_));
  }
  void consume_data(std::size_t count);
  std::size_t consume_framing(std::string_view input);
  void on_framing_line(std::string_view text);
  void on_chunk_line(std::string_view text);

  Framing framing_ = Framing::Length;
  Stage stage_ = Stage::Done;
  std::uint64_t length_ = 0;
  std::uint64_t remaining_ = 0;  // bytes of the body, or of the current chunk
  std::uint64_t read_ = 0;
  std::uint64_t max_bytes_ = 0;
  std::string line_;  // current line of the framing, as far as it has arrived
  std::size_t trailer_bytes_ = 0;
};

// Adds the framing to a body. The caller sends end_marker() itself, since it may have to hold back
// the last byte.
class BodyWriter {
 public:
  explicit BodyWriter(Framing framing) : framing_(framing) {}
  // Calls send(std::string) for framing and send(transport::Slice) for body bytes.
  template <class Send>
  void write(transport::Slice bytes, Send send) const {
    if (framing_ != Framing::Chunked)
      return send(std::move(bytes));
    send(chunk_head(bytes.bytes.size()));
    send(std::move(bytes));
    send(std::string("\r\n"));
  }
  std::string end_marker() const { return framing_ == Framing::Chunked ? "0\r\n\r\n" : ""; }

 private:
  static std::string chunk_head(std::size_t size);
  Framing framing_;
};

}  // namespace dispatcher::protocol

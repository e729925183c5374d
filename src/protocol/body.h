// The body of an HTTP/1.1 message, piece by piece: a reader that removes the framing as bytes
// arrive, and a writer that adds it. No sockets, no clock.
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
  // Of a message without a body.
  BodyReader() = default;
  // `length` applies to Framing::Length. Throws HttpError 413 where the body is longer than
  // `maximum` bytes, here or in read().
  BodyReader(Framing framing, std::uint64_t length, std::uint64_t maximum);

  // Calls out(bytes) for what belongs to the body and returns how much of `input` is used: all of
  // it, unless the body ends before. Chunk extensions and trailers are skipped. Throws HttpError.
  template <class Out>
  std::size_t read(std::string_view input, Out out) {
    std::size_t used = 0;
    while (used < input.size() && !done()) {
      std::string_view rest = input.substr(used);
      if (left_ > 0 || framing_ == Framing::UntilClose) {
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
  // The peer has closed the connection: a body without a length ends here.
  void closed();
  Framing framing() const { return framing_; }
  // As declared, for Framing::Length.
  std::uint64_t length() const { return length_; }
  // Bytes of the body so far.
  std::uint64_t bytes() const { return read_; }

 private:
  enum class Stage { Data, ChunkEnd, ChunkLine, Trailers, Done };

  std::size_t data_bytes(std::size_t available) const {
    if (framing_ == Framing::UntilClose)
      return available;
    return static_cast<std::size_t>(std::min<std::uint64_t>(available, left_));
  }
  void consume_data(std::size_t count);
  std::size_t consume_framing(std::string_view input);
  void on_framing_line(std::string_view text);
  void on_chunk_line(std::string_view text);

  Framing framing_ = Framing::Length;
  Stage stage_ = Stage::Done;
  std::uint64_t length_ = 0;
  std::uint64_t left_ = 0;  // of the body or of the chunk
  std::uint64_t read_ = 0;
  std::uint64_t maximum_ = 0;
  std::string line_;  // of the framing, as far as it has arrived
  std::size_t trailer_bytes_ = 0;
};

// Adds a framing. The caller sends end() itself, as it may have to hold back the last byte.
class BodyWriter {
 public:
  explicit BodyWriter(Framing framing) : framing_(framing) {}
  // Calls send(std::string) and send(transport::Slice).
  template <class Send>
  void piece(transport::Slice bytes, Send send) const {
    if (framing_ != Framing::Chunked)
      return send(std::move(bytes));
    send(chunk_head(bytes.bytes.size()));
    send(std::move(bytes));
    send(std::string("\r\n"));
  }
  std::string end() const { return framing_ == Framing::Chunked ? "0\r\n\r\n" : ""; }

 private:
  static std::string chunk_head(std::size_t size);
  Framing framing_;
};

}  // namespace dispatcher::protocol

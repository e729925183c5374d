// The body of an HTTP/1.1 message, piece by piece: a reader that takes the framing off as bytes
// come, and a writer that puts one on. Bytes in, bytes out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "transport/buffer.h"

namespace dispatcher::protocol {

enum class Framing { Length, Chunked, UntilClose };

class BodyReader {
 public:
  BodyReader() = default;  // of a message without a body
  // `length` counts for Framing::Length. A longer body than `most` is an HttpError 413.
  BodyReader(Framing framing, std::uint64_t length, std::uint64_t most);

  // Calls out(bytes) for what belongs to the body and returns how much of `in` is used up: all of
  // it, unless the body ends before. Chunk extensions and trailers are read over. Throws HttpError.
  template <class Out>
  std::size_t read(std::string_view in, Out out) {
    std::size_t used = 0;
    while (used < in.size() && !done()) {
      std::string_view rest = in.substr(used);
      if (left_ > 0 || framing_ == Framing::UntilClose) {
        std::size_t n = framing_ == Framing::UntilClose
                            ? rest.size()
                            : std::min<std::uint64_t>(rest.size(), left_);
        count(n);
        out(rest.substr(0, n));
        used += n;
      } else {
        used += between(rest);
      }
    }
    return used;
  }
  bool done() const { return stage_ == Stage::Done; }
  void closed();  // the peer has closed: a body without a length ends here
  Framing framing() const { return framing_; }
  std::uint64_t length() const { return length_; }  // as declared, for Framing::Length
  std::uint64_t bytes() const { return read_; }     // of the body so far

 private:
  enum class Stage { Data, ChunkEnd, ChunkLine, Trailers, Done };
  void count(std::size_t n);
  std::size_t between(std::string_view in);
  void line(std::string_view text);

  Framing framing_ = Framing::Length;
  Stage stage_ = Stage::Done;
  std::uint64_t length_ = 0;
  std::uint64_t left_ = 0;
  std::uint64_t read_ = 0;
  std::uint64_t most_ = 0;
  std::string line_;  // of the framing, as far as it has come
  std::size_t trailer_bytes_ = 0;
};

// Puts a framing on. Its last byte goes out by itself where the caller wants to hold it back.
class BodyWriter {
 public:
  explicit BodyWriter(Framing framing) : framing_(framing) {}
  template <class Send>  // send(std::string) and send(Slice)
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

// HTTP/1.1 over bytes alone: an incremental parser for requests and responses, and the writer. No
// sockets, no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/body.h"

namespace dispatcher::protocol {

constexpr std::size_t kMostBody = 64 << 10;
constexpr std::size_t kMostHead = 16 << 10;

using Headers = std::vector<std::pair<std::string, std::string>>;

bool same_name(std::string_view a, std::string_view b);  // header names: case does not count

struct Message {
  std::string method;
  std::string target;  // of a request
  int status = 0;      // of a response
  Headers headers;
  std::string body;
  bool keep_alive = true;
  bool old = false;  // HTTP/1.0: knows no chunks
  bool streamed =
      false;  // only the head and what has come of the body; Parser::pass() has the rest

  // Empty when absent. A header given twice is read as its first.
  std::string_view header(std::string_view name) const;
  bool has(std::string_view name) const;
};

struct HttpError : std::runtime_error {  // `status`: what a server answers to it
  HttpError(int status, const std::string& what) : std::runtime_error(what), status(status) {}
  int status;
};

class Parser {
 public:
  enum class Kind { Request, Response };
  using Streams = bool (*)(const Message& head);
  explicit Parser(Kind kind, std::size_t most_body = kMostBody)
      : kind_(kind), most_body_(most_body) {}
  // Messages whose head `streams` accepts may have bodies of up to `most` bytes. They come whole
  // from next() where they are whole already and no longer than an ordinary one, else as a head
  // with `streamed` set.
  void stream(Streams streams, std::uint64_t most) { streams_ = streams, most_streamed_ = most; }

  void feed(std::string_view bytes) { buffer_ += bytes; }
  std::optional<Message> next();    // a whole message, if there is one; throws HttpError
  std::optional<Message> at_end();  // the peer has closed: a response without a length ends here
  bool idle() const { return stage_ == Stage::Head && buffer_.empty(); }
  // What has come of the next message, to be fed to another parser; nothing where it cannot be told
  // any more (in the middle of chunks, of a body that passes through, or of one that waits for "100
  // Continue").
  std::optional<std::string> unread() const;
  std::size_t buffered() const { return buffer_.size(); }
  bool take_continue();  // once for a head that says "Expect: 100-continue" and whose body is not
                         // here yet
  const BodyReader& passing() const { return body_; }
  BodyReader
  pass();  // after a streamed message: reads the rest of its body, then this parser goes on

 private:
  enum class Stage { Head, Body };

  bool head();
  void start_line(std::string_view line);
  void header_line(std::string_view line);
  void framing();
  Message take();

  Kind kind_;
  std::size_t most_body_;
  Streams streams_ = nullptr;
  std::uint64_t most_streamed_ = 0;
  std::string buffer_;
  std::size_t scanned_ = 0;
  Stage stage_ = Stage::Head;
  Message message_;
  BodyReader body_;
  bool expects_ = false;
  bool streams_this_ = false;
};

std::string write_request(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body);
std::string write_head(const std::string& first_line, const Headers& headers);
std::string write_response_head(int status, const Headers& headers, bool keep_alive);
std::string write_response(int status, const Headers& headers, std::string_view body,
                           bool keep_alive);

}  // namespace dispatcher::protocol

// HTTP/1.1 over bytes alone: an incremental parser for requests and responses, and writers. No
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

constexpr std::size_t kMaximumBodyBytes = 64 << 10;  // of a message that is not streamed
constexpr std::size_t kMaximumHeadBytes = 16 << 10;

using Headers = std::vector<std::pair<std::string, std::string>>;

// Compares names of headers, whose case does not count.
bool same_name(std::string_view left, std::string_view right);

struct Message {
  std::string method;  // of a request
  std::string target;  // of a request
  int status = 0;      // of a response
  Headers headers;
  std::string body;
  bool keep_alive = true;
  bool http_1_0 = false;
  // Only the head and the first part of the body are here; Parser::take_body_reader() reads the
  // rest.
  bool streamed = false;

  // Empty when absent. A header given twice is read as its first.
  std::string_view header(std::string_view name) const;
  bool has(std::string_view name) const;
};

// A message that is malformed or too long. `status`: what a server answers to it.
struct HttpError : std::runtime_error {
  HttpError(int response_status, const std::string& what)
      : std::runtime_error(what), status(response_status) {}
  int status;
};

class Parser {
 public:
  enum class Kind { Request, Response };
  using StreamFilter = bool (*)(const Message& head);

  explicit Parser(Kind kind, std::size_t maximum_body = kMaximumBodyBytes)
      : kind_(kind), maximum_body_(maximum_body) {}
  // Messages whose head the filter accepts may have bodies of up to `maximum` bytes. next() returns
  // one complete where it has arrived already and is no longer than an ordinary one, else as a head
  // with `streamed` set.
  void stream(StreamFilter filter, std::uint64_t maximum) {
    stream_filter_ = filter;
    maximum_streamed_body_ = maximum;
  }

  void feed(std::string_view bytes) { buffer_ += bytes; }
  // A complete message, if there is one. Throws HttpError.
  std::optional<Message> next();
  // The peer has closed the connection: a response without a length ends here.
  std::optional<Message> at_end();
  // Nothing of the next message has arrived.
  bool idle() const { return stage_ == Stage::Head && buffer_.empty(); }
  // What has arrived of the next message, to be fed to another parser. Nothing: it is not known any
  // more (within chunks, a streamed body, or one that waits for "100 Continue").
  std::optional<std::string> unread() const;
  std::size_t buffered() const { return buffer_.size(); }
  // True once, for a head with "Expect: 100-continue" whose body is not complete yet.
  bool take_continue();
  // Of a streamed message.
  const BodyReader& body_reader() const { return body_; }
  // After a streamed message: the result reads the rest of its body, then this parser goes on.
  BodyReader take_body_reader();

 private:
  enum class Stage { Head, Body };

  bool parse_head();
  void parse_start_line(std::string_view line);
  std::string_view parse_request_line(std::string_view line);
  std::string_view parse_status_line(std::string_view line);
  void parse_header_line(std::string_view line);
  void begin_body();
  Message take_message();

  Kind kind_;
  std::size_t maximum_body_;
  StreamFilter stream_filter_ = nullptr;
  std::uint64_t maximum_streamed_body_ = 0;
  std::string buffer_;
  std::size_t scanned_ = 0;  // bytes of the buffer without the end of the head
  Stage stage_ = Stage::Head;
  Message message_;
  BodyReader body_;
  bool expects_continue_ = false;
  bool streams_message_ = false;
};

std::string write_request(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body);
std::string write_head(const std::string& first_line, const Headers& headers);
std::string write_response_head(int status, const Headers& headers, bool keep_alive);
std::string write_response(int status, const Headers& headers, std::string_view body,
                           bool keep_alive);

}  // namespace dispatcher::protocol

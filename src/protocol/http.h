// HTTP/1.1 messages as bytes: an incremental parser for requests and responses, and functions that
// write them. Uses no sockets and no clock.
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

constexpr std::size_t kMaxBodyBytes = 64 << 10;  // for a message that is not streamed
constexpr std::size_t kMaxHeadBytes = 16 << 10;
// A parsed field takes 64 bytes and more, whatever its length on the wire.
constexpr std::size_t kMaxHeaderFields = 128;

using Headers = std::vector<std::pair<std::string, std::string>>;

// Compares header names case-insensitively (ASCII).
bool header_names_equal(std::string_view left, std::string_view right);

struct Message {
  std::string method;  // requests only
  std::string target;  // requests only
  int status = 0;      // responses only
  Headers headers;
  std::string body;
  bool keep_alive = true;
  bool http_1_0 = false;
  // True if the message holds only the head and the first part of the body. The reader returned by
  // Parser::take_body_reader() reads the rest.
  bool streamed = false;

  // Empty if the header is absent. Of repeated headers, the first one counts.
  std::string_view header(std::string_view name) const;
  bool has(std::string_view name) const;
};

// Thrown for a message that is malformed or too long. `status` is the status code with which a
// server responds to it.
struct HttpError : std::runtime_error {
  HttpError(int response_status, const std::string& what)
      : std::runtime_error(what), status(response_status) {}
  int status;
};

class Parser {
 public:
  enum class Kind { Request, Response };
  using StreamFilter = bool (*)(const Message& head);

  explicit Parser(Kind kind, std::size_t max_body_bytes = kMaxBodyBytes)
      : kind_(kind), max_body_bytes_(max_body_bytes) {}
  // Allows bodies of up to `max_body_bytes` for messages whose head the filter accepts. If such a
  // message has arrived completely and its body is within the ordinary limit, next() returns it
  // whole. Otherwise next() returns it as soon as its head is complete, with `streamed` set.
  void enable_streaming(StreamFilter filter, std::uint64_t max_body_bytes) {
    stream_filter_ = filter;
    max_streamed_body_bytes_ = max_body_bytes;
  }

  void feed(std::string_view bytes) { buffer_ += bytes; }
  // Returns the next message if it is complete or streamed. Throws HttpError.
  std::optional<Message> next();
  // Call when the peer has closed the connection. If a response without a declared length was being
  // received, the close completes it and the response is returned.
  std::optional<Message> next_at_close();
  // True if no bytes of the next message have arrived.
  bool idle() const { return stage_ == Stage::Head && buffer_.empty(); }
  // Returns the part of the next message that has arrived, to be fed to another parser. Returns
  // nullopt if that part cannot be reconstructed: in the body of a response, in a chunked or
  // streamed body, or if the head contains an Expect field (the client waits for "100 Continue").
  std::optional<std::string> unread() const;
  std::size_t buffered() const { return buffer_.size(); }
  // Returns true once for each head with "Expect: 100-continue" whose body is not complete yet.
  bool take_expect_continue();
  // The reader for the body of a streamed message.
  const BodyReader& body_reader() const { return body_; }
  // Call after next() has returned a streamed message. Returns the reader for the rest of its body.
  // Bytes that arrive after that body are to be fed to this parser again.
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
  std::size_t max_body_bytes_;
  StreamFilter stream_filter_ = nullptr;
  std::uint64_t max_streamed_body_bytes_ = 0;
  std::string buffer_;
  std::size_t scanned_ = 0;  // bytes of the buffer already searched for the end of the head
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

// HTTP/1.1 over bytes alone: an incremental parser for requests and responses, and the writer. No sockets, no
// clock.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oatledge::protocol {

constexpr std::size_t kMostBody = 64 << 10;
constexpr std::size_t kMostHead = 16 << 10;

using Headers = std::vector<std::pair<std::string, std::string>>;

bool same_name(std::string_view a, std::string_view b);  // header names: case does not count

struct Message {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  Headers headers;
  std::string body;
  bool keep_alive = true;

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
  explicit Parser(Kind kind, std::size_t most_body = kMostBody) : kind_(kind), most_body_(most_body) {}

  void feed(std::string_view bytes) { buffer_ += bytes; }
  std::optional<Message> next();    // a whole message, if there is one; throws HttpError
  std::optional<Message> at_end();  // the peer has closed: a response without a length ends here
  bool idle() const { return stage_ == Stage::Head && buffer_.empty(); }
  std::size_t buffered() const { return buffer_.size(); }
  bool take_continue();  // once for a head that says "Expect: 100-continue" and whose body is not here yet

 private:
  enum class Stage { Head, Body, Chunk, UntilClose };

  bool head();
  void start_line(std::string_view line);
  void header_line(std::string_view line);
  void framing();
  bool body();
  bool chunks();
  bool chunks_from(std::size_t& done);
  std::optional<std::string_view> line(std::size_t& at) const;
  Message take();

  Kind kind_;
  std::size_t most_body_;
  std::string buffer_;
  std::size_t scanned_ = 0;
  Stage stage_ = Stage::Head;
  Message message_;
  std::size_t length_ = 0, trailer_bytes_ = 0;
  bool trailers_ = false, expects_ = false;
};

std::string write_request(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body);
std::string write_response(int status, const Headers& headers, std::string_view body, bool keep_alive);

}  // namespace oatledge::protocol

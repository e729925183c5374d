#include "protocol/http.h"

#include <algorithm>
#include <charconv>

namespace dispatcher::protocol {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}

bool is_token(std::string_view s) {
  return !s.empty() && std::ranges::all_of(s, [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  });
}

bool is_text(std::string_view s) {
  return std::ranges::none_of(s, [](unsigned char c) { return (c < 32 && c != '\t') || c == 127; });
}

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t'))
    s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t'))
    s.remove_suffix(1);
  return s;
}

bool lists(std::string_view value, std::string_view word) {  // "a, word, b"
  for (bool more = true; more;) {
    std::size_t comma = value.find(',');
    if (same_name(trim(value.substr(0, comma)), word))
      return true;
    more = comma != std::string_view::npos;
    if (more)
      value.remove_prefix(comma + 1);
  }
  return false;
}

std::optional<std::size_t> whole_number(std::string_view s, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  if (s.empty() || error != std::errc() || end != s.data() + s.size())
    return std::nullopt;
  return value;
}

const char* reason(int status) {
  switch (status) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";
  }
}

void write_rest(std::string& out, const Headers& headers, std::string_view body, bool with_length) {
  for (const auto& [name, value] : headers)
    out.append(name).append(": ").append(value).append("\r\n");
  if (with_length)
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  out.append("\r\n").append(body);
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view Message::header(std::string_view name) const {
  for (const auto& [n, value] : headers) {
    if (same_name(n, name))
      return value;
  }
  return {};
}

bool Message::has(std::string_view name) const {
  return std::ranges::any_of(headers, [&](const auto& h) { return same_name(h.first, name); });
}

std::optional<Message> Parser::next() {
  if (stage_ == Stage::Head && !head())
    return std::nullopt;
  // All that has come at once and not chunk by chunk: tiny chunks must not cost the buffer's length
  // each.
  std::size_t used =
      body_.read(buffer_, [this](std::string_view bytes) { message_.body += bytes; });
  buffer_.erase(0, used);
  bool passes = streams_this_ && (!body_.done() || message_.body.size() > most_body_);
  if (!passes && !body_.done())
    return std::nullopt;
  message_.streamed = passes;
  return take();
}

std::optional<Message> Parser::at_end() {
  if (stage_ != Stage::Body)
    return std::nullopt;
  body_.closed();
  if (!body_.done())
    return std::nullopt;
  message_.keep_alive = false;
  return take();
}

std::optional<std::string> Parser::unread() const {
  if (stage_ == Stage::Head)
    return buffer_;
  if (kind_ != Kind::Request || streams_this_ || body_.framing() != Framing::Length ||
      message_.has("Expect"))
    return std::nullopt;
  std::string text =
      message_.method + " " + message_.target + (message_.old ? " HTTP/1.0" : " HTTP/1.1");
  return write_head(text, message_.headers) + message_.body + buffer_;
}

bool Parser::take_continue() {
  return std::exchange(expects_, false) && stage_ != Stage::Head;
}

BodyReader Parser::pass() {
  return std::exchange(body_, {});
}

bool Parser::head() {
  // Some clients send an empty line after a body. All at once: a flood of them must not cost its
  // length squared.
  std::size_t empty = 0;
  while (buffer_.compare(empty, 2, "\r\n") == 0)
    empty += 2;
  buffer_.erase(0, empty);
  // From a little before what was searched last time: a head that drips in must not cost its length
  // squared.
  std::size_t end = buffer_.find("\r\n\r\n", scanned_ > 3 ? scanned_ - 3 : 0);
  scanned_ = buffer_.size();
  if (std::min(end, buffer_.size()) > kMostHead)
    throw HttpError(431, "head too long");
  if (end == std::string::npos)
    return false;
  std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  scanned_ = 0;
  message_ = {};
  std::size_t at = head.find("\r\n");
  start_line(std::string_view(head).substr(0, at));
  for (at += 2; at < head.size();) {
    std::size_t stop = head.find("\r\n", at);
    header_line(std::string_view(head).substr(at, stop - at));
    at = stop + 2;
  }
  framing();
  return true;
}

void Parser::start_line(std::string_view line) {
  std::size_t first = line.find(' ');
  if (!is_text(line) || first == std::string_view::npos)
    throw HttpError(400, "malformed first line");
  std::string_view version;
  if (kind_ == Kind::Request) {
    std::size_t last = line.rfind(' ');
    message_.method = line.substr(0, first);
    version = line.substr(last + 1);
    if (last == first || !is_token(message_.method))
      throw HttpError(400, "malformed request line");
    message_.target = line.substr(first + 1, last - first - 1);
    // It passes on to workers as it is: what they could not read must not reach them.
    bool plain = std::ranges::all_of(message_.target, [](char c) { return c > ' ' && c < 127; });
    if (!message_.target.starts_with('/') || !plain)
      throw HttpError(400, "malformed request target");
  } else {
    version = line.substr(0, first);
    auto status = whole_number(line.substr(first + 1, 3), 10);
    bool ends = line.size() == first + 4 || (line.size() > first + 4 && line[first + 4] == ' ');
    if (!status || !ends || *status < 100 || *status > 999)
      throw HttpError(502, "malformed status line");
    message_.status = static_cast<int>(*status);
  }
  if (!version.starts_with("HTTP/"))
    throw HttpError(400, "not HTTP");
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    throw HttpError(505, "HTTP version not supported");
  message_.keep_alive = version == "HTTP/1.1";
  message_.old = !message_.keep_alive;
}

void Parser::header_line(std::string_view line) {
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) || !is_text(line))
    throw HttpError(400, "malformed header");
  message_.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
}

void Parser::framing() {
  if (lists(message_.header("Connection"), "keep-alive"))
    message_.keep_alive = true;
  if (lists(message_.header("Connection"), "close"))
    message_.keep_alive = false;
  std::optional<std::size_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (same_name(name, "Content-Length")) {
      auto n = whole_number(value, 10);
      if (!n || length)
        throw HttpError(400, "malformed Content-Length");
      length = n;
    } else if (same_name(name, "Transfer-Encoding")) {
      if (!same_name(value, "chunked") || chunked)
        throw HttpError(501, "transfer coding not supported");
      chunked = true;
    }
  }
  // Guards against request smuggling: two framings of one message are two opinions on where the
  // next begins.
  if (chunked && length)
    throw HttpError(400, "both Content-Length and Transfer-Encoding");
  expects_ = same_name(message_.header("Expect"), "100-continue");
  bool bodiless = message_.status == 204 || message_.status == 304 || message_.status / 100 == 1;
  bool until_close = kind_ == Kind::Response && !length && !chunked && !bodiless;
  if (bodiless) {
    length = 0;
    chunked = false;
  }
  streams_this_ = streams_ && streams_(message_);
  body_ = BodyReader(chunked       ? Framing::Chunked
                     : until_close ? Framing::UntilClose
                                   : Framing::Length,
                     length.value_or(0), streams_this_ ? most_streamed_ : most_body_);
  stage_ = Stage::Body;
}

Message Parser::take() {
  stage_ = Stage::Head;
  scanned_ = 0;
  expects_ = false;
  if (!message_.streamed)
    body_ = {};
  if (buffer_.empty())
    buffer_.shrink_to_fit();  // an idle connection keeps no 64 KiB
  return std::exchange(message_, {});
}

std::string write_head(const std::string& first_line, const Headers& headers) {
  std::string out = first_line + "\r\n";
  write_rest(out, headers, {}, false);
  return out;
}

std::string write_response_head(int status, const Headers& headers, bool keep_alive) {
  std::string first = "HTTP/1.1 " + std::to_string(status) + " " + reason(status);
  return write_head(keep_alive ? first : first + "\r\nConnection: close", headers);
}

std::string write_request(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  write_rest(out, headers, body, method == "POST");
  return out;
}

std::string write_response(int status, const Headers& headers, std::string_view body,
                           bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
  if (!keep_alive)
    out += "Connection: close\r\n";
  write_rest(out, headers, body, status != 204 && status >= 200);
  return out;
}

}  // namespace dispatcher::protocol

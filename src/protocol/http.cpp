#include "protocol/http.h"

#include <algorithm>
#include <charconv>

namespace dispatcher::protocol {
namespace {

char to_lower(char letter) {
  return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter;
}

bool is_token_character(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

bool is_token(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, is_token_character);
}

bool is_control(unsigned char character) {
  return (character < 32 && character != '\t') || character == 127;
}

bool is_text(std::string_view text) {
  return std::ranges::none_of(text, is_control);
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// Whether the comma-separated list contains the word (case-insensitive).
bool list_contains(std::string_view list, std::string_view word) {
  for (;;) {
    std::size_t comma = list.find(',');
    if (header_names_equal(trim(list.substr(0, comma)), word))
      return true;
    if (comma == std::string_view::npos)
      return false;
    list.remove_prefix(comma + 1);
  }
}

std::optional<std::size_t> parse_decimal(std::string_view text) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return value;
}

const char* reason_phrase(int status) {
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

enum class ContentLength { Omitted, Written };

void append_headers_and_body(std::string& out, const Headers& headers, std::string_view body,
                             ContentLength content_length) {
  for (const auto& [name, value] : headers)
    out.append(name).append(": ").append(value).append("\r\n");
  if (content_length == ContentLength::Written)
    out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  out.append("\r\n").append(body);
}

}  // namespace

bool header_names_equal(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

std::string_view Message::header(std::string_view name) const {
  for (const auto& [header_name, value] : headers) {
    if (header_names_equal(header_name, name))
      return value;
  }
  return {};
}

bool Message::has(std::string_view name) const {
  return std::ranges::any_of(
      headers, [&](const auto& header) { return header_names_equal(header.first, name); });
}

std::optional<Message> Parser::next() {
  if (stage_ == Stage::Head && !parse_head())
    return std::nullopt;
  // Erased once for all chunks: an erase costs the length of the buffer, which would add up with
  // many tiny chunks.
  auto append = [this](std::string_view bytes) {
    message_.body += bytes;
  };
  std::size_t used = body_.read(buffer_, append);
  buffer_.erase(0, used);
  message_.streamed = streams_message_ && (!body_.done() || message_.body.size() > max_body_bytes_);
  if (!message_.streamed && !body_.done())
    return std::nullopt;
  return take_message();
}

std::optional<Message> Parser::next_at_close() {
  if (stage_ != Stage::Body)
    return std::nullopt;
  body_.on_connection_closed();
  if (!body_.done())
    return std::nullopt;
  message_.keep_alive = false;
  return take_message();
}

std::optional<std::string> Parser::unread() const {
  if (stage_ == Stage::Head)
    return buffer_;
  if (kind_ != Kind::Request || streams_message_ || body_.framing() != Framing::Length ||
      message_.has("Expect"))
    return std::nullopt;
  const char* version = message_.http_1_0 ? " HTTP/1.0" : " HTTP/1.1";
  std::string first_line = message_.method + " " + message_.target + version;
  return write_head(first_line, message_.headers) + message_.body + buffer_;
}

bool Parser::take_expect_continue() {
  return std::exchange(expects_continue_, false) && stage_ != Stage::Head;
}

BodyReader Parser::take_body_reader() {
  return std::exchange(body_, {});
}

bool Parser::parse_head() {
  // Some clients send an empty line after a body. All are erased at once, so that a flood of empty
  // lines does not take quadratic time.
  std::size_t empty_lines = 0;
  while (buffer_.compare(empty_lines, 2, "\r\n") == 0)
    empty_lines += 2;
  buffer_.erase(0, empty_lines);
  // Continues the previous search, so that a head that arrives in small pieces does not take
  // quadratic time.
  std::size_t end = buffer_.find("\r\n\r\n", scanned_ > 3 ? scanned_ - 3 : 0);
  scanned_ = buffer_.size();
  if (std::min(end, buffer_.size()) > kMaxHeadBytes)
    throw HttpError(431, "head too long");
  if (end == std::string::npos)
    return false;
  std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  scanned_ = 0;
  message_ = {};
  std::size_t line_end = head.find("\r\n");
  parse_start_line(std::string_view(head).substr(0, line_end));
  for (std::size_t start = line_end + 2; start < head.size(); start = line_end + 2) {
    line_end = head.find("\r\n", start);
    parse_header_line(std::string_view(head).substr(start, line_end - start));
  }
  begin_body();
  return true;
}

void Parser::parse_start_line(std::string_view line) {
  if (!is_text(line) || line.find(' ') == std::string_view::npos)
    throw HttpError(400, "malformed first line");
  std::string_view version =
      kind_ == Kind::Request ? parse_request_line(line) : parse_status_line(line);
  if (!version.starts_with("HTTP/"))
    throw HttpError(400, "not HTTP");
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    throw HttpError(505, "HTTP version not supported");
  message_.http_1_0 = version == "HTTP/1.0";
  message_.keep_alive = !message_.http_1_0;
}

// Returns the HTTP version.
std::string_view Parser::parse_request_line(std::string_view line) {
  std::size_t first = line.find(' ');
  std::size_t last = line.rfind(' ');
  message_.method = line.substr(0, first);
  if (last == first || !is_token(message_.method))
    throw HttpError(400, "malformed request line");
  message_.target = line.substr(first + 1, last - first - 1);
  // The target is passed to workers unchanged, so it has to be valid for them.
  bool printable = std::ranges::all_of(
      message_.target, [](char character) { return character > ' ' && character < 127; });
  if (!message_.target.starts_with('/') || !printable)
    throw HttpError(400, "malformed request target");
  return line.substr(last + 1);
}

// Returns the HTTP version.
std::string_view Parser::parse_status_line(std::string_view line) {
  std::size_t first = line.find(' ');
  std::size_t end = first + 4;  // of a status code of three digits
  std::optional<std::size_t> status = parse_decimal(line.substr(first + 1, 3));
  bool ends = line.size() == end || (line.size() > end && line[end] == ' ');
  if (!status || !ends || *status < 100 || *status > 999)
    throw HttpError(502, "malformed status line");
  message_.status = static_cast<int>(*status);
  return line.substr(0, first);
}

void Parser::parse_header_line(std::string_view line) {
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) || !is_text(line))
    throw HttpError(400, "malformed header");
  if (message_.headers.size() >= kMaxHeaderFields)
    throw HttpError(431, "too many header fields");
  message_.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
}

void Parser::begin_body() {
  if (list_contains(message_.header("Connection"), "keep-alive"))
    message_.keep_alive = true;
  if (list_contains(message_.header("Connection"), "close"))
    message_.keep_alive = false;
  std::optional<std::size_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (header_names_equal(name, "Content-Length")) {
      std::optional<std::size_t> number = parse_decimal(value);
      if (!number || length)
        throw HttpError(400, "malformed Content-Length");
      length = number;
    } else if (header_names_equal(name, "Transfer-Encoding")) {
      if (!header_names_equal(value, "chunked") || chunked)
        throw HttpError(501, "transfer coding not supported");
      chunked = true;
    }
  }
  // Prevents request smuggling: another HTTP implementation might choose the other framing.
  if (chunked && length)
    throw HttpError(400, "both Content-Length and Transfer-Encoding");
  expects_continue_ = header_names_equal(message_.header("Expect"), "100-continue");
  bool bodiless = message_.status == 204 || message_.status == 304 || message_.status / 100 == 1;
  Framing framing = Framing::Length;
  if (bodiless) {
    length = 0;
  } else if (chunked) {
    framing = Framing::Chunked;
  } else if (kind_ == Kind::Response && !length) {
    framing = Framing::UntilClose;
  }
  streams_message_ = stream_filter_ && stream_filter_(message_);
  std::uint64_t max_bytes = streams_message_ ? max_streamed_body_bytes_ : max_body_bytes_;
  body_ = BodyReader(framing, length.value_or(0), max_bytes);
  stage_ = Stage::Body;
}

Message Parser::take_message() {
  stage_ = Stage::Head;
  scanned_ = 0;
  expects_continue_ = false;
  if (!message_.streamed)
    body_ = {};
  if (buffer_.empty())
    buffer_.shrink_to_fit();  // an idle connection holds no buffer memory
  return std::exchange(message_, {});
}

std::string write_head(const std::string& first_line, const Headers& headers) {
  std::string out = first_line + "\r\n";
  append_headers_and_body(out, headers, {}, ContentLength::Omitted);
  return out;
}

std::string write_response_head(int status, const Headers& headers, bool keep_alive) {
  std::string first_line = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status);
  return write_head(keep_alive ? first_line : first_line + "\r\nConnection: close", headers);
}

std::string write_request(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  append_headers_and_body(out, headers, body,
                          method == "POST" ? ContentLength::Written : ContentLength::Omitted);
  return out;
}

std::string write_response(int status, const Headers& headers, std::string_view body,
                           bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
  if (!keep_alive)
    out += "Connection: close\r\n";
  bool has_length = status != 204 && status >= 200;
  append_headers_and_body(out, headers, body,
                          has_length ? ContentLength::Written : ContentLength::Omitted);
  return out;
}

}  // namespace dispatcher::protocol

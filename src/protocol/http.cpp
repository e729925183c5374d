#include "http.h"

#include <algorithm>
#include <charconv>

namespace oatledge::protocol {
namespace {

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

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
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool lists(std::string_view value, std::string_view word) {  // "a, word, b"
  for (bool more = true; more;) {
    std::size_t comma = value.find(',');
    if (same_name(trim(value.substr(0, comma)), word)) return true;
    more = comma != std::string_view::npos;
    if (more) value.remove_prefix(comma + 1);
  }
  return false;
}

std::optional<std::size_t> whole_number(std::string_view s, int base) {
  std::size_t value = 0;
  auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), value, base);
  if (s.empty() || error != std::errc() || end != s.data() + s.size()) return std::nullopt;
  return value;
}

const char* reason(int status) {
  switch (status) {
    case 100: return "Continue";
    case 200: return "OK";
    case 204: return "No Content";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 408: return "Request Timeout";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 431: return "Request Header Fields Too Large";
    case 501: return "Not Implemented";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 505: return "HTTP Version Not Supported";
    default: return "Status";
  }
}

void write_rest(std::string& out, const Headers& headers, std::string_view body, bool with_length) {
  for (const auto& [name, value] : headers) out.append(name).append(": ").append(value).append("\r\n");
  if (with_length) out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
  out.append("\r\n").append(body);
}

}  // namespace

bool same_name(std::string_view a, std::string_view b) { return std::ranges::equal(a, b, {}, lower, lower); }

std::string_view Message::header(std::string_view name) const {
  for (const auto& [n, value] : headers)
    if (same_name(n, name)) return value;
  return {};
}

bool Message::has(std::string_view name) const {
  return std::ranges::any_of(headers, [&](const auto& h) { return same_name(h.first, name); });
}

std::optional<Message> Parser::next() {
  if (stage_ == Stage::Head && !head()) return std::nullopt;
  bool whole = stage_ == Stage::Body ? body() : stage_ == Stage::Chunk ? chunks() : false;
  if (stage_ == Stage::UntilClose && buffer_.size() > most_body_) throw HttpError(413, "body too long");
  if (!whole) return std::nullopt;
  return take();
}

std::optional<Message> Parser::at_end() {
  if (stage_ != Stage::UntilClose) return std::nullopt;
  message_.body = std::move(buffer_);
  buffer_.clear();
  message_.keep_alive = false;
  return take();
}

bool Parser::take_continue() { return std::exchange(expects_, false) && stage_ != Stage::Head; }

bool Parser::head() {
  // Some clients send an empty line after a body. All at once: a flood of them must not cost its length
  // squared.
  std::size_t empty = 0;
  while (buffer_.compare(empty, 2, "\r\n") == 0) empty += 2;
  buffer_.erase(0, empty);
  // From a little before what was searched last time: a head that drips in must not cost its length squared.
  std::size_t end = buffer_.find("\r\n\r\n", scanned_ > 3 ? scanned_ - 3 : 0);
  scanned_ = buffer_.size();
  if (std::min(end, buffer_.size()) > kMostHead) throw HttpError(431, "head too long");
  if (end == std::string::npos) return false;
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
  if (!is_text(line) || first == std::string_view::npos) throw HttpError(400, "malformed first line");
  std::string_view version;
  if (kind_ == Kind::Request) {
    std::size_t last = line.rfind(' ');
    message_.method = line.substr(0, first);
    version = line.substr(last + 1);
    if (last == first || !is_token(message_.method)) throw HttpError(400, "malformed request line");
    message_.target = line.substr(first + 1, last - first - 1);
    // It passes on to instances as it is: what they could not read must not reach them.
    bool plain = std::ranges::all_of(message_.target, [](char c) { return c > ' ' && c < 127; });
    if (!message_.target.starts_with('/') || !plain) throw HttpError(400, "malformed request target");
  } else {
    version = line.substr(0, first);
    auto status = whole_number(line.substr(first + 1, 3), 10);
    bool ends = line.size() == first + 4 || (line.size() > first + 4 && line[first + 4] == ' ');
    if (!status || !ends || *status < 100 || *status > 999) throw HttpError(502, "malformed status line");
    message_.status = static_cast<int>(*status);
  }
  if (!version.starts_with("HTTP/")) throw HttpError(400, "not HTTP");
  if (version != "HTTP/1.1" && version != "HTTP/1.0") throw HttpError(505, "HTTP version not supported");
  message_.keep_alive = version == "HTTP/1.1";
}

void Parser::header_line(std::string_view line) {
  std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !is_token(line.substr(0, colon)) || !is_text(line))
    throw HttpError(400, "malformed header");
  message_.headers.emplace_back(line.substr(0, colon), trim(line.substr(colon + 1)));
}

void Parser::framing() {
  if (lists(message_.header("Connection"), "keep-alive")) message_.keep_alive = true;
  if (lists(message_.header("Connection"), "close")) message_.keep_alive = false;
  std::optional<std::size_t> length;
  bool chunked = false;
  for (const auto& [name, value] : message_.headers) {
    if (same_name(name, "Content-Length")) {
      auto n = whole_number(value, 10);
      if (!n || length) throw HttpError(400, "malformed Content-Length");
      length = n;
    } else if (same_name(name, "Transfer-Encoding")) {
      if (!same_name(value, "chunked") || chunked) throw HttpError(501, "transfer coding not supported");
      chunked = true;
    }
  }
  // Guards against request smuggling: two framings of one message are two opinions on where the next begins.
  if (chunked && length) throw HttpError(400, "both Content-Length and Transfer-Encoding");
  if (length.value_or(0) > most_body_) throw HttpError(413, "body too long");
  expects_ = same_name(message_.header("Expect"), "100-continue");
  trailers_ = false, trailer_bytes_ = 0;
  length_ = length.value_or(0);
  bool bodiless = message_.status == 204 || message_.status == 304 || message_.status / 100 == 1;
  bool until_close = kind_ == Kind::Response && !length && !chunked && !bodiless;
  if (bodiless) length_ = 0;
  stage_ = chunked ? Stage::Chunk : until_close ? Stage::UntilClose : Stage::Body;
}

bool Parser::body() {
  if (buffer_.size() < length_) return false;
  message_.body = buffer_.substr(0, length_);
  buffer_.erase(0, length_);
  return true;
}

// A line of the chunked framing from `at` on, which moves past it; nothing while it is not whole.
std::optional<std::string_view> Parser::line(std::size_t& at) const {
  std::size_t end = buffer_.find("\r\n", at);
  if (std::min(end, buffer_.size()) - at > kMostHead) throw HttpError(400, "chunk line too long");
  if (end == std::string::npos) return std::nullopt;
  std::string_view text = std::string_view(buffer_).substr(at, end - at);
  at = end + 2;
  return text;
}

// Taken off the buffer once and not chunk by chunk: tiny chunks must not cost the buffer's length each.
bool Parser::chunks() {
  std::size_t done = 0;
  bool whole = chunks_from(done);
  buffer_.erase(0, done);
  return whole;
}

bool Parser::chunks_from(std::size_t& done) {
  while (true) {
    std::size_t at = done;
    auto text = line(at);
    if (!text) return false;
    if (trailers_) {
      done = at;
      if (text->empty()) return true;
      if ((trailer_bytes_ += text->size()) > kMostHead) throw HttpError(431, "trailers too long");
      continue;
    }
    auto size = whole_number(trim(text->substr(0, text->find(';'))), 16);
    if (!size) throw HttpError(400, "malformed chunk");
    if (*size > most_body_ || message_.body.size() + *size > most_body_)
      throw HttpError(413, "body too long");
    if (*size == 0) {
      done = at;
      trailers_ = true;
      continue;
    }
    if (buffer_.size() < at + *size + 2) return false;
    if (buffer_.compare(at + *size, 2, "\r\n") != 0) throw HttpError(400, "malformed chunk");
    message_.body.append(buffer_, at, *size);
    done = at + *size + 2;
  }
}

Message Parser::take() {
  stage_ = Stage::Head;
  scanned_ = 0;
  expects_ = false;
  if (buffer_.empty()) buffer_.shrink_to_fit();  // an idle connection keeps no 64 KiB
  return std::exchange(message_, {});
}

std::string write_request(std::string_view method, std::string_view target, const Headers& headers,
                          std::string_view body) {
  std::string out;
  out.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
  write_rest(out, headers, body, method == "POST");
  return out;
}

std::string write_response(int status, const Headers& headers, std::string_view body, bool keep_alive) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason(status) + "\r\n";
  if (!keep_alive) out += "Connection: close\r\n";
  write_rest(out, headers, body, status != 204 && status >= 200);
  return out;
}

}  // namespace oatledge::protocol

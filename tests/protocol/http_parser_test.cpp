// Tests of the HTTP parser.
#include "protocol/http.h"

#include <catch2/catch.hpp>

using namespace dispatcher;
using protocol::HttpError;
using protocol::Message;
using protocol::Parser;

namespace {

// Returns the status of the parser's error, or 0 if there is none.
int error_status(const std::string& bytes) {
  Parser parser(Parser::Kind::Request);
  parser.feed(bytes);
  try {
    while (parser.next()) {
    }
  } catch (const HttpError& error) {
    return error.status;
  }
  return 0;
}

}  // namespace

TEST_CASE("parsing gives the same messages however their bytes are split") {
  const std::string bytes =
      "POST /api?a=1 HTTP/1.1\r\nX-A: b\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: t\r\n\r\n"
      "GET /ready HTTP/1.0\r\n\r\n";
  for (std::size_t piece_size = 1; piece_size < bytes.size(); ++piece_size) {
    Parser parser(Parser::Kind::Request);
    std::vector<Message> messages;
    for (std::size_t at = 0; at < bytes.size(); at += piece_size) {
      parser.feed(std::string_view(bytes).substr(at, piece_size));
      while (auto message = parser.next())
        messages.push_back(*message);
    }
    REQUIRE(messages.size() == 2);
    CHECK(messages[0].body == "abcde");
    CHECK(messages[0].header("x-a") == "b");
    CHECK(messages[0].keep_alive);
    CHECK(messages[1].target == "/ready");
    CHECK_FALSE(messages[1].keep_alive);
    CHECK(parser.idle());
  }
}

TEST_CASE("malformed and oversized requests are rejected with the matching status") {
  CHECK(error_status("GET\r\n\r\n") == 400);
  CHECK(error_status("GET /a b HTTP/1.1\r\n\r\n") == 400);
  CHECK(error_status("GET / HTTP/2.0\r\n\r\n") == 505);
  CHECK(error_status("GET / HTTP/1.1\r\nno colon\r\n\r\n") == 400);
  CHECK(error_status("GET / HTTP/1.1\r\nA : b\r\n\r\n") == 400);
  CHECK(error_status("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == 400);
  CHECK(error_status("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n") == 400);
  CHECK(error_status(
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") == 400);
  CHECK(error_status("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n") == 501);
  CHECK(error_status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
  CHECK(error_status("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n") == 413);
  CHECK(error_status("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n") == 413);
  CHECK(error_status("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a')) == 431);
  CHECK(error_status("GET / HTTP/1.1\r\n\r\n") == 0);
}

// Guards against a head of a few kilobytes that takes many times as much memory once it is parsed:
// docs/incidents/heads-of-short-fields.md.
TEST_CASE("a head with too many fields is rejected, however short they are") {
  auto head_with = [](std::size_t fields) {
    std::string head = "GET / HTTP/1.1\r\n";
    for (std::size_t i = 0; i < fields; ++i)
      head += "a:\r\n";
    return head + "\r\n";
  };
  CHECK(error_status(head_with(protocol::kMaxHeaderFields)) == 0);
  CHECK(error_status(head_with(protocol::kMaxHeaderFields + 1)) == 431);
  CHECK(error_status(head_with(4000)) == 431);
}

TEST_CASE("the Connection header is parsed as a case-insensitive list") {
  for (const char* value : {"close", "TE, Close", "close ,x"}) {
    Parser parser(Parser::Kind::Request);
    parser.feed("GET / HTTP/1.1\r\nConnection: " + std::string(value) + "\r\n\r\n");
    CHECK_FALSE(parser.next()->keep_alive);
  }
  Parser parser(Parser::Kind::Request);
  parser.feed("GET / HTTP/1.0\r\nConnection: x, keep-alive\r\n\r\n");
  CHECK(parser.next()->keep_alive);
}

TEST_CASE("a response without a length ends when its connection closes") {
  Parser parser(Parser::Kind::Response);
  parser.feed("HTTP/1.1 200 OK\r\n\r\nall of");
  CHECK_FALSE(parser.next());
  parser.feed(" it");
  CHECK_FALSE(parser.next());
  auto message = parser.next_at_close();
  REQUIRE(message);
  CHECK(message->body == "all of it");
}

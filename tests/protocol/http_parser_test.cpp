// The HTTP parser.
#include "protocol/http.h"

#include <catch2/catch.hpp>

using namespace dispatcher;
using protocol::HttpError;
using protocol::Message;
using protocol::Parser;

namespace {

// The status of the parser's error; 0: none.
int status_of(const std::string& bytes) {
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

TEST_CASE("a message is the same however its bytes are cut") {
  const std::string bytes =
      "POST /api?a=1 HTTP/1.1\r\nX-A: b\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: t\r\n\r\n"
      "GET /ready HTTP/1.0\r\n\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    Parser parser(Parser::Kind::Request);
    std::vector<Message> messages;
    for (std::size_t at = 0; at < bytes.size(); at += cut) {
      parser.feed(std::string_view(bytes).substr(at, cut));
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

TEST_CASE("malformed and oversized requests have their status") {
  CHECK(status_of("GET\r\n\r\n") == 400);
  CHECK(status_of("GET /a b HTTP/1.1\r\n\r\n") == 400);
  CHECK(status_of("GET / HTTP/2.0\r\n\r\n") == 505);
  CHECK(status_of("GET / HTTP/1.1\r\nno colon\r\n\r\n") == 400);
  CHECK(status_of("GET / HTTP/1.1\r\nA : b\r\n\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        400);
  CHECK(status_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n") == 501);
  CHECK(status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n") == 413);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n") == 413);
  CHECK(status_of("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a')) == 431);
  CHECK(status_of("GET / HTTP/1.1\r\n\r\n") == 0);
}

TEST_CASE("Connection is a list of words") {
  for (const char* value : {"close", "TE, Close", "close ,x"}) {
    Parser parser(Parser::Kind::Request);
    parser.feed("GET / HTTP/1.1\r\nConnection: " + std::string(value) + "\r\n\r\n");
    CHECK_FALSE(parser.next()->keep_alive);
  }
  Parser parser(Parser::Kind::Request);
  parser.feed("GET / HTTP/1.0\r\nConnection: x, keep-alive\r\n\r\n");
  CHECK(parser.next()->keep_alive);
}

TEST_CASE("a response without a length ends with its connection") {
  Parser parser(Parser::Kind::Response);
  parser.feed("HTTP/1.1 200 OK\r\n\r\nall of");
  CHECK_FALSE(parser.next());
  parser.feed(" it");
  CHECK_FALSE(parser.next());
  auto message = parser.at_end();
  REQUIRE(message);
  CHECK(message->body == "all of it");
}

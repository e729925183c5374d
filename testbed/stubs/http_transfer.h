// HTTP/1.1 messages on a blocking connection: heads, rate-limited bodies, query parameters.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/payload_pattern.h"

namespace dispatcher::testbed {

struct HttpHead {
  std::string start_line;
  std::map<std::string, std::string> fields;  // names in lower case
};

// The request target, path and query, of a request's start line.
std::string request_target(const HttpHead& head);

// Returns false if the peer closed before the end of the head.
bool read_head(BlockingConnection& connection, HttpHead& head);

// The status code of a response's start line.
int status_code(const HttpHead& head);

// Reads a body by its framing at `bytes_per_second` (0: unlimited) and passes each piece to
// `consume`, which returns false to end the transfer. Returns whether the body was complete.
bool read_body(BlockingConnection& connection, const HttpHead& head, std::uint64_t bytes_per_second,
               const std::function<bool(std::string_view)>& consume);

// A generated body (see fill_pattern) that is sent at a limited rate.
struct BodyTransfer {
  std::uint64_t seed = 0;
  std::uint64_t bytes = 0;
  bool chunked = false;
  std::uint64_t bytes_per_second = 0;     // 0: unlimited
  std::uint64_t stop_after = UINT64_MAX;  // bytes; the rest is not sent
  std::uint64_t pause_at = UINT64_MAX;    // bytes; no piece crosses this offset
  // Called before each piece with the number of bytes sent so far; false ends the transfer.
  std::function<bool(std::uint64_t)> keep_going = [](std::uint64_t) {
    return true;
  };
};

// Sends the body and adds the bytes sent to `sha`. Returns whether the whole body was sent.
bool send_body(BlockingConnection& connection, const BodyTransfer& transfer, Sha256& sha);

// The query of a request target: name=number pairs separated by '&'.
using Query = std::map<std::string, std::uint64_t>;
Query read_query(const std::string& target);
// The value of a parameter, or `fallback` if the query does not have it.
std::uint64_t query_value(const Query& query, const std::string& name, std::uint64_t fallback = 0);

// A complete response; `headers` are lines that end in CRLF.
std::string make_response(int status, const std::string& headers = "",
                          const std::string& body = "");

}  // namespace dispatcher::testbed

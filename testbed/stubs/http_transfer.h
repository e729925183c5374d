// HTTP/1.1 messages on a blocking connection: heads, bodies at a limited rate, query parameters.
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

// The target of a request's start line: path and query.
std::string request_target(const HttpHead& head);

// False when the peer closed before the end of the head.
bool read_head(BlockingConnection& connection, HttpHead& head);

// The status code of a response's start line.
int status_code(const HttpHead& head);

// Reads a body by its framing, at `bytes_per_second` (0: unlimited), and passes each piece to
// `consume`, which ends the transfer by returning false. Returns whether the body came complete.
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
  // Called with the bytes sent so far before each piece; false ends the transfer.
  std::function<bool(std::uint64_t)> keep_going = [](std::uint64_t) {
    return true;
  };
};

// Sends the body and adds what was sent to `sha`. Returns whether all of it went out.
bool send_body(BlockingConnection& connection, const BodyTransfer& transfer, Sha256& sha);

// The query of a request's target, name=number pairs joined by '&'.
using Query = std::map<std::string, std::uint64_t>;
Query read_query(const std::string& target);
// The value of a parameter, `absent` where the query does not have it.
std::uint64_t query_value(const Query& query, const std::string& name, std::uint64_t absent = 0);

// A complete response; `headers` are lines that end in CRLF.
std::string make_response(int status, const std::string& headers = "",
                          const std::string& body = "");

}  // namespace dispatcher::testbed

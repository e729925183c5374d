// A stub for a client of the dispatcher, and calls to the dispatcher's admin address.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dispatcher::testbed {

struct ClientRequest {
  std::uint64_t id = 0;  // sent as 16 hexadecimal digits
  std::string job_class = "place-order";
  std::string query;          // for the worker, see stub_worker.h
  std::string extra_headers;  // lines that end in CRLF
  std::uint64_t upload = 0;   // bytes
  std::uint64_t seed = 0;     // of the upload's pattern
  std::uint64_t rate_up = 0;  // bytes a second; 0: unlimited
  std::uint64_t rate_down = 0;
  bool chunked = false;
  std::uint64_t leave_after = UINT64_MAX;        // closes after these bytes of the upload
  std::uint64_t leave_reply_after = UINT64_MAX;  // closes after these bytes of the reply
  int time_left_ms = 60'000;
  std::uint64_t pause_at = UINT64_MAX;  // waits for go_on() after these bytes of the upload
  std::function<bool()> go_on;
};

struct ClientResponse {
  int status = 0;        // 0: no response came
  std::string body;      // its first 4 KiB
  std::string sha;       // of the whole body
  std::string sent_sha;  // of the upload
  std::uint64_t bytes = 0;
  bool whole = false;   // the body came complete, by its framing
  bool unread = false;  // more bytes followed the response
  double ms = 0;        // until the end of the body
  double head_ms = 0;   // until the end of the head
};

// The request's line and headers.
std::string request_head(const ClientRequest& request);

// Sends one request on a connection of its own. Blocks until the response is complete.
ClientResponse submit_request(const std::string& address, const ClientRequest& request);

// A client that keeps its connection. Once that has ended, responses have the status 0.
class PersistentClient {
 public:
  explicit PersistentClient(const std::string& address);
  ~PersistentClient();
  // False: the connection was refused.
  bool connected() const;
  ClientResponse submit_request(const ClientRequest& request);
  // Sends raw bytes, of an incomplete request for example.
  void begin(const std::string& text);

 private:
  struct Connection;
  std::unique_ptr<Connection> connection_;
};

struct AdminResponse {
  int status = 0;  // 0: no response came
  std::string body;
  // The value of a metric in a page of /admin/stats; -1 where the page does not have it.
  long figure(const std::string& name) const;
};

// Makes one call to a dispatcher's admin address.
AdminResponse call(const std::string& admin_address, const std::string& method,
                   const std::string& target);

}  // namespace dispatcher::testbed

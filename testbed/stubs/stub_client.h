// Stub clients of the dispatcher, and calls to its admin address.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dispatcher::testbed {

struct ClientRequest {
  std::uint64_t id = 0;  // sent as 16 hexadecimal digits
  std::string job_class = "place-order";
  std::string query;          // tells the stub worker what to do, see stub_worker.h
  std::string extra_headers;  // lines that end in CRLF
  std::uint64_t upload_bytes = 0;
  std::uint64_t seed = 0;         // of the upload's bytes, see fill_pattern()
  std::uint64_t upload_rate = 0;  // bytes a second; 0: unlimited
  std::uint64_t download_rate = 0;
  bool chunked = false;
  std::uint64_t close_after_upload_bytes = UINT64_MAX;  // closes after that many bytes
  std::uint64_t close_after_reply_bytes = UINT64_MAX;   // closes after that many bytes
  int time_left_ms = 60'000;
  std::uint64_t pause_at = UINT64_MAX;  // pauses after that many upload bytes ...
  std::function<bool()> may_resume;     // ... until this returns true
};

struct ClientResponse {
  int status = 0;        // 0: no response was received
  std::string body;      // its first 4 KiB
  std::string sha;       // of the whole body
  std::string sent_sha;  // of the upload
  std::uint64_t bytes = 0;
  bool complete = false;            // the body was received up to the end of its framing
  bool has_trailing_bytes = false;  // more bytes followed the response
  double ms = 0;                    // from the start of the exchange to the end of the body
  double head_ms = 0;               // from the start of the exchange to the end of the head
};

// A request id as it is sent: 16 hexadecimal digits.
std::string id_text(std::uint64_t id);

// The request line and the headers.
std::string request_head(const ClientRequest& request);

// Sends one request on a new connection. Blocks until the response is complete.
ClientResponse submit_request(const std::string& address, const ClientRequest& request);

// A client that reuses one connection. After its end, responses have the status 0.
class PersistentClient {
 public:
  explicit PersistentClient(const std::string& address);
  ~PersistentClient();
  // Returns false if the connection was refused.
  bool connected() const;
  ClientResponse submit_request(const ClientRequest& request);
  // Sends bytes as they are, for example those of an incomplete request.
  void send_raw(const std::string& text);

 private:
  struct Connection;
  std::unique_ptr<Connection> connection_;
};

struct AdminResponse {
  int status = 0;  // 0: no response was received
  std::string body;
  // The value of a metric in a response of /admin/stats; -1 if it is not in the response.
  long metric(const std::string& name) const;
};

// Sends one request to a dispatcher's admin address.
AdminResponse call_admin(const std::string& admin_address, const std::string& method,
                         const std::string& target);

}  // namespace dispatcher::testbed

#include "testbed/stubs/stub_client.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <thread>

#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/host.h"
#include "testbed/stubs/http_transfer.h"

namespace dispatcher::testbed {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kKeptBodyBytes = 4096;
constexpr int kRateLimitedBufferBytes = 64 << 10;

double ms_since(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

// Sends the upload until it is complete or a response arrives. Returns the digest of the bytes
// sent.
std::string send_upload(BlockingConnection& connection, const ClientRequest& request) {
  auto keep_going = [&](std::uint64_t done) {
    while (done >= request.pause_at && !request.may_resume())
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return !connection.readable(std::chrono::milliseconds(0));
  };
  BodyTransfer upload{
      .seed = request.seed,
      .bytes = request.upload_bytes,
      .chunked = request.chunked,
      .bytes_per_second = request.upload_rate,
      .stop_after = request.close_after_upload_bytes,
      .pause_at = request.pause_at,
      .keep_going = keep_going,
  };
  Sha256 sent;
  send_body(connection, upload, sent);
  return sent.hex();
}

void read_response_body(BlockingConnection& connection, const HttpHead& head,
                        const ClientRequest& request, ClientResponse& response) {
  Sha256 received;
  auto consume = [&](std::string_view bytes) {
    received.add(bytes);
    if (response.body.size() < kKeptBodyBytes)
      response.body.append(bytes.substr(0, kKeptBodyBytes - response.body.size()));
    response.bytes += bytes.size();
    return response.bytes < request.close_after_reply_bytes;
  };
  response.complete = read_body(connection, head, request.download_rate, consume);
  response.sha = received.hex();
}

ClientResponse exchange(BlockingConnection& connection, const ClientRequest& request,
                        Clock::time_point start) {
  ClientResponse response;
  if (!connection.send(request_head(request)))
    return response;
  // Not before the head is sent: the dispatcher closes a new connection that stays silent.
  if (request.query.find("nice=1") != std::string::npos)
    deprioritize_thread();
  response.sent_sha = send_upload(connection, request);
  HttpHead head;
  if (request.close_after_upload_bytes < request.upload_bytes || !read_head(connection, head))
    return response;
  response.head_ms = ms_since(start);
  response.status = status_code(head);
  read_response_body(connection, head, request, response);
  response.ms = ms_since(start);
  return response;
}

}  // namespace

std::string id_text(std::uint64_t id) {
  constexpr std::size_t kDigitsAndEnd = 17;
  std::array<char, kDigitsAndEnd> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
  return text.data();
}

std::string request_head(const ClientRequest& request) {
  std::string id = id_text(request.id);
  std::string head =
      "POST /api?" + request.query + " HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: " + id +
      "\r\nX-Service-Class: " + request.job_class +
      "\r\nX-Account: lanting-bento\r\nX-Time-Left-Ms: " + std::to_string(request.time_left_ms) +
      "\r\n" + request.extra_headers;
  if (request.job_class != "place-order")
    head += std::string("Idempotency-Key: k") + id + "\r\n";
  head += request.chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                          : "Content-Length: " + std::to_string(request.upload_bytes) + "\r\n\r\n";
  return head;
}

ClientResponse submit_request(const std::string& address, const ClientRequest& request) {
  auto start = Clock::now();
  bool rate_limited = request.upload_rate != 0 || request.download_rate != 0;
  int descriptor = BlockingConnection::dial(address, rate_limited ? kRateLimitedBufferBytes : 0);
  if (descriptor < 0)
    return {};
  BlockingConnection connection(descriptor);
  ClientResponse response = exchange(connection, request, start);
  response.has_trailing_bytes = response.complete &&
                                connection.readable(std::chrono::milliseconds(0)) &&
                                !connection.read_some(1).empty();
  return response;
}

struct PersistentClient::Connection {
  explicit Connection(int descriptor) : socket(descriptor) {}
  BlockingConnection socket;
};

PersistentClient::PersistentClient(const std::string& address)
    : connection_(std::make_unique<Connection>(BlockingConnection::dial(address))) {}

PersistentClient::~PersistentClient() = default;

bool PersistentClient::connected() const {
  return connection_->socket.descriptor() >= 0;
}

ClientResponse PersistentClient::submit_request(const ClientRequest& request) {
  return exchange(connection_->socket, request, Clock::now());
}

void PersistentClient::send_raw(const std::string& text) {
  connection_->socket.send(text);
}

long AdminResponse::metric(const std::string& name) const {
  std::size_t position = body.find(name + "=");
  return position == std::string::npos ? -1 : std::stol(body.substr(position + name.size() + 1));
}

AdminResponse call_admin(const std::string& admin_address, const std::string& method,
                         const std::string& target) {
  AdminResponse response;
  int descriptor = BlockingConnection::dial(admin_address);
  if (descriptor < 0)
    return response;
  BlockingConnection connection(descriptor);
  HttpHead head;
  if (!connection.send(method + " " + target + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n") ||
      !read_head(connection, head))
    return response;
  response.status = status_code(head);
  read_body(connection, head, 0, [&](std::string_view bytes) {
    response.body += bytes;
    return true;
  });
  return response;
}

}  // namespace dispatcher::testbed

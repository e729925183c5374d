#include "testbed/hostile/ordinary_clients.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "testbed/stubs/stub_client.h"

namespace dispatcher::testbed {
namespace {

constexpr std::chrono::milliseconds kRequestInterval{10};
constexpr int kTimeLeftMs = 3000;
constexpr std::uint64_t kUploadBytes = 100;
constexpr const char* kQuery = "news=1&work=2";

double milliseconds_since(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
      .count();
}

}  // namespace

OrdinaryClients::OrdinaryClients(std::string address, int clients, std::uint64_t first_id)
    : address_(std::move(address)), next_id_(first_id) {
  for (int i = 0; i < clients; ++i)
    threads_.emplace_back([this] { run(); });
}

void OrdinaryClients::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable())
      thread.join();
  }
}

OrdinaryResults OrdinaryClients::take_results() {
  std::lock_guard lock(mutex_);
  return std::exchange(results_, {});
}

void OrdinaryClients::run() {
  std::unique_ptr<PersistentClient> connection;
  bool reused = false;
  while (!stopping_) {
    if (!connection) {
      connection = std::make_unique<PersistentClient>(address_);
      reused = false;
    }
    ClientRequest request;
    request.id = next_id_++;
    request.query = kQuery;
    request.upload_bytes = kUploadBytes;
    request.time_left_ms = kTimeLeftMs;
    auto start = std::chrono::steady_clock::now();
    ClientResponse response = connection->submit_request(request);
    if (response.status == 0)
      connection.reset();
    bool closed_while_idle = response.status == 0 && std::exchange(reused, true);
    if (!closed_while_idle)
      record(response.status, milliseconds_since(start), response.body);
    std::this_thread::sleep_for(kRequestInterval);
  }
}

void OrdinaryClients::record(int status, double ms, const std::string& body) {
  constexpr int kOk = 200;
  std::lock_guard lock(mutex_);
  results_.latest_ms = std::max(results_.latest_ms, ms);
  if (status == kOk) {
    ++results_.served;
    return;
  }
  ++results_.not_served;
  if (results_.first_failure.empty())
    results_.first_failure = std::to_string(status) + " " + body;
}

}  // namespace dispatcher::testbed

#include "testbed/soak/soak_clients.h"

#include <chrono>
#include <memory>
#include <utility>

#include "testbed/stubs/blocking_connection.h"

namespace dispatcher::testbed {
namespace {

constexpr int kPersistentClients = 6;
constexpr int kOneShotClients = 2;
constexpr int kBurstClients = 40;
constexpr std::uint64_t kUploadBytes = 100;
constexpr int kMaxWorkMs = 40;
constexpr int kMaxLateMs = 1200;
constexpr int kMinTimeLeftMs = 1500;
constexpr int kMaxTimeLeftMs = 3000;
constexpr std::chrono::milliseconds kReconnectInterval{5};
constexpr std::chrono::milliseconds kBurstConnectionHoldTime{400};

int draw_number(std::mt19937_64& random, int low, int high) {
  return low + static_cast<int>(random() % static_cast<std::uint64_t>(high - low + 1));
}

void sleep_ms(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The conditions when a request was sent, compared with those at its end.
class SendConditions {
 public:
  explicit SendConditions(const SoakConditions& conditions)
      : conditions_(conditions),
        epoch_(conditions.epoch),
        fault_free_(conditions.fault_free),
        ending_(conditions.process_ending) {}

  bool success_expected() const { return fault_free_ && conditions_.epoch == epoch_; }
  bool may_be_rejected() const { return ending_ || conditions_.process_ending; }

 private:
  const SoakConditions& conditions_;
  std::uint64_t epoch_;
  bool fault_free_;
  bool ending_;
};

}  // namespace

SoakClients::SoakClients(std::string address, std::uint64_t seed, SoakConditions& conditions,
                         RequestLedger& ledger)
    : address_(std::move(address)), seed_(seed), conditions_(conditions), ledger_(ledger) {}

void SoakClients::start() {
  for (int i = 0; i < kPersistentClients; ++i)
    threads_.emplace_back([this, random = next_random()] { run_persistent(random); });
  for (int i = 0; i < kOneShotClients; ++i)
    threads_.emplace_back([this, random = next_random()] { run_one_shot(random); });
  threads_.emplace_back([this, random = next_random()] { run_early_disconnects(random); });
}

void SoakClients::start_connection_burst() {
  for (int i = 0; i < kBurstClients; ++i)
    threads_.emplace_back([this, random = next_random()] { run_burst_client(random); });
}

void SoakClients::stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    if (thread.joinable())
      thread.join();
  }
}

std::unique_ptr<PersistentClient> SoakClients::connect() {
  for (;;) {
    while (!conditions_.balancer_open)
      std::this_thread::sleep_for(kReconnectInterval);
    bool expected = conditions_.listener_expected;
    auto connection = std::make_unique<PersistentClient>(address_);
    if (connection->connected())
      return connection;
    if (expected && conditions_.listener_expected)
      ++refused_;
    std::this_thread::sleep_for(kReconnectInterval);
  }
}

ClientRequest SoakClients::draw_request(Random& random) {
  ClientRequest request;
  request.id = ++last_id_;
  request.upload_bytes = kUploadBytes;
  request.seed = request.id;
  request.time_left_ms = draw_number(random, kMinTimeLeftMs, kMaxTimeLeftMs);
  request.query = "news=1&work=" + std::to_string(draw_number(random, 1, kMaxWorkMs));
  if (draw_number(random, 1, 20) == 1)
    request.query += "&late=" + std::to_string(draw_number(random, 1, kMaxLateMs));
  if (conditions_.upload_resets && draw_number(random, 1, 5) == 1)
    request.query += "&only=1&die_in=" + std::to_string(draw_number(random, 1, kUploadBytes - 1));
  return request;
}

void SoakClients::send(std::unique_ptr<PersistentClient>& connection, bool& reused,
                       Random& random) {
  ClientRequest request = draw_request(random);
  SendConditions at_send(conditions_);
  RequestRecord record{
      .id = request.id, .sent_ms = steady_ms(), .time_left_ms = request.time_left_ms};
  record.response = connection->submit_request(request);
  if (record.response.status == 0 && reused) {
    connection = connect();
    record.resent = true;
    record.sent_ms = steady_ms();
    record.response = connection->submit_request(request);
  }
  reused = true;
  record.ended_ms = steady_ms();
  record.success_expected = at_send.success_expected();
  record.may_be_rejected = at_send.may_be_rejected();
  if (record.response.status == 0)
    connection.reset();
  ledger_.add(record);
}

void SoakClients::run_persistent(Random random) {
  std::unique_ptr<PersistentClient> connection;
  bool reused = false;
  while (!stopping_) {
    if (!connection) {
      connection = connect();
      reused = false;
    }
    send(connection, reused, random);
  }
}

void SoakClients::run_one_shot(Random random) {
  while (!stopping_) {
    bool reused = false;
    auto connection = connect();
    send(connection, reused, random);
  }
}

void SoakClients::run_burst_client(Random random) {
  BlockingConnection idle(BlockingConnection::dial(address_));
  bool reused = false;
  auto connection = connect();
  send(connection, reused, random);
  std::this_thread::sleep_for(kBurstConnectionHoldTime);
}

void SoakClients::run_early_disconnects(Random random) {
  while (!stopping_) {
    if (conditions_.clients_disconnect_early) {
      disconnect_early(random);
    } else {
      std::this_thread::sleep_for(kReconnectInterval);
    }
  }
}

void SoakClients::disconnect_early(Random& random) {
  if (!conditions_.balancer_open)
    return std::this_thread::sleep_for(kReconnectInterval);
  BlockingConnection connection(BlockingConnection::dial(address_));
  ClientRequest request = draw_request(random);
  request.upload_bytes = 0;
  RequestRecord record{.id = request.id,
                       .sent_ms = steady_ms(),
                       .time_left_ms = request.time_left_ms,
                       .disconnected = true};
  if (!connection.send(request_head(request)))
    return;
  sleep_ms(draw_number(random, 0, kMaxWorkMs));
  connection.close();
  record.ended_ms = steady_ms();
  ledger_.add(record);
}

}  // namespace dispatcher::testbed

#include "testbed/hostile/memory_rig.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>

#include "testbed/hostile/ordinary_clients.h"
#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/host.h"
#include "testbed/stubs/stub_client.h"

namespace dispatcher::testbed {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxBodyBytes = 64 << 10;  // of a request, as the dispatcher permits
constexpr std::size_t kMaxHeadBytes = 16 << 10;
constexpr std::size_t kPieceBytes = 4 << 10;
constexpr std::size_t kTricklePieceBytes = 16;
constexpr int kWorkers = 3;
constexpr int kSmallBufferBytes = 4 << 10;
constexpr std::uint64_t kFirstHostileId = 0x10000000;
constexpr std::uint64_t kFirstOrdinaryId = 0x1000;
// Within the time that a client has for its request.
constexpr std::chrono::milliseconds kHoldTime{1500};
constexpr std::chrono::milliseconds kRecoveryTime{2500};
constexpr std::chrono::milliseconds kRoundInterval{5};

struct Pattern {
  const char* name = "";
  std::string (*bytes)(std::uint64_t id) = nullptr;
  std::size_t piece_bytes = kPieceBytes;  // sent by each client in each round
  bool reads = true;
  bool workers_hang = false;
};

std::string hostile_head(std::uint64_t id, const std::string& fields) {
  ClientRequest request;
  request.id = id;
  request.extra_headers = fields;
  request.upload_bytes = kMaxBodyBytes;
  return request_head(request);
}

std::string short_fields(std::size_t bytes) {
  std::string fields;
  while (fields.size() + 4 <= bytes)
    fields += "a:\r\n";
  return fields;
}

constexpr std::size_t kUsualHeadBytes = 512;

std::string half_body(std::uint64_t id) {
  return hostile_head(id, "") + std::string(kMaxBodyBytes - 1, 'x');
}
std::string half_chunked_body(std::uint64_t id) {
  ClientRequest request;
  request.id = id;
  request.chunked = true;
  std::string chunk = "100\r\n" + std::string(256, 'x') + "\r\n";
  std::string text = request_head(request);
  for (std::size_t sent = 0; sent + 256 < kMaxBodyBytes; sent += 256)
    text += chunk;
  return text;
}
std::string unfinished_head(std::uint64_t) {
  return "POST /api HTTP/1.1\r\n" + short_fields(kMaxHeadBytes - kUsualHeadBytes);
}
std::string short_fields_and_no_body(std::uint64_t id) {
  return hostile_head(id, short_fields(kMaxHeadBytes - kUsualHeadBytes));
}
std::string short_fields_and_half_body(std::uint64_t id) {
  return short_fields_and_no_body(id) + std::string(kMaxBodyBytes - 1, 'x');
}
std::string complete_request(std::uint64_t id) {
  return hostile_head(id, "") + std::string(kMaxBodyBytes, 'x');
}
std::string request_and_further_ones(std::uint64_t id) {
  return complete_request(id) + short_fields_and_half_body(id + (std::uint64_t{1} << 32));
}
std::string readiness_checks(std::uint64_t) {
  std::string text;
  for (int i = 0; i < 8000; ++i)
    text += "GET /ready HTTP/1.1\r\n\r\n";
  return text;
}

constexpr std::array kPatterns{
    Pattern{"half bodies", half_body},
    Pattern{"half chunked bodies", half_chunked_body},
    Pattern{"unfinished heads of short fields", unfinished_head},
    Pattern{"heads of short fields, body held back", short_fields_and_no_body},
    Pattern{"heads of short fields, half bodies", short_fields_and_half_body},
    Pattern{"slow writers of such heads", short_fields_and_half_body, kTricklePieceBytes},
    Pattern{"unread answers", readiness_checks, kPieceBytes, false},
    Pattern{"open requests, workers hang", complete_request, kPieceBytes, true, true},
    Pattern{"open requests and half ones behind", request_and_further_ones, kPieceBytes, true,
            true}};

// A client that sends its bytes piece by piece and never waits.
class HostileClient {
 public:
  HostileClient(const std::string& address, std::string bytes, bool reads)
      : connection_(BlockingConnection::dial(address, reads ? 0 : kSmallBufferBytes)),
        bytes_(std::move(bytes)),
        reads_(reads) {}

  void send_piece(std::size_t max_bytes) {
    std::size_t count = std::min(max_bytes, bytes_.size() - sent_);
    ssize_t written =
        ::send(connection_.descriptor(), bytes_.data() + sent_, count, MSG_DONTWAIT | MSG_NOSIGNAL);
    sent_ += written > 0 ? static_cast<std::size_t>(written) : 0;
    if (reads_ && connection_.descriptor() >= 0 &&
        connection_.readable(std::chrono::milliseconds(0)))
      closed_ = connection_.read_some(kPieceBytes).empty() || closed_;
  }
  bool closed() const { return closed_; }

 private:
  BlockingConnection connection_;
  std::string bytes_;
  std::size_t sent_ = 0;
  bool reads_;
  bool closed_ = false;
};

std::string format_figures(const Pattern& pattern, const HostileSetup& setup, int clients,
                           std::uint64_t peak_kb, const OrdinaryResults& meanwhile,
                           const OrdinaryResults& afterwards) {
  std::array<char, 256> line{};
  std::snprintf(
      line.data(), line.size(),
      "%-38s %4d clients, peak %5.1f MB of %d; others: %d served, %d not, latest %.0f ms; "
      "afterwards %d served, %d not",
      pattern.name, clients,
      static_cast<double>(peak_kb) / static_cast<double>(kKilobytesPerMegabyte), setup.memory_mb,
      meanwhile.served, meanwhile.not_served, meanwhile.latest_ms, afterwards.served,
      afterwards.not_served);
  return line.data();
}

HostileResult measure(const Pattern& pattern, const HostileSetup& setup) {
  StubServices services(process_loopback_address(), kWorkers);
  DispatcherProcess dispatcher(process_setup(setup), services);
  if (pattern.workers_hang) {
    for (int i = 0; i < kWorkers; ++i)
      services.set_fault(i, WorkerFault::Hang);
  }
  std::vector<std::unique_ptr<HostileClient>> hostile;
  hostile.reserve(static_cast<std::size_t>(setup.max_sockets));
  for (int i = 0; i < setup.max_sockets; ++i) {
    hostile.push_back(std::make_unique<HostileClient>(
        dispatcher.address(), pattern.bytes(kFirstHostileId + static_cast<std::uint64_t>(i)),
        pattern.reads));
  }
  OrdinaryClients others(dispatcher.address(), 1, kFirstOrdinaryId);
  for (auto end = Clock::now() + kHoldTime; Clock::now() < end;) {
    for (std::unique_ptr<HostileClient>& client : hostile)
      client->send_piece(pattern.piece_bytes);
    std::this_thread::sleep_for(kRoundInterval);
  }
  std::uint64_t peak_kb = dispatcher.memory_kb("VmHWM");
  OrdinaryResults meanwhile = others.take_results();
  hostile.clear();
  for (int i = 0; i < kWorkers; ++i)
    services.set_fault(i, WorkerFault::None);
  std::this_thread::sleep_for(kRecoveryTime);
  others.take_results();
  std::this_thread::sleep_for(kHoldTime);
  others.stop();
  OrdinaryResults afterwards = others.take_results();
  peak_kb = std::max(peak_kb, dispatcher.memory_kb("VmHWM"));
  HostileResult result{
      format_figures(pattern, setup, setup.max_sockets, peak_kb, meanwhile, afterwards), ""};
  std::uint64_t limit_kb = static_cast<std::uint64_t>(setup.memory_mb) * kKilobytesPerMegabyte;
  if (peak_kb == 0) {
    result.broken = "the process has ended";
  } else if (kMemoryIsJudged && peak_kb > limit_kb) {
    result.broken = "over the memory limit";
  } else if (afterwards.served == 0 || afterwards.not_served > 0) {
    result.broken = "others are not served afterwards: " + afterwards.first_failure;
  }
  return result;
}

}  // namespace

std::vector<HostileResult> measure_memory(const HostileSetup& setup) {
  std::vector<HostileResult> results;
  results.reserve(kPatterns.size());
  for (const Pattern& pattern : kPatterns)
    results.push_back(measure(pattern, setup));
  return results;
}

}  // namespace dispatcher::testbed

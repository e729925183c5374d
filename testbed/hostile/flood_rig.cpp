#include "testbed/hostile/flood_rig.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include "testbed/hostile/ordinary_clients.h"
#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/host.h"
#include "testbed/stubs/stub_client.h"

namespace dispatcher::testbed {
namespace {

constexpr int kWorkers = 3;
constexpr int kOrdinaryClients = 4;
constexpr int kMessagesPerWrite = 64;
constexpr int kTimeLeftMs = 3000;
constexpr int kTooLittleTimeMs = 1;  // for any worker
constexpr std::uint64_t kFirstFloodId = 0x10000000;
constexpr std::uint64_t kFirstOrdinaryId = 0x1000;
constexpr std::chrono::seconds kCalmTime{1};
// Others may wait this much longer than without the flood: a tenth of a short latency objective
// would not be noticed, half a second would.
constexpr double kMaxDelayMs = 500;
// Growth of a process that keeps nothing of a message it has answered, with room for its caches.
constexpr std::uint64_t kMaxGrowthKb = 16 * kKilobytesPerMegabyte;

struct Flood {
  const char* name = "";
  std::string (*message)(std::uint64_t number) = nullptr;
  bool during_hot_restart = false;  // the outgoing process still runs
};

std::string job_event(std::uint64_t number) {
  std::string body =
      std::string(R"({"id":")") + id_text(number) + R"(","from":"s-1","state":"done","result":""})";
  return "POST /_jobs/news HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string request_of(std::uint64_t number, const std::string& job_class,
                       const std::string& tenant, const std::string& key,
                       int time_left_ms = kTimeLeftMs) {
  std::string text = std::string("POST /api?news=1&work=1 HTTP/1.1\r\nX-Correlation-Id: ") +
                     id_text(number) + "\r\nX-Service-Class: " + job_class +
                     "\r\nX-Account: " + tenant +
                     "\r\nX-Time-Left-Ms: " + std::to_string(time_left_ms) + "\r\n";
  if (!key.empty())
    text += "Idempotency-Key: " + key + "\r\n";
  return text + "Content-Length: 2\r\n\r\nab";
}

std::string rejected_request(std::uint64_t number) {
  return request_of(number, "place-order", "lanting-bento", "", kTooLittleTimeMs);
}

// Each byte of the body is a chunk of its own.
std::string tiny_chunks(std::uint64_t) {
  constexpr int kChunks = 1000;
  std::string text = "POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < kChunks; ++i)
    text += "1\r\na\r\n";
  return text + "0\r\n\r\n";
}

std::string nested_job_event(std::uint64_t) {
  constexpr std::size_t kDepth = 1000;
  return "POST /_jobs/news HTTP/1.1\r\nContent-Length: " + std::to_string(kDepth) + "\r\n\r\n" +
         std::string(kDepth, '[');
}

constexpr std::array kFloods{
    Flood{"readiness checks",
          [](std::uint64_t) -> std::string {
            return "GET /ready HTTP/1.1\r\n\r\n";
          }},
    Flood{"unknown paths",
          [](std::uint64_t) -> std::string {
            return "GET /x HTTP/1.1\r\n\r\n";
          }},
    Flood{"wrong methods",
          [](std::uint64_t) -> std::string {
            return "PUT /api HTTP/1.1\r\n\r\n";
          }},
    Flood{"malformed requests",
          [](std::uint64_t) -> std::string {
            return "POST /api HTTP/9\r\n\r\n";
          }},
    Flood{"requests without an id",
          [](std::uint64_t) -> std::string {
            return "POST /api HTTP/1.1\r\n\r\n";
          }},
    Flood{"empty lines",
          [](std::uint64_t) -> std::string {
            return "\r\n\r\n\r\n\r\n";
          }},
    Flood{"tiny chunks", tiny_chunks},
    Flood{"job events of unknown requests", job_event},
    Flood{"the same, in a hot restart", job_event, true},
    Flood{"job events that are no JSON", nested_job_event},
    Flood{"rejected requests", rejected_request},
    Flood{"the same, in a hot restart", rejected_request, true},
    Flood{"ever new classes",
          [](std::uint64_t number) {
            return request_of(number, "class-" + std::to_string(number), "lanting-bento", "");
          }},
    Flood{"ever new tenants",
          [](std::uint64_t number) {
            return request_of(number, "place-order", "tenant-" + std::to_string(number), "");
          }},
    Flood{"ever new ids",
          [](std::uint64_t number) {
            return request_of(number, "place-order", "lanting-bento", "");
          }},
    Flood{"ever new keys",
          [](std::uint64_t number) {
            return request_of(number, "group-order", "lanting-bento",
                              "key-" + std::to_string(number));
          }},
    Flood{"one id again and again", [](std::uint64_t) {
            return request_of(kFirstFloodId, "place-order", "lanting-bento", "");
          }}};

// Sends as fast as the dispatcher reads, on one connection at a time: where the dispatcher closes
// it, on a new one.
class FloodingClient {
 public:
  FloodingClient(std::string address, const Flood& flood)
      : address_(std::move(address)), flood_(flood), thread_([this] { run(); }) {}
  FloodingClient(const FloodingClient&) = delete;
  FloodingClient& operator=(const FloodingClient&) = delete;
  ~FloodingClient() { stop(); }

  void stop() {
    stopping_ = true;
    if (thread_.joinable())
      thread_.join();
  }
  std::uint64_t answers() const { return answers_; }
  std::uint64_t connections() const { return connections_; }

 private:
  void run() {
    while (!stopping_) {
      BlockingConnection connection(BlockingConnection::dial(address_));
      ++connections_;
      std::atomic<bool> ended{false};
      std::thread reader([&] { read_answers(connection, ended); });
      while (!stopping_ && !ended && connection.send(next_messages())) {
      }
      shutdown(connection.descriptor(), SHUT_RDWR);
      reader.join();
    }
  }
  std::string next_messages() {
    std::string messages;
    for (int i = 0; i < kMessagesPerWrite; ++i)
      messages += flood_.message(next_id_++);
    return messages;
  }
  void read_answers(BlockingConnection& connection, std::atomic<bool>& ended) {
    constexpr std::string_view kStatusLine = "HTTP/1.1 ";
    for (std::string_view bytes; !(bytes = connection.read_some(kTransferBlockBytes)).empty();) {
      for (std::size_t at = bytes.find(kStatusLine); at != std::string_view::npos;
           at = bytes.find(kStatusLine, at + 1))
        ++answers_;
    }
    ended = true;
  }

  std::string address_;
  const Flood& flood_;
  std::uint64_t next_id_ = kFirstFloodId;
  std::atomic<std::uint64_t> answers_{0};
  std::atomic<std::uint64_t> connections_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

double megabytes(std::uint64_t kilobytes) {
  return static_cast<double>(kilobytes) / static_cast<double>(kKilobytesPerMegabyte);
}

HostileResult measure(const Flood& flood, const HostileSetup& setup,
                      std::chrono::seconds duration) {
  StubServices services(process_loopback_address(), kWorkers);
  DispatcherProcess dispatcher(process_setup(setup), services);
  bool restarted = !flood.during_hot_restart || dispatcher.start_hot_restart();
  OrdinaryClients others(dispatcher.address(), kOrdinaryClients, kFirstOrdinaryId);
  std::this_thread::sleep_for(kCalmTime);
  OrdinaryResults calm = others.take_results();
  std::uint64_t before_kb = dispatcher.memory_kb("VmRSS");
  FloodingClient flooding(dispatcher.address(), flood);
  std::this_thread::sleep_for(duration);
  OrdinaryResults flooded = others.take_results();
  std::uint64_t peak_kb = dispatcher.memory_kb("VmHWM");
  flooding.stop();
  others.stop();
  std::uint64_t growth_kb = peak_kb - std::min(peak_kb, before_kb);
  std::array<char, 256> line{};
  std::snprintf(line.data(), line.size(),
                "%-31s %8llu answers on %5llu connections; others: %d served, %d not, latest "
                "%.1f ms (%.1f before); memory %.1f MB, %.1f before",
                flood.name, static_cast<unsigned long long>(flooding.answers()),
                static_cast<unsigned long long>(flooding.connections()), flooded.served,
                flooded.not_served, flooded.latest_ms, calm.latest_ms, megabytes(peak_kb),
                megabytes(before_kb));
  HostileResult result{line.data(), ""};
  if (!restarted) {
    result.broken = "the hot restart failed";
  } else if (flooded.served == 0 || flooded.not_served > 0) {
    result.broken = "others are not served: " + flooded.first_failure;
  } else if (flooded.latest_ms > calm.latest_ms + kMaxDelayMs) {
    result.broken = "others are answered late";
  } else if (kMemoryIsJudged && growth_kb > kMaxGrowthKb) {
    result.broken = "the memory grows";
  }
  return result;
}

}  // namespace

std::vector<HostileResult> measure_floods(const HostileSetup& setup,
                                          std::chrono::seconds duration) {
  std::vector<HostileResult> results;
  results.reserve(kFloods.size());
  for (const Flood& flood : kFloods)
    results.push_back(measure(flood, setup, duration));
  return results;
}

}  // namespace dispatcher::testbed

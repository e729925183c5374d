#include "testbed/hostile/abandonment_rig.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/host.h"
#include "testbed/stubs/http_transfer.h"
#include "testbed/stubs/stub_client.h"

namespace dispatcher::testbed {
namespace {

constexpr int kWorkers = 3;
constexpr int kClients = 20;
constexpr int kRequestsPerClient = 400;
constexpr double kMaxBeginAfterLeavingMs = 100;
constexpr std::uint64_t kFirstId = 0x10000000;
constexpr std::uint64_t kRepeatedId = 0x77;
constexpr std::uint64_t kFirstOtherId = 0x20000000;
constexpr std::chrono::milliseconds kBeforeLeaving{50};
constexpr std::chrono::milliseconds kAfterLeaving{1500};
// Within it the stub worker has begun the request that its client then leaves.
constexpr std::chrono::milliseconds kUntilBegun{300};

enum class Leaving { Close, HalfClose, Reset };
constexpr std::array kLeavings{Leaving::Close, Leaving::HalfClose, Leaving::Reset};

const char* name_of(Leaving leaving) {
  switch (leaving) {
    case Leaving::Close:
      return "close";
    case Leaving::HalfClose:
      return "half-close";
    case Leaving::Reset:
      return "reset";
  }
  return "";
}

ClientRequest make_request(std::uint64_t id, const std::string& query) {
  ClientRequest request;
  request.id = id;
  request.query = query;
  return request;
}

double steady_now_ms() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Returns the time of it.
double leave(BlockingConnection& connection, Leaving leaving) {
  linger at_once{.l_onoff = 1, .l_linger = 0};
  if (leaving == Leaving::Reset) {
    setsockopt(connection.descriptor(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  if (leaving == Leaving::HalfClose) {
    shutdown(connection.descriptor(), SHUT_WR);
  } else {
    connection.close();
  }
  return steady_now_ms();
}

// `query`: what workers do with each request.
HostileResult measure_unread(const HostileSetup& setup, Leaving leaving, const std::string& query) {
  StubServices services(process_loopback_address(), kWorkers);
  DispatcherProcess dispatcher(process_setup(setup), services);
  std::vector<std::unique_ptr<BlockingConnection>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(
        std::make_unique<BlockingConnection>(BlockingConnection::dial(dispatcher.address())));
    std::string requests;
    for (int j = 0; j < kRequestsPerClient; ++j) {
      int number = i * kRequestsPerClient + j;
      requests += request_head(make_request(kFirstId + static_cast<unsigned>(number), query));
    }
    ::send(clients.back()->descriptor(), requests.data(), requests.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
  }
  std::this_thread::sleep_for(kBeforeLeaving);
  std::array<double, kClients> left_ms{};
  for (int i = 0; i < kClients; ++i)
    left_ms[static_cast<std::size_t>(i)] = leave(*clients[static_cast<std::size_t>(i)], leaving);
  std::this_thread::sleep_for(kAfterLeaving);
  int begun = 0;
  int late = 0;
  double latest_ms = 0;
  for (const ReceivedAttempt& attempt : services.received_attempts()) {
    std::uint64_t number = std::stoull(attempt.id, nullptr, 16);
    if (number < kFirstId || !attempt.begun)
      continue;
    double after_ms = attempt.begun_ms - left_ms[(number - kFirstId) / kRequestsPerClient];
    ++begun;
    late += after_ms > kMaxBeginAfterLeavingMs ? 1 : 0;
    latest_ms = std::max(latest_ms, after_ms);
  }
  std::array<char, 200> line{};
  std::snprintf(line.data(), line.size(),
                "%-10s %d clients with %d requests each (%s): %d begun, %d of them over %.0f ms "
                "after their client had left, the latest %.1f ms",
                name_of(leaving), kClients, kRequestsPerClient, query.c_str(), begun, late,
                kMaxBeginAfterLeavingMs, latest_ms);
  HostileResult result{line.data(), ""};
  if (late > 0)
    result.broken = "requests begin after their client has left";
  return result;
}

// Where a request comes again whose client has left.
enum class Repeat { SameProcess, AfterManyOthers, OtherProcess, AfterTwoHotRestarts };
constexpr std::array kRepeats{Repeat::SameProcess, Repeat::AfterManyOthers, Repeat::OtherProcess,
                              Repeat::AfterTwoHotRestarts};

const char* name_of(Repeat repeat) {
  switch (repeat) {
    case Repeat::SameProcess:
      return "at the same process";
    case Repeat::AfterManyOthers:
      return "after 10,000 rejected others";
    case Repeat::OtherProcess:
      return "at the other process";
    case Repeat::AfterTwoHotRestarts:
      return "after two hot restarts";
  }
  return "";
}

// Requests that no worker accepts, pipelined on a few connections.
void send_rejected_requests(const std::string& address) {
  constexpr int kRequests = 10'000;
  constexpr int kPerConnection = 100;
  for (int sent = 0; sent < kRequests; sent += kPerConnection) {
    BlockingConnection connection(BlockingConnection::dial(address));
    std::string requests;
    for (int i = 0; i < kPerConnection; ++i) {
      ClientRequest request =
          make_request(kFirstOtherId + static_cast<std::uint64_t>(sent + i), "");
      request.time_left_ms = 1;  // too little for any worker
      requests += request_head(request);
    }
    connection.send(requests);
    for (int i = 0; i < kPerConnection; ++i) {
      HttpHead head;
      auto ignore = [](std::string_view) {
        return true;
      };
      if (!read_head(connection, head) || !read_body(connection, head, 0, ignore))
        break;
    }
  }
}

HostileResult measure_repeat(const HostileSetup& setup, Leaving leaving, Repeat repeat,
                             bool begun_before) {
  StubServices services(process_loopback_address(), kWorkers);
  DispatcherProcess dispatcher(process_setup(setup), services);
  // A request before it on the same connection keeps the repeated one unread.
  std::string requests;
  if (!begun_before)
    requests += request_head(make_request(kFirstId, "news=1&work=400"));
  requests += request_head(make_request(kRepeatedId, "news=1&late=400"));
  BlockingConnection first(BlockingConnection::dial(dispatcher.address()));
  first.send(requests);
  std::this_thread::sleep_for(kUntilBegun);
  leave(first, leaving);
  std::this_thread::sleep_for(kBeforeLeaving);
  if (repeat == Repeat::AfterManyOthers)
    send_rejected_requests(dispatcher.address());
  int restarts = repeat == Repeat::OtherProcess ? 1 : repeat == Repeat::AfterTwoHotRestarts ? 2 : 0;
  bool restarted = true;
  for (int i = 0; i < restarts; ++i) {
    if (i > 0)
      dispatcher.terminate_outgoing();
    restarted = restarted && dispatcher.start_hot_restart();
  }
  ClientResponse again =
      submit_request(dispatcher.address(), make_request(kRepeatedId, "news=1&work=5"));
  std::this_thread::sleep_for(kAfterLeaving);
  int runs = 0;
  for (const ReceivedAttempt& attempt : services.received_attempts())
    runs += attempt.id == id_text(kRepeatedId) && attempt.begun ? 1 : 0;
  std::array<char, 200> line{};
  std::snprintf(line.data(), line.size(),
                "id again %s, its client left by %s, %s: %d runs, answer %d", name_of(repeat),
                name_of(leaving), begun_before ? "begun" : "unread", runs, again.status);
  HostileResult result{line.data(), ""};
  if (!restarted) {
    result.broken = "the hot restart failed";
  } else if (runs > 1) {
    result.broken = "the request ran twice";
  }
  return result;
}

}  // namespace

std::vector<HostileResult> measure_abandonment(const HostileSetup& setup) {
  std::vector<HostileResult> results;
  for (Leaving leaving : kLeavings) {
    for (const char* query : {"news=1", "news=1&work=20", "news=1&late=200"})
      results.push_back(measure_unread(setup, leaving, query));
  }
  for (Repeat repeat : kRepeats) {
    for (Leaving leaving : kLeavings) {
      for (bool begun_before : {true, false})
        results.push_back(measure_repeat(setup, leaving, repeat, begun_before));
    }
  }
  return results;
}

}  // namespace dispatcher::testbed

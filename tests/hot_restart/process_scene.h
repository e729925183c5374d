// Runs the program as a process between stubs on real sockets. If a check fails, the unexpected
// responses are printed and the program's folder is kept (testbed/stubs/evidence.h).
#pragma once

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>

#include "testbed/stubs/stubs.h"

namespace dispatcher::testing {

inline std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  REQUIRE(value);
  return value;
}

inline const std::string kFulfilledMetric = "dispatcher.operations.place-order.fulfilled";
inline const std::string kRelayedMetric = "dispatcher.relayed";

struct ProcessHarness {
  // `config_overrides`: JSON, merged into the example configuration.
  // ROUTER_DISCOVERY names the discovery of `fleet`, as in a deployment.
  explicit ProcessHarness(std::string config_overrides = "")
      : dispatcher({.program = environment_variable("DISPATCHER"),
                    .config = environment_variable("DISPATCHER_CONFIG"),
                    .features = "",
                    .host = testbed::process_loopback_address(),
                    .max_sockets = 1024,
                    .admin_address = true,
                    .config_overrides = std::move(config_overrides),
                    .trace = true,
                    .discovery_variable = fleet.discovery_address()},
                   fleet) {}

  testbed::StubServices fleet{testbed::process_loopback_address(), 3};
  testbed::DispatcherProcess dispatcher;
  std::atomic<std::uint64_t> next_request_id{1};

  testbed::ClientRequest make_request(const std::string& query = "news=1&work=3") {
    testbed::ClientRequest request;
    request.id = next_request_id++;
    request.query = query;
    request.upload_bytes = 100;
    request.time_left_ms = 5000;
    return request;
  }
  // By request id, the number of attempts that workers have received completely.
  std::map<std::string, int> started_attempts() {
    std::map<std::string, int> counts;
    for (const testbed::ReceivedAttempt& attempt : fleet.received_attempts())
      counts[attempt.id] += attempt.begun;
    return counts;
  }
  // Has no timeout of its own: the test runner ends a test that hangs here.
  template <class Condition>
  void wait_until(Condition condition) {
    while (!condition())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  testbed::AdminResponse stats(const std::string& admin_address) {
    return testbed::call_admin(admin_address, "GET", "/admin/stats");
  }
  bool log_contains(const std::string& text) {
    return dispatcher.log().find(text) != std::string::npos;
  }
  // Prints a response that will fail a check.
  void print_unexpected_response(const testbed::ClientRequest& request,
                                 const testbed::ClientResponse& response) const {
    double now_ms = std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now().time_since_epoch())
                        .count();
    std::fprintf(
        stderr, "unexpected response to %016llx: status %d%s after %.1f ms, at %.1f ms: %.200s\n",
        static_cast<unsigned long long>(request.id), response.status,
        response.complete ? "" : ", incomplete,", response.ms, now_ms, response.body.c_str());
  }
};

}  // namespace dispatcher::testing

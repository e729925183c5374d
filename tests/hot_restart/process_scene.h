// The program as a process between stubs on real sockets. Where a check fails, the wrong answers
// are printed and the program's folder is kept (testbed/stubs/evidence.h).
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

inline std::string environment(const char* name) {
  const char* value = std::getenv(name);
  REQUIRE(value);
  return value;
}

inline const std::string kServed = "dispatcher.operations.place-order.fulfilled";
inline const std::string kRelayed = "dispatcher.relayed";

struct Scene {
  testbed::Fleet fleet{testbed::own_host(), 3};
  testbed::Dispatcher dispatcher{{.program = environment("DISPATCHER"),
                                  .config = environment("DISPATCHER_CONFIG"),
                                  .features = "",
                                  .host = testbed::own_host(),
                                  .sockets = 1024,
                                  .operators = true,
                                  .trace = true},
                                 fleet};
  std::atomic<std::uint64_t> ids{1};

  testbed::Order order(const std::string& query = "news=1&work=3") {
    testbed::Order o;
    o.id = ids++;
    o.query = query;
    o.upload = 100;
    o.time_left_ms = 5000;
    return o;
  }
  std::map<std::string, int> begun() {
    std::map<std::string, int> counts;
    for (const testbed::Seen& s : fleet.seen())
      counts[s.id] += s.begun;
    return counts;
  }
  template <class Done>
  void until(Done done) {  // a test that hangs here is ended by the test runner
    while (!done())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  testbed::Call stats(const std::string& operators) {
    return testbed::call(operators, "GET", "/admin/stats");
  }
  bool logged(const std::string& text) { return dispatcher.log().find(text) != std::string::npos; }
  // Prints an answer that a check will find wrong.
  void note_wrong(const testbed::Order& order, const testbed::Answer& answer) const {
    double now_ms = std::chrono::duration<double, std::milli>(
                        std::chrono::steady_clock::now().time_since_epoch())
                        .count();
    std::fprintf(stderr, "wrong answer to %016llx: status %d%s after %.1f ms, at %.1f: %.200s\n",
                 static_cast<unsigned long long>(order.id), answer.status,
                 answer.whole ? "" : ", not whole,", answer.ms, now_ms, answer.body.c_str());
  }
};

}  // namespace dispatcher::testing

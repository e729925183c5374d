// How soon all members of a fleet hold one view again, and what the view costs each, in virtual
// time.
//
//     dispatcher_bench_view [MEMBERS...]     16 100 300 1000
//     dispatcher_bench_view --hour           an hour at a fifth of all messages lost, a tenth of a
//     hundred members stopped
//                                          for a second each minute: how often somebody is held
//                                          suspect or dead
#include <chrono>
#include <cstdio>
#include <string>

#include "testbed/simulation/membership_simulation.h"

using namespace dispatcher::testbed;

namespace {

double median(std::vector<double> v) {
  std::ranges::sort(v);
  return v[v.size() / 2];
}

void hour() {
  constexpr int kMembers = 100;
  for (bool health : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
      MembershipSimulation w(0, seed);
      w.options = [health](MembershipView::Options& o) {
        o.local_health = health;
      };
      w.begin(kMembers);
      w.until_agreed(300'000);
      w.loss(0.2);
      w.suspected = w.died = 0;
      for (int minute = 0; minute < 60; ++minute) {
        for (int i = 0; i < kMembers / 10; ++i)
          w.stop((minute * 7 + i) % kMembers, true);
        w.pass(1000);
        for (int i = 0; i < kMembers; ++i)
          w.stop(i, false);
        w.pass(59'000);
      }
      std::printf(
          "local health %s, seed %d: held suspect %ld times, dead %ld times (by any of %d, of "
          "any)\n",
          health ? "on" : "off", static_cast<int>(seed), w.suspected, w.died, kMembers);
      std::fflush(stdout);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && std::string(argv[1]) == "--hour")
    return hour(), 0;
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i)
    sizes.push_back(std::stoi(argv[i]));
  if (sizes.empty())
    sizes = {16, 100, 300, 1000};
  std::printf("%7s | %21s | %21s | %21s | %21s | %s\n", "members", "start of all, s",
              "one crash, s", "seven in ten die, s", "10 s in halves, s",
              "at rest, each a second: datagrams, bytes, us of CPU");
  for (int n : sizes) {
    std::vector<double> start;
    std::vector<double> crash;
    std::vector<double> most;
    std::vector<double> halves;
    std::vector<double> datagrams;
    std::vector<double> bytes;
    std::vector<double> cpu;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      constexpr double kLongest = 300'000;
      MembershipSimulation w(n, seed);
      start.push_back(w.until_agreed(kLongest) / 1000);
      w.pass(60'000);
      long sent = w.sent;
      long size = w.bytes;
      auto clock = std::chrono::steady_clock::now();
      w.pass(20'000);
      cpu.push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - clock)
              .count() /
          20 / n);
      datagrams.push_back(double(w.sent - sent) / 20 / n);
      bytes.push_back(double(w.bytes - size) / 20 / n);
      w.crash(0);
      w.pass(50);
      crash.push_back(w.until_agreed(kLongest) / 1000);
      w.cut = [n](int a, int b) {
        return (a < n / 2) != (b < n / 2);
      };
      w.pass(10'000);
      w.cut = [](int, int) {
        return false;
      };
      halves.push_back(w.until_agreed(kLongest) / 1000);
      for (int i = 1; i <= n * 7 / 10; ++i)
        w.crash(i);
      w.pass(50);
      most.push_back(w.until_agreed(kLongest) / 1000);
    }
    auto two = [](const std::vector<double>& v) {
      char text[40];
      std::snprintf(text, sizeof text, "%.1f (most %.1f)", median(v), std::ranges::max(v));
      return std::string(text);
    };
    std::printf("%7d | %21s | %21s | %21s | %21s | %.1f, %.0f, %.0f\n", n, two(start).c_str(),
                two(crash).c_str(), two(most).c_str(), two(halves).c_str(), median(datagrams),
                median(bytes), median(cpu));
    std::fflush(stdout);
  }
}

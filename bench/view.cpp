// How soon all members of a fleet hold one view again, and what the view costs each, in virtual time.
//
//     oatledge_bench_view [MEMBERS...]     16 100 300 1000
#include <chrono>
#include <cstdio>
#include <string>

#include "../lab/view_world.h"

using namespace oatledge::lab;

namespace {

double median(std::vector<double> v) {
  std::ranges::sort(v);
  return v[v.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<int> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::stoi(argv[i]));
  if (sizes.empty()) sizes = {16, 100, 300, 1000};
  std::printf("%7s | %21s | %21s | %21s | %21s | %s\n", "members", "start of all, s", "one crash, s",
              "seven in ten die, s", "10 s in halves, s",
              "at rest, each a second: datagrams, bytes, us of CPU");
  for (int n : sizes) {
    std::vector<double> start, crash, most, halves, datagrams, bytes, cpu;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      constexpr double kLongest = 300'000;
      ViewWorld w(n, seed);
      start.push_back(w.until_agreed(kLongest) / 1000);
      w.pass(60'000);
      long sent = w.sent, size = w.bytes;
      auto clock = std::chrono::steady_clock::now();
      w.pass(20'000);
      cpu.push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - clock).count() / 20 /
          n);
      datagrams.push_back(double(w.sent - sent) / 20 / n), bytes.push_back(double(w.bytes - size) / 20 / n);
      w.crash(0);
      w.pass(50);
      crash.push_back(w.until_agreed(kLongest) / 1000);
      w.cut = [n](int a, int b) { return (a < n / 2) != (b < n / 2); };
      w.pass(10'000);
      w.cut = [](int, int) { return false; };
      halves.push_back(w.until_agreed(kLongest) / 1000);
      for (int i = 1; i <= n * 7 / 10; ++i) w.crash(i);
      w.pass(50);
      most.push_back(w.until_agreed(kLongest) / 1000);
    }
    auto two = [](const std::vector<double>& v) {
      char text[40];
      std::snprintf(text, sizeof text, "%.1f (most %.1f)", median(v), std::ranges::max(v));
      return std::string(text);
    };
    std::printf("%7d | %21s | %21s | %21s | %21s | %.1f, %.0f, %.0f\n", n, two(start).c_str(),
                two(crash).c_str(), two(most).c_str(), two(halves).c_str(), median(datagrams), median(bytes),
                median(cpu));
    std::fflush(stdout);
  }
}

// What a fleet of a hundred dispatchers costs and how soon it learns: a table of counts over the
// scenes of testbed/fleet_scenarios.h, with news between dispatchers and without, and with a bad
// variant.
//
//     dispatcher_bench_fleet [SEED]
#include <cstdio>
#include <string>

#include "testbed/simulation/fleet_scenarios.h"

using namespace dispatcher::testbed;

int main(int argc, char** argv) {
  std::uint64_t seed = argc > 1 ? std::stoull(argv[1]) : 1;
  std::printf(
      "%-9s %-6s %6s %6s %6s %6s %5s | %5s %5s %5s | %6s %6s %6s %5s | %7s %7s | %5s %5s %6s | %5s "
      "%6s %6s\n",
      "scene", "", "orders", "served", "late", "refus", "fail", "att/o", "copy", "prb/o", "calls",
      "failed", "lines", "peak", "messag", "bytes", "falln", "cold", "used s", "after", "p50 ms",
      "p95 ms");
  for (const FleetScenario& scene : fleet_scenarios()) {
    for (const char* variant : {"on", "off", "alone"}) {
      FleetSimulation::Options o;
      o.seed = seed;
      o.news = std::string(variant) != "off";
      o.thinks_alone = std::string(variant) == "alone";
      FleetCounts c = play(scene, o);
      long peak = c.failed_by_second.empty() ? 0 : *std::ranges::max_element(c.failed_by_second);
      auto each = [&](long n) {
        return double(n) / double(c.orders);
      };
      std::printf(
          "%-9s %-6s %6ld %6ld %6ld %6ld %5ld | %5.2f %5ld %5.2f | %6ld %6ld %6ld %5ld | %7ld %7ld "
          "| %5ld "
          "%5.2f "
          "%6.0f | %5ld %6.0f %6.0f\n",
          scene.name, variant, c.orders, c.served, c.late, c.refused, c.failed, each(c.attempts),
          c.copies, each(c.probes), c.calls, c.failed_calls, c.lines, peak, c.messages, c.bytes,
          c.fallen, c.cold_most, c.cold_used / 1000, c.after_first, c.learned_at(0.5),
          c.learned_at(0.95));
    }
  }
  return 0;
}

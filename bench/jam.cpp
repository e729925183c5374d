// How long a fleet takes to come out of a jam: share of the orders in time by the second in which
// they came, and the time from the end of the fault until that is back at 95% of what it was.
//
//     dispatcher_bench_jam [SEEDS]
#include <cstdio>
#include <string>

#include "testbed/simulation/fleet_scenarios.h"

using namespace dispatcher::testbed;

int main(int argc, char** argv) {
  int seeds = argc > 1 ? std::stoi(argv[1]) : 1;
  for (const JamScenario& scene : jam_scenarios()) {
    for (int seed = 1; seed <= seeds; ++seed) {
      FleetSimulation::Where then;
      FleetCounts c = play(scene, static_cast<std::uint64_t>(seed), 300, &then);
      double all = double(c.orders);
      std::printf(
          "%-7s seed %d: settles %4.0f s  in time %.2f before, %.2f in the fault, %.2f after; all: "
          "late %.2f "
          "refused %.2f failed %.2f attempts %.2f copies %.2f probes %.2f |",
          scene.name, seed, c.settles(kJamFrom, scene.over), c.share(1, kJamFrom - 1),
          c.share(kJamFrom, scene.over), c.share(scene.over, kJamSeconds - 5), c.late / all,
          c.refused / all, c.failed / all, c.attempts / all, c.copies / all, c.probes / all);
      std::printf(" held %zu, at workers %zu (late %zu), running %zu (late %zu) |", then.held,
                  then.queued, then.queued_late, then.running, then.running_late);
      for (std::size_t i = 4; i < c.came.size(); ++i)
        std::printf(" %.2f", c.share(double(i), double(i) + 1));
      std::printf("\n");
    }
  }
  return 0;
}

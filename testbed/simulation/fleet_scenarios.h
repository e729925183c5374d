// The scenes that a fleet is counted in, for the tests and for bench/fleet.
#pragma once

#include <algorithm>

#include "testbed/simulation/fleet_simulation.h"

namespace dispatcher::testbed {

struct FleetScenario {
  const char* name;
  void (*options)(FleetSimulation::Options&);
  void (*troubles)(FleetSimulation&);
  double seconds;
};

inline const std::vector<FleetScenario>& fleet_scenarios() {
  using Options = FleetSimulation::Options;
  static const std::vector<FleetScenario> scenes{
      {"calm", [](Options&) {}, [](FleetSimulation&) {}, 15},
      // three quarters of the dispatchers are killed within a second and start again from old lists
      {"herd", [](Options&) {},
       [](FleetSimulation& w) {
         for (int i = 0; i < 20; ++i)
           w.at(4 + 0.05 * i, [&w, i] { w.replace(i); });
         for (int i = 0; i < 75; ++i)
           w.at(5 + i / 75.0, [&w, i] { w.kill(i, 0.3); });
       },
       20},
      // a third of the workers vanish silently and come back cold, all together
      {"vanish", [](Options& o) { o.load = 0.4; },
       [](FleetSimulation& w) {
         for (int i = 0; i < 20; ++i)
           w.at(5, [&w, i] { w.vanish(i); }), w.at(12, [&w, i] { w.come_back(i); });
       },
       24},
      // six in ten are replaced by new ones within seven seconds
      {"replace", [](Options& o) { o.load = 0.4; },
       [](FleetSimulation& w) {
         for (int i = 0; i < 36; ++i)
           w.at(5 + 7.0 * i / 36, [&w, i] { w.replace(i); });
       },
       24},
      // a few workers fail or crawl, a few dispatchers carry ten times the traffic of the rest
      {"uneven", [](Options& o) { o.busy = 5; },
       [](FleetSimulation& w) {
         for (int i = 0; i < 3; ++i)
           w.at(4, [&w, i] { w.make_bad(i, 0.7, 1); });
         for (int i = 3; i < 6; ++i)
           w.at(4, [&w, i] { w.make_bad(i, 0, 0.15); });
       },
       20},
      // half of all messages between dispatchers are lost
      {"lossy", [](Options& o) { o.lossy = 0.5; }, [](FleetSimulation&) {}, 15},
  };
  return scenes;
}

// What a fleet should come out of again: a fault from second 6 to `over`. Three dispatchers for
// each worker.
struct JamScenario {
  const char* name;
  void (*troubles)(FleetSimulation&, int dispatchers);
  double over;
};
constexpr double kJamFrom = 6, kJamSeconds = 24;

inline void silence_a_fifth(FleetSimulation& w, int dispatchers) {
  for (int i = 0; i < dispatchers / 15; ++i) {
    w.at(6, [&w, i] { w.silent(i, true); });
    w.at(12, [&w, i] { w.silent(i, false); });
  }
}

inline const std::vector<JamScenario>& jam_scenarios() {
  static const std::vector<JamScenario> scenes{
      {"burst",
       [](FleetSimulation& w, int) {
         w.at(6, [&w] { w.load(2); });
         w.at(10, [&w] { w.load(1); });
       },
       10},
      // a third of the dispatchers hear no others, and a fifth of the workers say nothing
      {"split",
       [](FleetSimulation& w, int dispatchers) {
         w.at(6, [&w, dispatchers] { w.cut(0, dispatchers / 3, true); });
         w.at(12, [&w, dispatchers] { w.cut(0, dispatchers / 3, false); });
         silence_a_fifth(w, dispatchers);
       },
       12},
      {"silent", silence_a_fifth, 12},
      {"killed",
       [](FleetSimulation& w, int dispatchers) {
         for (int i = 0; i < dispatchers * 7 / 10; ++i)
           w.at(6 + double(i) / dispatchers, [&w, i] { w.kill(i, 1); });
       },
       8},
  };
  return scenes;
}

// at_over: where the orders are at the end of the fault.
inline FleetCounts play(const JamScenario& scene, std::uint64_t seed, int dispatchers = 300,
                        FleetSimulation::Where* at_over = nullptr) {
  FleetSimulation::Options o;
  o.dispatchers = dispatchers;
  o.workers = dispatchers / 3;
  o.load = 0.75;
  o.keyed = 0.25;
  o.seed = seed;
  FleetSimulation world(o);
  scene.troubles(world, dispatchers);
  if (at_over)
    world.at(scene.over, [&] { *at_over = world.where(); });
  world.run_until(kJamSeconds);
  return world.counts();
}

// The scene's own options go over those given, and all that came is answered in the end.
inline FleetCounts play(const FleetScenario& scene, FleetSimulation::Options options) {
  scene.options(options);
  FleetSimulation world(options);
  scene.troubles(world);
  world.run_until(scene.seconds);
  return world.counts();
}

}  // namespace dispatcher::testbed

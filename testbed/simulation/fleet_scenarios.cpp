#include "testbed/simulation/fleet_scenarios.h"

namespace dispatcher::testbed {
namespace {

using Options = FleetSimulation::Options;

constexpr double kSilenceEndSeconds = 12;

void keep_options(Options& /*options*/) {}

void no_faults(FleetSimulation& /*simulation*/) {}

void reduce_load(Options& options) {
  options.load = 0.4;
}

// Three quarters of the dispatchers are killed within a second and start again from old lists.
void herd(FleetSimulation& simulation) {
  for (int i = 0; i < 20; ++i)
    simulation.at(4 + 0.05 * i, [&simulation, i] { simulation.replace(i); });
  for (int i = 0; i < 75; ++i)
    simulation.at(5 + i / 75.0, [&simulation, i] { simulation.kill(i, 0.3); });
}

// A third of the workers vanish and come back in their slow start, all together.
void vanish(FleetSimulation& simulation) {
  for (int i = 0; i < 20; ++i) {
    simulation.at(5, [&simulation, i] { simulation.vanish(i); });
    simulation.at(12, [&simulation, i] { simulation.come_back(i); });
  }
}

// Six in ten workers are replaced by new ones within seven seconds.
void replace(FleetSimulation& simulation) {
  for (int i = 0; i < 36; ++i)
    simulation.at(5 + 7.0 * i / 36, [&simulation, i] { simulation.replace(i); });
}

// Three workers fail and three are slow.
void degrade_workers(FleetSimulation& simulation) {
  for (int i = 0; i < 3; ++i)
    simulation.at(4, [&simulation, i] { simulation.degrade(i, 0.7, 1); });
  for (int i = 3; i < 6; ++i)
    simulation.at(4, [&simulation, i] { simulation.degrade(i, 0, 0.15); });
}

void burst(FleetSimulation& simulation, int /*dispatchers*/) {
  simulation.at(kJamStartSeconds, [&simulation] { simulation.set_load_factor(2); });
  simulation.at(10, [&simulation] { simulation.set_load_factor(1); });
}

// A fifth of the workers are silent.
void silence_workers(FleetSimulation& simulation, int dispatchers) {
  for (int i = 0; i < dispatchers / 15; ++i) {
    simulation.at(kJamStartSeconds, [&simulation, i] { simulation.set_silent(i, true); });
    simulation.at(kSilenceEndSeconds, [&simulation, i] { simulation.set_silent(i, false); });
  }
}

// A third of the dispatchers receive no gossip, and a fifth of the workers are silent.
void split(FleetSimulation& simulation, int dispatchers) {
  int last = dispatchers / 3;
  simulation.at(kJamStartSeconds, [&simulation, last] { simulation.set_isolated(0, last, true); });
  simulation.at(kSilenceEndSeconds,
                [&simulation, last] { simulation.set_isolated(0, last, false); });
  silence_workers(simulation, dispatchers);
}

// Seven in ten dispatchers are killed within a second.
void kill_dispatchers(FleetSimulation& simulation, int dispatchers) {
  for (int i = 0; i < dispatchers * 7 / 10; ++i) {
    double at_s = kJamStartSeconds + static_cast<double>(i) / dispatchers;
    simulation.at(at_s, [&simulation, i] { simulation.kill(i, 1); });
  }
}

}  // namespace

const std::vector<FleetScenario>& fleet_scenarios() {
  static const std::vector<FleetScenario> kScenarios{
      {"calm", keep_options, no_faults, 15},
      {"herd", keep_options, herd, 20},
      {"vanish", reduce_load, vanish, 24},
      {"replace", reduce_load, replace, 24},
      {"uneven", [](Options& options) { options.busy_dispatchers = 5; }, degrade_workers, 20},
      {"lossy", [](Options& options) { options.message_loss = 0.5; }, no_faults, 15},
  };
  return kScenarios;
}

const std::vector<JamScenario>& jam_scenarios() {
  static const std::vector<JamScenario> kScenarios{
      {"burst", burst, 10},
      {"split", split, kSilenceEndSeconds},
      {"silent", silence_workers, kSilenceEndSeconds},
      {"killed", kill_dispatchers, 8},
  };
  return kScenarios;
}

FleetCounts run(const FleetScenario& scenario, FleetSimulation::Options options) {
  scenario.adjust_options(options);
  FleetSimulation simulation(options);
  scenario.schedule_faults(simulation);
  simulation.run_until(scenario.seconds);
  return simulation.counts();
}

FleetCounts run(const JamScenario& scenario, std::uint64_t seed, int dispatchers,
                FleetSimulation::RequestLocations* at_fault_end) {
  FleetSimulation simulation({.dispatchers = dispatchers,
                              .workers = dispatchers / 3,
                              .seed = seed,
                              .load = 0.75,
                              .keyed_share = 0.25});
  scenario.schedule_faults(simulation, dispatchers);
  if (at_fault_end != nullptr) {
    simulation.at(scenario.fault_end_s, [&] { *at_fault_end = simulation.request_locations(); });
  }
  simulation.run_until(kJamSeconds);
  return simulation.counts();
}

}  // namespace dispatcher::testbed

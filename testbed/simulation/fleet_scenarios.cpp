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

// A third of the workers are replaced, then three quarters of the dispatchers are killed within a
// second and start again from outdated endpoint lists.
void kill_most_dispatchers(FleetSimulation& simulation) {
  for (int i = 0; i < 20; ++i)
    simulation.schedule_at(4 + 0.05 * i, [&simulation, i] { simulation.replace_worker(i); });
  for (int i = 0; i < 75; ++i)
    simulation.schedule_at(5 + i / 75.0, [&simulation, i] { simulation.kill_dispatcher(i, 0.3); });
}

// A third of the workers crash at the same time, and later restart together, in slow start.
void crash_workers(FleetSimulation& simulation) {
  for (int i = 0; i < 20; ++i) {
    simulation.schedule_at(5, [&simulation, i] { simulation.crash_worker(i); });
    simulation.schedule_at(12, [&simulation, i] { simulation.restart_worker(i); });
  }
}

// 60% of the workers are replaced by new ones within seven seconds.
void replace_workers(FleetSimulation& simulation) {
  for (int i = 0; i < 36; ++i)
    simulation.schedule_at(5 + 7.0 * i / 36, [&simulation, i] { simulation.replace_worker(i); });
}

// Three workers fail 70% of their requests, and three are slow.
void degrade_workers(FleetSimulation& simulation) {
  for (int i = 0; i < 3; ++i)
    simulation.schedule_at(4, [&simulation, i] { simulation.degrade_worker(i, 0.7, 1); });
  for (int i = 3; i < 6; ++i)
    simulation.schedule_at(4, [&simulation, i] { simulation.degrade_worker(i, 0, 0.15); });
}

// The load doubles for four seconds.
void double_load(FleetSimulation& simulation, int /*dispatchers*/) {
  simulation.schedule_at(kFaultStartSeconds, [&simulation] { simulation.set_load_factor(2); });
  simulation.schedule_at(10, [&simulation] { simulation.set_load_factor(1); });
}

// A fifth of the workers (there are a third as many as dispatchers) are silent.
void silence_workers(FleetSimulation& simulation, int dispatchers) {
  for (int i = 0; i < dispatchers / 15; ++i) {
    simulation.schedule_at(kFaultStartSeconds,
                           [&simulation, i] { simulation.set_worker_silent(i, true); });
    simulation.schedule_at(kSilenceEndSeconds,
                           [&simulation, i] { simulation.set_worker_silent(i, false); });
  }
}

// A third of the dispatchers exchange no gossip, and a fifth of the workers are silent.
void isolate_dispatchers(FleetSimulation& simulation, int dispatchers) {
  int last = dispatchers / 3;
  simulation.schedule_at(kFaultStartSeconds, [&simulation, last] {
    simulation.set_dispatchers_isolated(0, last, true);
  });
  simulation.schedule_at(kSilenceEndSeconds, [&simulation, last] {
    simulation.set_dispatchers_isolated(0, last, false);
  });
  silence_workers(simulation, dispatchers);
}

// 70% of the dispatchers are killed within a second.
void kill_dispatchers(FleetSimulation& simulation, int dispatchers) {
  for (int i = 0; i < dispatchers * 7 / 10; ++i) {
    double at_s = kFaultStartSeconds + static_cast<double>(i) / dispatchers;
    simulation.schedule_at(at_s, [&simulation, i] { simulation.kill_dispatcher(i, 1); });
  }
}

}  // namespace

const std::vector<FleetScenario>& fleet_scenarios() {
  static const std::vector<FleetScenario> kScenarios{
      {"calm", keep_options, no_faults, 15},
      {"herd", keep_options, kill_most_dispatchers, 20},
      {"vanish", reduce_load, crash_workers, 24},
      {"replace", reduce_load, replace_workers, 24},
      {"uneven", [](Options& options) { options.busy_dispatchers = 5; }, degrade_workers, 20},
      {"lossy", [](Options& options) { options.message_loss = 0.5; }, no_faults, 15},
  };
  return kScenarios;
}

const std::vector<RecoveryScenario>& recovery_scenarios() {
  static const std::vector<RecoveryScenario> kScenarios{
      {"burst", double_load, 10},
      {"split", isolate_dispatchers, kSilenceEndSeconds},
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

FleetCounts run(const RecoveryScenario& scenario, std::uint64_t seed, int dispatchers,
                FleetSimulation::RequestLocations* at_fault_end) {
  FleetSimulation simulation({.dispatchers = dispatchers,
                              .workers = dispatchers / 3,
                              .seed = seed,
                              .load = 0.75,
                              .keyed_share = 0.25});
  scenario.schedule_faults(simulation, dispatchers);
  if (at_fault_end != nullptr) {
    simulation.schedule_at(scenario.fault_end_s,
                           [&] { *at_fault_end = simulation.request_locations(); });
  }
  simulation.run_until(kRecoveryRunSeconds);
  return simulation.counts();
}

}  // namespace dispatcher::testbed

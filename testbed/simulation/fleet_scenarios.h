// The scenarios in which a simulated fleet is counted, for the tests and the benchmarks.
#pragma once

#include <cstdint>
#include <vector>

#include "testbed/simulation/fleet_simulation.h"

namespace dispatcher::testbed {

// What a fleet costs in good and bad times.
struct FleetScenario {
  const char* name;
  void (*adjust_options)(FleetSimulation::Options&);
  void (*schedule_faults)(FleetSimulation&);
  double seconds;
};

const std::vector<FleetScenario>& fleet_scenarios();

// A fault that a fleet should recover from: it lasts from kJamStartSeconds to `fault_end_s`.
struct JamScenario {
  const char* name;
  void (*schedule_faults)(FleetSimulation&, int dispatchers);
  double fault_end_s;
};

constexpr double kJamStartSeconds = 6;
constexpr double kJamSeconds = 24;  // of a whole run

const std::vector<JamScenario>& jam_scenarios();

// Runs a scenario to its end. The scenario's own options take precedence over `options`.
FleetCounts run(const FleetScenario& scenario, FleetSimulation::Options options);

// Three dispatchers to a worker. `at_fault_end`, where given, receives the locations of the open
// requests at the end of the fault.
FleetCounts run(const JamScenario& scenario, std::uint64_t seed, int dispatchers = 300,
                FleetSimulation::RequestLocations* at_fault_end = nullptr);

}  // namespace dispatcher::testbed

// Scenarios for the fleet simulation, shared by the tests and the benchmarks.
#pragma once

#include <cstdint>
#include <vector>

#include "testbed/simulation/fleet_simulation.h"

namespace dispatcher::testbed {

// Measures the cost of a fleet, without faults and with them.
struct FleetScenario {
  const char* name;
  void (*adjust_options)(FleetSimulation::Options&);
  void (*schedule_faults)(FleetSimulation&);
  double seconds;
};

const std::vector<FleetScenario>& fleet_scenarios();

// Measures recovery from a fault that lasts from kFaultStartSeconds to `fault_end_s`.
struct RecoveryScenario {
  const char* name;
  void (*schedule_faults)(FleetSimulation&, int dispatchers);
  double fault_end_s;
};

constexpr double kFaultStartSeconds = 6;
constexpr double kRecoveryRunSeconds = 24;  // length of a whole run

const std::vector<RecoveryScenario>& recovery_scenarios();

// Runs a scenario to its end. The options that the scenario sets override those in `options`.
FleetCounts run(const FleetScenario& scenario, FleetSimulation::Options options);

// Runs a scenario to its end, with three dispatchers per worker. `at_fault_end`, if not null,
// receives the locations of the open requests at the end of the fault.
FleetCounts run(const RecoveryScenario& scenario, std::uint64_t seed, int dispatchers = 300,
                FleetSimulation::RequestLocations* at_fault_end = nullptr);

}  // namespace dispatcher::testbed

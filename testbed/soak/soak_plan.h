// What happens in a soak: restarts, signals and faults, all drawn from one seed.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "testbed/stubs/stubs.h"

namespace dispatcher::testbed {

enum class SoakEvent {
  HotRestart,
  HotRestartTerminatedEarly,  // SIGTERM to the outgoing process before the incoming one is ready
  Restart,                    // the only process ends, then the next one starts
  Reload                      // SIGHUP only
};

// What the endpoint list says of a worker for as long as the faults of its round last.
enum class ListChange { None, Draining, Removed };

struct SoakRound {
  SoakEvent event = SoakEvent::HotRestart;
  std::chrono::milliseconds calm{0};  // before the event
  bool earlier_program = false;       // the started process is of the earlier version
  bool crowd = false;
  bool leaving_clients = false;
  bool upload_resets = false;  // workers reset some connections before the request is complete
  WorkerFault worker_fault = WorkerFault::None;
  int faulty_worker = 0;
  ListChange list_change = ListChange::None;
  int changed_worker = 0;
  DiscoveryFault discovery_fault;
  std::chrono::milliseconds discovery_fault_lasts{0};
  int hangups = 0;  // SIGHUP, in series
  int terminations = 1;
  std::chrono::milliseconds signal_gap{0};
  std::chrono::milliseconds termination_delay{0};  // of HotRestartTerminatedEarly, from the start
  std::chrono::milliseconds balancer_notices{0};   // of Restart, from SIGTERM

  // Whether a request may fail. Neither faults of discovery are an excuse, as the endpoint list is
  // known or the process is not ready, nor a list that changes.
  bool has_worker_fault() const { return upload_resets || worker_fault != WorkerFault::None; }
};

struct SoakPlan {
  std::uint64_t seed = 0;
  std::vector<SoakRound> rounds;
};

// Which processes of a soak are of an earlier version.
enum class EarlierProgram {
  None,
  Drawn,      // as drawn for each start
  OneEndOnly  // as drawn, but in no hot restart both processes
};

SoakPlan draw_soak_plan(std::uint64_t seed, int rounds, EarlierProgram earlier_program);

// A line for the output.
std::string describe(const SoakRound& round);

}  // namespace dispatcher::testbed

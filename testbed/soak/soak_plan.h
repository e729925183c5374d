// The plan of a soak: restarts, signals and faults, all drawn at random from one seed.
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
  Restart,                    // the running process ends, then the next one starts
  Reload                      // SIGHUP only
};

// How the endpoint list shows a worker while the faults of its round last.
enum class ListChange { None, Draining, Removed };

struct SoakRound {
  SoakEvent event = SoakEvent::HotRestart;
  std::chrono::milliseconds delay_before_event{0};
  bool earlier_program = false;  // the process that is started is of the earlier version
  bool connection_burst = false;
  bool early_disconnects = false;
  bool upload_resets = false;  // workers reset some connections before the request is complete
  WorkerFault worker_fault = WorkerFault::None;
  int faulty_worker = 0;
  ListChange list_change = ListChange::None;
  int changed_worker = 0;
  DiscoveryFault discovery_fault;
  std::chrono::milliseconds discovery_fault_lasts{0};
  int sighups = 0;   // SIGHUPs in series
  int sigterms = 1;  // SIGTERMs in series
  std::chrono::milliseconds signal_interval{0};
  std::chrono::milliseconds termination_delay{0};  // of HotRestartTerminatedEarly: from the start
  std::chrono::milliseconds balancer_delay{0};     // of Restart: from SIGTERM

  // Whether requests may fail. Discovery faults are no excuse, because a process either knows the
  // endpoint list or is not ready; neither are changes of the list.
  bool has_worker_fault() const { return upload_resets || worker_fault != WorkerFault::None; }
};

struct SoakPlan {
  std::uint64_t seed = 0;
  std::vector<SoakRound> rounds;
};

// Which processes of a soak are of an earlier version.
enum class EarlierProgram {
  None,
  Drawn,      // chosen at random for each start
  OneEndOnly  // likewise, but never both processes of a hot restart
};

SoakPlan draw_soak_plan(std::uint64_t seed, int rounds, EarlierProgram earlier_program);

// One line for the output.
std::string describe(const SoakRound& round);

}  // namespace dispatcher::testbed

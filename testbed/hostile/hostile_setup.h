// What the rigs for hostile clients share: the program under test, its limits, and the verdict.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testbed/stubs/dispatcher_process.h"

namespace dispatcher::testbed {

struct HostileSetup {
  std::string program;
  std::string config;      // path of a file
  int memory_mb = 192;     // limits.memory_mb
  int max_sockets = 1024;  // limits.sockets
};

// Whether figures of memory are those of the program: sanitizers need several times as much.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kMemoryIsJudged = false;
#else
constexpr bool kMemoryIsJudged = true;
#endif

constexpr std::uint64_t kKilobytesPerMegabyte = 1024;

DispatcherProcess::Setup process_setup(const HostileSetup& setup);

// One line of a rig's result. `broken`: why the line violates a rule; empty if it does not.
struct HostileResult {
  std::string figures;
  std::string broken;
};

// Prints all results; returns whether none is broken.
bool print_results(const std::vector<HostileResult>& results);

}  // namespace dispatcher::testbed

// Describes a deployment's settings to its operator: what they permit, and where they contradict
// each other. Has no effect on the dispatcher.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstddef>
#include <string>
#include <vector>

namespace dispatcher::settings {

// The part of the configuration outside of scheduling::Settings.
struct ProcessSettings {
  std::size_t sockets = 0;
  std::size_t memory_mb = 0;
  bool peers_allowed = false;         // dispatchers may exchange messages
  bool listens_for_peers = false;     // an address to receive them is given
  std::size_t peers = 0;              // number of dispatcher addresses, including this one
  std::size_t max_open_requests = 0;  // 0: no limit
};

// Returns a table for human readers, of several newline-terminated lines. Times are in
// milliseconds.
std::string describe(const scheduling::Settings& settings, const ProcessSettings& process);

// Returns one line without a newline for each contradiction. The dispatcher works despite all of
// them.
std::vector<std::string> find_contradictions(const scheduling::Settings& settings,
                                             const ProcessSettings& process);

}  // namespace dispatcher::settings

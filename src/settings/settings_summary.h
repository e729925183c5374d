// Describes a deployment's settings for the operator who brings it up: what they permit, and where
// they contradict each other. Has no effect on the dispatcher.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstddef>
#include <string>
#include <vector>

namespace dispatcher::settings {

// The part of the configuration beside the settings.
struct Place {
  std::size_t sockets = 0;
  std::size_t memory_mb = 0;
  bool peers_allowed = false;         // dispatchers may exchange messages
  bool listens = false;               // an address for these is given
  std::size_t peers = 0;              // addresses of dispatchers, this one included
  std::size_t max_open_requests = 0;  // limit of open requests; 0: none
};

// A table for people, several lines with their ends. Times are in milliseconds.
std::string describe(const scheduling::Settings& settings, const Place& place);

// One line for each contradiction, without its end. The dispatcher works with all of them.
std::vector<std::string> contradictions(const scheduling::Settings& settings, const Place& place);

}  // namespace dispatcher::settings

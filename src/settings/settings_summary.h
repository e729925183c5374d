// What a deployment's settings permit and forbid, in words, and what in them contradicts itself:
// for whoever brings up a deployment. Says, decides nothing.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <string>
#include <vector>

namespace dispatcher::settings {

// Of the configuration beside the settings.
struct Place {
  std::size_t sockets = 0;
  std::size_t memory_mb = 0;
  bool peers_allowed = false;
  bool listens = false;       // messages between dispatchers: permitted; an address is given
  std::size_t peers = 0;      // addresses of dispatchers, our own among them
  std::size_t most_open = 0;  // orders; 0: no limit is named
};

// A table for people, several lines, each ended. Times are in milliseconds.
std::string describe(const scheduling::Settings& settings, const Place& place);

// One line each, without an end; none where nothing contradicts itself. All of it can be worked
// with.
std::vector<std::string> contradictions(const scheduling::Settings& settings, const Place& place);

}  // namespace dispatcher::settings

// The configuration of ROUTER_CONFIG and the environment, checked.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "protocol/messages.h"

namespace dispatcher::program {

struct Config {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string ops;  // the operators' address; empty: none
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  std::size_t most_open = 0;  // commands; 0: the settings name no limit
  scheduling::Duration conn_idle{0};
  scheduling::Settings settings;
  protocol::IdentifierTables words;
  std::optional<protocol::EndpointUpdate> known;
  bool may_talk = false;           // with other dispatchers
  std::string peer_listen;         // empty: dispatchers do not talk with each other
  std::vector<std::string> peers;  // their addresses, by the dispatchers' numbers
  // What a running program cannot take over, as written: a reload that changes one of these says
  // so.
  std::map<std::string, std::string> fixed;
  Json::Value file;  // as read, without `known`: what a reload must have too
};

using Lookup = std::function<std::string(const char* variable)>;  // empty when unset

// At the start the environment goes before the file; at a reload the file's `discovery` goes before
// the environment, which cannot have changed since.
enum class Occasion { Start, Reload };

// Throws std::runtime_error with one line that names what is wrong. A reload is held against the
// file that is in force: it needs the same keys with values of the same types, and settings that
// can be worked with, since a file that is half written must not be taken for one that means to
// leave things out.
Config read_config(std::string_view json, const Lookup& environment,
                   scheduling::Duration wall_to_steady, Occasion occasion = Occasion::Start,
                   const Json::Value& in_force = {});

// Numbers the classes, tenants, zones and kinds of `next` as `now` does, new ones behind: jobs and
// what has been learned refer to them by number. A class that `next` does not name any more keeps
// its place, marked as dropped.
void keep_numbers(const Config& now, Config& next);

}  // namespace dispatcher::program

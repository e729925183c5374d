// The configuration of ROUTER_CONFIG and the environment, checked.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

#include "protocol/messages.h"

namespace dispatcher::program {

struct Config {
  std::string name;
  std::string listen;
  std::string discovery;
  std::string ops;  // address for operators; empty: none
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  std::size_t max_open_requests = 0;  // max. open requests; 0: the settings name no limit
  scheduling::Duration conn_idle{0};
  scheduling::Settings settings;
  protocol::IdentifierTables words;
  std::optional<protocol::EndpointUpdate> known;
  bool gossip_allowed = false;     // with other dispatchers
  std::string peer_listen;         // address for datagrams; empty: no talk with other dispatchers
  std::vector<std::string> peers;  // addresses of all dispatchers, by their index
  // Settings that need a restart, as written in the file: a reload that changes one logs its name.
  std::map<std::string, std::string> fixed;
  Json::Value file;  // as read, without `known` and `seed`: a reload must have the same keys
};

// Why a configuration cannot be used. what() is the one line for the operator.
class ConfigError : public std::runtime_error {
 public:
  static ConfigError unreadable(const std::string& file, const std::string& reason);
  // what() is "configuration: REASON".
  static ConfigError invalid(const std::string& field, const std::string& reason);
  // The same error with the file's path.
  ConfigError in_file(const std::string& file) const;

  const std::string& file() const { return details_.file; }    // empty: not known
  const std::string& field() const { return details_.field; }  // empty: of no single field
  const std::string& reason() const { return details_.reason; }

 private:
  struct Details {
    std::string file;
    std::string field;
    std::string reason;
  };
  ConfigError(const std::string& text, Details details);

  Details details_;
};

// The value of an environment variable; empty if it is unset.
using Lookup = std::function<std::string(const char* variable)>;

// At the start the environment goes before the file; at a reload the file's `discovery` goes before
// the environment, which cannot have changed since.
enum class Occasion { Start, Reload };

// Throws ConfigError. A reload is checked against the file in force: it needs the same keys with
// values of the same types, and usable settings, as a half-written file must not be taken for one
// that leaves settings out on purpose.
Config read_config(std::string_view json, const Lookup& environment,
                   scheduling::Duration wall_to_steady, Occasion occasion = Occasion::Start,
                   const Json::Value& in_force = {});

// The same for the file at `path`.
Config read_config_file(const std::string& path, const Lookup& environment,
                        scheduling::Duration wall_to_steady, Occasion occasion = Occasion::Start,
                        const Json::Value& in_force = {});

// Gives the classes, tenants, zones and kinds of `next` the indexes they have in `now`, new ones
// behind: open requests and learned state refer to them by index. A class that `next` does not name
// any more keeps its index, marked as dropped.
void keep_indexes(const Config& now, Config& next);

}  // namespace dispatcher::program

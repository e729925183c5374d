// Reads and validates the configuration from the file named by ROUTER_CONFIG and the environment.
#pragma once

#include <cstdint>
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
  std::string admin_address;  // wire: ops; empty: no admin server
  std::size_t sockets = 1024;
  std::size_t memory_mb = 192;
  std::size_t max_open_requests = 0;                // 0: the settings set no limit
  scheduling::Duration connection_idle_timeout{0};  // wire: ConnIdleMs
  scheduling::Settings settings;
  protocol::IdentifierTables identifier_tables;
  std::optional<protocol::EndpointUpdate> cached_endpoints;  // wire: known
  // The cached list may be outdated: the watch starts with a snapshot.
  bool cached_endpoints_outdated = false;
  std::uint32_t inherited_reloads = 0;  // accepted by earlier processes of a hot restart
  bool gossip_allowed = false;          // with the other dispatchers
  std::string peer_listen;              // UDP address; empty: no gossip with other dispatchers
  std::vector<std::string> peers;       // addresses of all dispatchers, by index
  // Name and value of the settings that need a restart: a reload that changes one logs its name.
  std::map<std::string, std::string> restart_only_settings;
  Json::Value file;  // as read, without `known` and `seed`; a reload must have the same keys
};

// Why a configuration cannot be used. what() is a one-line message.
class ConfigError : public std::runtime_error {
 public:
  static ConfigError unreadable(const std::string& file, const std::string& reason);
  // what() is "configuration: REASON".
  static ConfigError invalid(const std::string& field, const std::string& reason);
  // Returns the same error with the file's path.
  ConfigError in_file(const std::string& file) const;

  const std::string& file() const { return details_.file; }    // empty: unknown
  const std::string& field() const { return details_.field; }  // empty: not about a single field
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

// Returns the value of an environment variable; empty if it is unset.
using EnvironmentLookup = std::function<std::string(const char* variable)>;

// At the start the environment overrides the file. At a reload the file's `discovery` overrides the
// environment, which cannot have changed since the start. So it does at the start of a process that
// takes over from one which has accepted a reload, since that may have moved discovery.
enum class ReadMode { Start, StartAfterReload, Reload };

// Throws ConfigError. A reload is checked against `current_file`: it needs the same keys with
// values of the same types, and usable settings, so that a partially written file is not mistaken
// for one that omits settings on purpose.
Config read_config(std::string_view json, const EnvironmentLookup& environment,
                   scheduling::Duration wall_to_steady, ReadMode mode = ReadMode::Start,
                   const Json::Value& current_file = {});

// Reads the file at `path` in the same way.
Config read_config_file(const std::string& path, const EnvironmentLookup& environment,
                        scheduling::Duration wall_to_steady, ReadMode mode = ReadMode::Start,
                        const Json::Value& current_file = {});

// The longest deadline of the classes that the file in force names.
scheduling::Duration longest_deadline(const Config& config);

// Gives the classes, tenants, zones and kinds of `next` the indexes that they have in `current`,
// and appends new ones: open requests and learned state refer to them by index. A class or tenant
// that `next` no longer has keeps its index, marked as removed; a removed class also keeps its
// settings, for the requests that are still open.
void preserve_indexes(const Config& current, Config& next);

}  // namespace dispatcher::program

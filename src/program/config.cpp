#include "program/config.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <set>

namespace dispatcher::program {
namespace {

ConfigError invalid(const std::string& field, const std::string& reason) {
  return ConfigError::invalid(field, reason);
}

constexpr std::size_t kMaxDoubleCharacters = 32;
constexpr std::size_t kMinSockets = 64;
constexpr std::size_t kMinMemoryMb = 16;

// Formats a value for the settings reader, in which texts have no spaces or commas.
std::string scalar_text(const Json::Value& value) {
  if (value.isNull())
    return "-";
  if (value.isBool())
    return value.asBool() ? "true" : "false";
  if (value.isIntegral())
    return value.isUInt64() ? std::to_string(value.asUInt64()) : std::to_string(value.asInt64());
  if (value.isDouble()) {
    std::array<char, kMaxDoubleCharacters> text{};
    char* begin = text.data();
    return {begin, std::to_chars(begin, begin + text.size(), value.asDouble()).ptr};
  }
  std::string text = value.asString();
  std::ranges::replace_if(
      text, [](char character) { return character == ' ' || character == ','; }, '_');
  return text;
}

// Converts nested JSON to path=value pairs as on the simulator's wire, so that one settings reader
// serves both.
void flatten(const std::string& path, const Json::Value& value,
             std::map<std::string, std::string>& pairs) {
  std::string prefix = path.empty() ? "" : path + ".";
  if (value.isObject()) {
    for (const std::string& name : value.getMemberNames())
      flatten(prefix + name, value[name], pairs);
  } else if (value.isArray() && !value.empty() && value[0].isObject()) {
    pairs[prefix + "count"] = std::to_string(value.size());
    for (Json::ArrayIndex i = 0; i < value.size(); ++i)
      flatten(prefix + std::to_string(i), value[i], pairs);
  } else if (value.isArray()) {
    std::string& list = pairs[path];
    for (const Json::Value& item : value) {
      if (item.isArray() || item.isObject())
        continue;
      if (!list.empty())
        list += ',';
      list += scalar_text(item);
    }
  } else {
    pairs[path] = scalar_text(value);
  }
}

std::vector<std::string> names_of(const Json::Value& list) {
  std::vector<std::string> texts;
  for (const Json::Value& value : list) {
    const Json::Value& name = value.isObject() ? value["Name"] : value;
    texts.push_back(name.isString() ? name.asString() : std::string());
  }
  return texts;
}

// ---- Checks of a reload ----

enum class JsonType { Null, String, Number, Boolean, Array, Object };

JsonType type_of(const Json::Value& value) {
  if (value.isNull())
    return JsonType::Null;
  if (value.isString())
    return JsonType::String;
  if (value.isBool())
    return JsonType::Boolean;
  if (value.isNumeric())
    return JsonType::Number;
  return value.isArray() ? JsonType::Array : JsonType::Object;
}

// Returns the members that all elements of a list of objects have in common. A new element needs at
// least those.
Json::Value common_members(const Json::Value& list) {
  Json::Value common = list[0];
  for (const Json::Value& item : list) {
    for (const std::string& name : common.getMemberNames()) {
      if (!item.isObject() || type_of(item[name]) != type_of(common[name]))
        common.removeMember(name);
    }
  }
  return common;
}

// Throws ConfigError unless `next` has every member of `current`, with values of the same types.
void require_same_shape(const Json::Value& current, const Json::Value& next,
                        const std::string& path) {
  if (current.isNull())
    return;
  if (next.isNull())
    throw invalid(path, path + " is missing");
  if (type_of(current) != type_of(next))
    throw invalid(path, path + " has another type than in the current configuration");
  if (current.isObject()) {
    std::string prefix = path.empty() ? path : path + ".";
    for (const std::string& name : current.getMemberNames())
      require_same_shape(current[name], next[name], std::string(prefix).append(name));
  }
  if (!current.isArray() || current.empty())
    return;
  if (next.empty())
    throw invalid(path, path + " is empty");
  Json::Value required = current[0].isObject() ? common_members(current) : current[0];
  for (Json::ArrayIndex i = 0; i < next.size(); ++i)
    require_same_shape(required, next[i], path + "." + std::to_string(i));
}

void require_positive(const Json::Value& value, const std::string& field) {
  if (!value.isNumeric() || !(value.asDouble() > 0))
    throw invalid(field, field + " is not a positive number");
}

// Throws ConfigError if a running dispatcher could not work with the settings.
void require_usable(const Json::Value& settings) {
  require_positive(settings["Permissions"]["MaxAttempts"], "MaxAttempts");
  std::set<std::string> seen;
  for (const Json::Value& job_class : settings["Lanes"]) {
    std::string name = job_class["Name"].isString() ? job_class["Name"].asString() : "";
    if (name.empty() || !seen.insert(name).second)
      throw invalid("Lanes", "a class has no name, or the name of another class");
    require_positive(job_class["DeadlineMs"], "DeadlineMs of " + name);
    const Json::Value& idempotency = job_class["Effect"];
    if (idempotency != "safe" && idempotency != "keyed" && idempotency != "unsafe")
      throw invalid("Effect", "Effect of " + name + " must be safe, keyed or unsafe");
  }
}

// Appends to `kept` the names of `next` that it lacks. Returns the index in `kept` of each name.
std::vector<std::size_t> merge_names(std::vector<std::string>& kept,
                                     const std::vector<std::string>& next) {
  std::vector<std::size_t> indexes;
  for (const std::string& name : next) {
    auto it = std::ranges::find(kept, name);
    indexes.push_back(static_cast<std::size_t>(it - kept.begin()));
    if (it == kept.end())
      kept.push_back(name);
  }
  return indexes;
}

// Reorders `names` to begin with all names of `current`, followed by new ones. Returns the new
// index of each.
std::vector<std::size_t> keep_order(const std::vector<std::string>& current,
                                    std::vector<std::string>& names) {
  std::vector<std::string> kept = current;
  std::vector<std::size_t> new_indexes = merge_names(kept, names);
  names = std::move(kept);
  return new_indexes;
}

void remap_index(int& index, const std::vector<std::size_t>& new_indexes) {
  if (index >= 0 && index < std::ssize(new_indexes))
    index = static_cast<int>(new_indexes[static_cast<std::size_t>(index)]);
}

// Accepts an unsigned integer or a string of hexadecimal digits.
std::uint64_t read_seed(const Json::Value& value) {
  if (value.isUInt64())
    return value.asUInt64();
  std::string text = value.isString() ? value.asString() : "";
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw invalid("seed", "seed is neither an unsigned integer nor a string of hexadecimal digits");
  return seed;
}

std::string text_or_empty(const Json::Value& value) {
  return value.isString() ? value.asString() : std::string();
}

enum class Precedence { Environment, File };

// Reads a setting that must be set in the environment or in the file.
std::string required_setting(const Json::Value& file, const char* field,
                             const EnvironmentLookup& environment, const char* variable,
                             Precedence precedence = Precedence::Environment) {
  std::string value = environment(variable);
  std::string in_file = text_or_empty(file[field]);
  if (value.empty() || (precedence == Precedence::File && !in_file.empty()))
    value = in_file;
  if (value.empty()) {
    throw invalid(field, std::string("neither ") + variable + " nor \"" + field + "\" is set");
  }
  return value;
}

void read_addresses(const Json::Value& file, const EnvironmentLookup& environment, ReadMode mode,
                    Config& config) {
  Precedence discovery = mode == ReadMode::Start ? Precedence::Environment : Precedence::File;
  config.name = required_setting(file, "name", environment, "ROUTER_NAME");
  config.listen = required_setting(file, "listen", environment, "ROUTER_LISTEN");
  config.discovery =
      required_setting(file, "discovery", environment, "ROUTER_DISCOVERY", discovery);
  config.admin_address = environment("ROUTER_OPS");
  if (config.admin_address.empty())
    config.admin_address = text_or_empty(file["ops"]);
}

void read_limits(const Json::Value& limits, Config& config) {
  if (limits.isObject() && limits["sockets"].isUInt())
    config.sockets = limits["sockets"].asUInt();
  if (limits.isObject() && limits["memory_mb"].isUInt())
    config.memory_mb = limits["memory_mb"].asUInt();
  if (config.sockets < kMinSockets)
    throw invalid("limits.sockets", "limits.sockets must be at least 64");
  if (config.memory_mb < kMinMemoryMb)
    throw invalid("limits.memory_mb", "limits.memory_mb must be at least 16");
}

void read_identifiers(const Json::Value& settings, protocol::IdentifierTables& identifier_tables) {
  identifier_tables.classes = names_of(settings["Lanes"]);
  identifier_tables.tenants = names_of(settings["Tenants"]);
  identifier_tables.zones = names_of(settings["Localities"]);
  identifier_tables.kinds = names_of(settings["Skus"]);
}

// Fills the tables that are indexed by class from the class settings.
void fill_class_tables(const std::vector<scheduling::ClassSettings>& classes,
                       protocol::IdentifierTables& identifier_tables) {
  identifier_tables.needs_idempotency_key.clear();
  identifier_tables.deadlines.clear();
  for (const scheduling::ClassSettings& job_class : classes) {
    identifier_tables.needs_idempotency_key.push_back(job_class.idempotency ==
                                                      scheduling::Idempotency::KeyedIdempotent);
    identifier_tables.deadlines.push_back(job_class.deadline);
  }
}

void read_peers(const Json::Value& file, Config& config) {
  config.peer_listen = text_or_empty(file["peer_listen"]);
  for (const Json::Value& peer : file["peers"])
    config.peers.push_back(text_or_empty(peer));
}

void read_all_settings(const Json::Value& file, Config& config) {
  std::map<std::string, std::string> pairs;
  flatten("", file["settings"], pairs);
  settings::SettingsReader reader(std::move(pairs));
  config.identifier_tables.columns = settings::read_settings(reader, config.settings);
  if (file.isMember("seed"))
    config.settings.seed = read_seed(file["seed"]);
  scheduling::validate(config.settings);
  config.connection_idle_timeout = reader.duration("Permissions.ConnIdleMs");
  config.max_open_requests =
      static_cast<std::size_t>(std::max(0, reader.integer("Permissions.MaxOpen", 0)));
  config.gossip_allowed = reader.boolean("Permissions.Peers");
}

Config parse_config(std::string_view json, const EnvironmentLookup& environment,
                    scheduling::Duration wall_to_steady, ReadMode mode,
                    const Json::Value& current_file) {
  Json::Value file = protocol::parse_json(json);
  if (!file.isObject() || !file["settings"].isObject())
    throw invalid("settings", "the file has no \"settings\" object");
  if (mode == ReadMode::Reload) {
    require_same_shape(current_file, file, "");
    require_usable(file["settings"]);
  }
  Config config;
  read_addresses(file, environment, mode, config);
  read_limits(file["limits"], config);
  read_all_settings(file, config);
  read_identifiers(file["settings"], config.identifier_tables);
  fill_class_tables(config.settings.classes, config.identifier_tables);
  config.identifier_tables.is_removed.assign(config.settings.classes.size(), false);
  config.identifier_tables.wall_to_steady = wall_to_steady;
  config.restart_only_settings = {{"name", config.name},
                                  {"listen", config.listen},
                                  {"ops", config.admin_address},
                                  {"limits", file["limits"].toStyledString()}};
  if (config.gossip_allowed)
    read_peers(file, config);
  if (file["known"].isObject() && !file["known"].empty()) {
    config.cached_endpoints =
        protocol::parse_endpoint_update(file["known"], config.identifier_tables);
  }
  config.file = std::move(file);
  config.file.removeMember("known");
  config.file.removeMember("seed");
  return config;
}

void keep_tenants(const Config& current, Config& next) {
  std::vector<double>& quotas = next.settings.tenant_quotas;
  std::vector<std::size_t> new_indexes =
      keep_order(current.identifier_tables.tenants, next.identifier_tables.tenants);
  std::size_t count = next.identifier_tables.tenants.size();
  std::vector<double> kept(count);
  for (std::size_t i = 0; i < std::min(new_indexes.size(), quotas.size()); ++i)
    kept[new_indexes[i]] = quotas[i];
  quotas = std::move(kept);
  std::vector<bool> removed(count, true);
  for (std::size_t index : new_indexes)
    removed[index] = false;
  next.identifier_tables.is_tenant_removed = std::move(removed);
}

void keep_classes(const Config& current, Config& next) {
  std::vector<std::size_t> new_indexes =
      keep_order(current.identifier_tables.classes, next.identifier_tables.classes);
  std::size_t count = next.identifier_tables.classes.size();
  std::vector<scheduling::ClassSettings> kept = current.settings.classes;
  std::vector<bool> removed(count, true);
  kept.resize(count);
  for (std::size_t i = 0; i < new_indexes.size(); ++i) {
    kept[new_indexes[i]] = next.settings.classes[i];
    removed[new_indexes[i]] = false;
  }
  next.settings.classes = std::move(kept);
  next.identifier_tables.is_removed = std::move(removed);
  fill_class_tables(next.settings.classes, next.identifier_tables);
}

}  // namespace

ConfigError::ConfigError(const std::string& text, Details details)
    : std::runtime_error(text), details_(std::move(details)) {}

ConfigError ConfigError::unreadable(const std::string& file, const std::string& reason) {
  return {reason, {.file = file, .field = {}, .reason = reason}};
}

ConfigError ConfigError::invalid(const std::string& field, const std::string& reason) {
  return {"configuration: " + reason, {.file = {}, .field = field, .reason = reason}};
}

ConfigError ConfigError::in_file(const std::string& file) const {
  Details details = details_;
  details.file = file;
  return {what(), std::move(details)};
}

Config read_config(std::string_view json, const EnvironmentLookup& environment,
                   scheduling::Duration wall_to_steady, ReadMode mode,
                   const Json::Value& current_file) try {
  return parse_config(json, environment, wall_to_steady, mode, current_file);
} catch (const ConfigError&) {
  throw;
} catch (const std::exception& error) {  // from jsoncpp, the settings reader or the validation
  throw invalid({}, error.what());
}

Config read_config_file(const std::string& path, const EnvironmentLookup& environment,
                        scheduling::Duration wall_to_steady, ReadMode mode,
                        const Json::Value& current_file) {
  if (path.empty())
    throw ConfigError::unreadable({}, "ROUTER_CONFIG is not set");
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in)
    throw ConfigError::unreadable(path, "cannot read " + path);
  try {
    return read_config(text, environment, wall_to_steady, mode, current_file);
  } catch (const ConfigError& error) {
    throw error.in_file(path);
  }
}

scheduling::Duration longest_deadline(const Config& config) {
  scheduling::Duration longest{0};
  const std::vector<scheduling::ClassSettings>& classes = config.settings.classes;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (!config.identifier_tables.is_removed[i])
      longest = std::max(longest, classes[i].deadline);
  }
  return longest;
}

void preserve_indexes(const Config& current, Config& next) {
  remap_index(next.settings.zone,
              keep_order(current.identifier_tables.zones, next.identifier_tables.zones));
  std::vector<std::size_t> kinds =
      keep_order(current.identifier_tables.kinds, next.identifier_tables.kinds);
  for (auto& job_class : next.settings.classes)
    remap_index(job_class.kind, kinds);
  keep_tenants(current, next);
  keep_classes(current, next);
}

}  // namespace dispatcher::program

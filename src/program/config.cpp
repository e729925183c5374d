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

constexpr std::size_t kMaxDoubleText = 32;  // characters
constexpr std::size_t kMinSockets = 64;
constexpr std::size_t kMinMemoryMb = 16;

// A value as the settings reader expects it: texts without blanks and commas.
std::string scalar(const Json::Value& value) {
  if (value.isNull())
    return "-";
  if (value.isBool())
    return value.asBool() ? "true" : "false";
  if (value.isIntegral())
    return value.isUInt64() ? std::to_string(value.asUInt64()) : std::to_string(value.asInt64());
  if (value.isDouble()) {
    std::array<char, kMaxDoubleText> text{};
    char* begin = text.data();
    return {begin, std::to_chars(begin, begin + text.size(), value.asDouble()).ptr};
  }
  std::string text = value.asString();
  std::ranges::replace_if(
      text, [](char letter) { return letter == ' ' || letter == ','; }, '_');
  return text;
}

// Nested JSON as the path=value pairs of the simulator's wire, for the one reader of settings.
void flatten(const std::string& path, const Json::Value& value,
             std::map<std::string, std::string>& pairs) {
  std::string below = path.empty() ? "" : path + ".";
  if (value.isObject()) {
    for (const std::string& name : value.getMemberNames())
      flatten(below + name, value[name], pairs);
  } else if (value.isArray() && !value.empty() && value[0].isObject()) {
    pairs[below + "count"] = std::to_string(value.size());
    for (Json::ArrayIndex i = 0; i < value.size(); ++i)
      flatten(below + std::to_string(i), value[i], pairs);
  } else if (value.isArray()) {
    std::string& list = pairs[path];
    for (const Json::Value& item : value) {
      if (item.isArray() || item.isObject())
        continue;
      if (!list.empty())
        list += ',';
      list += scalar(item);
    }
  } else {
    pairs[path] = scalar(value);
  }
}

std::vector<std::string> names(const Json::Value& list) {
  std::vector<std::string> texts;
  for (const Json::Value& value : list) {
    const Json::Value& name = value.isObject() ? value["Name"] : value;
    texts.push_back(name.isString() ? name.asString() : std::string());
  }
  return texts;
}

// ---- Checks of a reload ----

enum class JsonType { None, Text, Number, Truth, List, Object };

JsonType type_of(const Json::Value& value) {
  if (value.isNull())
    return JsonType::None;
  if (value.isString())
    return JsonType::Text;
  if (value.isBool())
    return JsonType::Truth;
  if (value.isNumeric())
    return JsonType::Number;
  return value.isArray() ? JsonType::List : JsonType::Object;
}

// The members that all elements of a list of objects have: a further element needs at least those.
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

// Throws ConfigError unless `next` has all that `now` has, with values of the same types.
void require_same_shape(const Json::Value& now, const Json::Value& next, const std::string& path) {
  if (now.isNull())
    return;
  if (next.isNull())
    throw invalid(path, path + " is missing");
  if (type_of(now) != type_of(next))
    throw invalid(path, path + " is of another type than before");
  if (now.isObject()) {
    std::string prefix = path.empty() ? path : path + ".";
    for (const std::string& name : now.getMemberNames())
      require_same_shape(now[name], next[name], std::string(prefix).append(name));
  }
  if (!now.isArray() || now.empty())
    return;
  if (next.empty())
    throw invalid(path, path + " is empty");
  Json::Value required = now[0].isObject() ? common_members(now) : now[0];
  for (Json::ArrayIndex i = 0; i < next.size(); ++i)
    require_same_shape(required, next[i], path + "." + std::to_string(i));
}

void require_positive(const Json::Value& value, const std::string& field) {
  if (!value.isNumeric() || !(value.asDouble() > 0))
    throw invalid(field, field + " is not a positive number");
}

// Throws ConfigError where a running program could not work with the settings.
void require_usable(const Json::Value& settings) {
  require_positive(settings["Permissions"]["MaxAttempts"], "MaxAttempts");
  std::set<std::string> seen;
  for (const Json::Value& job_class : settings["Lanes"]) {
    std::string name = job_class["Name"].isString() ? job_class["Name"].asString() : "";
    if (name.empty() || !seen.insert(name).second)
      throw invalid("Lanes", "a class has no name of its own");
    require_positive(job_class["DeadlineMs"], "DeadlineMs of " + name);
    const Json::Value& idempotency = job_class["Effect"];
    if (idempotency != "safe" && idempotency != "keyed" && idempotency != "unsafe")
      throw invalid("Effect", "Effect of " + name + " is none that is known");
  }
}

// Returns the index in `kept` of each name in `next`; names that `kept` lacks are appended to it.
std::vector<std::size_t> indexes_in(std::vector<std::string>& kept,
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

// Puts the names of `names` in the order of `now`, new ones behind. Returns the new index of each.
std::vector<std::size_t> keep_order(const std::vector<std::string>& now,
                                    std::vector<std::string>& names) {
  std::vector<std::string> kept = now;
  std::vector<std::size_t> new_indexes = indexes_in(kept, names);
  names = std::move(kept);
  return new_indexes;
}

void renumber(int& index, const std::vector<std::size_t>& new_indexes) {
  if (index >= 0 && index < std::ssize(new_indexes))
    index = static_cast<int>(new_indexes[static_cast<std::size_t>(index)]);
}

// A whole number, or a text of hexadecimal digits.
std::uint64_t read_seed(const Json::Value& value) {
  if (value.isUInt64())
    return value.asUInt64();
  std::string text = value.isString() ? value.asString() : "";
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw invalid("seed", "bad seed");
  return seed;
}

std::string text_or_empty(const Json::Value& value) {
  return value.isString() ? value.asString() : std::string();
}

enum class Precedence { Environment, File };

// A setting that must be in the environment or in the file.
std::string required_setting(const Json::Value& file, const char* field, const Lookup& environment,
                             const char* variable,
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

void read_addresses(const Json::Value& file, const Lookup& environment, Occasion occasion,
                    Config& config) {
  Precedence discovery = occasion == Occasion::Reload ? Precedence::File : Precedence::Environment;
  config.name = required_setting(file, "name", environment, "ROUTER_NAME");
  config.listen = required_setting(file, "listen", environment, "ROUTER_LISTEN");
  config.discovery =
      required_setting(file, "discovery", environment, "ROUTER_DISCOVERY", discovery);
  config.ops = environment("ROUTER_OPS");
  if (config.ops.empty())
    config.ops = text_or_empty(file["ops"]);
}

void read_limits(const Json::Value& limits, Config& config) {
  if (limits.isObject() && limits["sockets"].isUInt())
    config.sockets = limits["sockets"].asUInt();
  if (limits.isObject() && limits["memory_mb"].isUInt())
    config.memory_mb = limits["memory_mb"].asUInt();
  if (config.sockets < kMinSockets)
    throw invalid("limits.sockets", "fewer than 64 sockets are too few to work with");
  if (config.memory_mb < kMinMemoryMb)
    throw invalid("limits.memory_mb", "less than 16 MB of memory are too few to work with");
}

void read_identifiers(const Json::Value& settings, protocol::IdentifierTables& words) {
  words.classes = names(settings["Lanes"]);
  words.tenants = names(settings["Tenants"]);
  words.zones = names(settings["Localities"]);
  words.kinds = names(settings["Skus"]);
}

// What a message names by class, from the settings of the classes.
void index_classes(const std::vector<scheduling::ClassSettings>& classes,
                   protocol::IdentifierTables& words) {
  words.keyed.clear();
  words.deadlines.clear();
  for (const scheduling::ClassSettings& job_class : classes) {
    words.keyed.push_back(job_class.idempotency == scheduling::Idempotency::KeyedIdempotent);
    words.deadlines.push_back(job_class.deadline);
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
  config.words.columns = settings::read_settings(reader, config.settings);
  if (file.isMember("seed"))
    config.settings.seed = read_seed(file["seed"]);
  scheduling::validate(config.settings);
  config.conn_idle = reader.time("Permissions.ConnIdleMs");
  config.max_open_requests =
      static_cast<std::size_t>(std::max(0, reader.whole("Permissions.MaxOpen", 0)));
  config.gossip_allowed = reader.yes("Permissions.Peers");
}

Config read_checked(std::string_view json, const Lookup& environment,
                    scheduling::Duration wall_to_steady, Occasion occasion,
                    const Json::Value& in_force) {
  Json::Value file = protocol::parse_json(json);
  if (!file.isObject() || !file["settings"].isObject())
    throw invalid("settings", "it holds no settings");
  if (occasion == Occasion::Reload) {
    require_same_shape(in_force, file, "");
    require_usable(file["settings"]);
  }
  Config config;
  read_addresses(file, environment, occasion, config);
  read_limits(file["limits"], config);
  read_all_settings(file, config);
  read_identifiers(file["settings"], config.words);
  index_classes(config.settings.classes, config.words);
  config.words.dropped.assign(config.settings.classes.size(), false);
  config.words.wall_to_steady = wall_to_steady;
  config.fixed = {{"name", config.name},
                  {"listen", config.listen},
                  {"ops", config.ops},
                  {"limits", file["limits"].toStyledString()}};
  if (config.gossip_allowed)
    read_peers(file, config);
  if (file["known"].isObject() && !file["known"].empty())
    config.known = protocol::parse_endpoint_update(file["known"], config.words);
  config.file = std::move(file);
  config.file.removeMember("known");
  config.file.removeMember("seed");
  return config;
}

void keep_tenants(const Config& now, Config& next) {
  std::vector<double>& quotas = next.settings.tenant_quotas;
  std::vector<std::size_t> new_indexes = keep_order(now.words.tenants, next.words.tenants);
  std::vector<double> kept(next.words.tenants.size());
  for (std::size_t i = 0; i < std::min(new_indexes.size(), quotas.size()); ++i)
    kept[new_indexes[i]] = quotas[i];
  quotas = std::move(kept);
}

void keep_classes(const Config& now, Config& next) {
  std::vector<std::size_t> new_indexes = keep_order(now.words.classes, next.words.classes);
  std::size_t count = next.words.classes.size();
  std::vector<scheduling::ClassSettings> kept = now.settings.classes;
  std::vector<bool> dropped(count, true);
  kept.resize(count);
  for (std::size_t i = 0; i < new_indexes.size(); ++i) {
    kept[new_indexes[i]] = next.settings.classes[i];
    dropped[new_indexes[i]] = false;
  }
  next.settings.classes = std::move(kept);
  next.words.dropped = std::move(dropped);
  index_classes(next.settings.classes, next.words);
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

Config read_config(std::string_view json, const Lookup& environment,
                   scheduling::Duration wall_to_steady, Occasion occasion,
                   const Json::Value& in_force) try {
  return read_checked(json, environment, wall_to_steady, occasion, in_force);
} catch (const ConfigError&) {
  throw;
} catch (const std::exception& error) {  // of jsoncpp, the settings reader and the validation
  throw invalid({}, error.what());
}

Config read_config_file(const std::string& path, const Lookup& environment,
                        scheduling::Duration wall_to_steady, Occasion occasion,
                        const Json::Value& in_force) {
  if (path.empty())
    throw ConfigError::unreadable({}, "ROUTER_CONFIG is not set");
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in)
    throw ConfigError::unreadable(path, "cannot read " + path);
  try {
    return read_config(text, environment, wall_to_steady, occasion, in_force);
  } catch (const ConfigError& error) {
    throw error.in_file(path);
  }
}

void keep_indexes(const Config& now, Config& next) {
  renumber(next.settings.zone, keep_order(now.words.zones, next.words.zones));
  std::vector<std::size_t> kinds = keep_order(now.words.kinds, next.words.kinds);
  for (auto& job_class : next.settings.classes)
    renumber(job_class.kind, kinds);
  keep_tenants(now, next);
  keep_classes(now, next);
}

}  // namespace dispatcher::program

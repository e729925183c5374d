#include "program/config.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace dispatcher::program {
namespace {

std::string scalar(const Json::Value& v) {
  if (v.isNull())
    return "-";
  if (v.isBool())
    return v.asBool() ? "true" : "false";
  if (v.isIntegral())
    return v.isUInt64() ? std::to_string(v.asUInt64()) : std::to_string(v.asInt64());
  if (v.isDouble()) {
    char text[32];
    return {text, std::to_chars(text, text + sizeof text, v.asDouble()).ptr};
  }
  std::string text = v.asString();
  std::ranges::replace_if(
      text, [](char c) { return c == ' ' || c == ','; }, '_');
  return text;
}

// Nested JSON as the path=value pairs of the simulator's wire, for the one reader of settings.
void flatten(const std::string& path, const Json::Value& v,
             std::map<std::string, std::string>& out) {
  std::string below = path.empty() ? "" : path + ".";
  if (v.isObject()) {
    for (const std::string& name : v.getMemberNames())
      flatten(below + name, v[name], out);
  } else if (v.isArray() && !v.empty() && v[0].isObject()) {
    out[below + "count"] = std::to_string(v.size());
    for (Json::ArrayIndex i = 0; i < v.size(); ++i)
      flatten(below + std::to_string(i), v[i], out);
  } else if (v.isArray()) {
    std::string& list = out[path];
    for (const Json::Value& item : v) {
      if (item.isArray() || item.isObject())
        continue;
      if (!list.empty())
        list += ',';
      list += scalar(item);
    }
  } else {
    out[path] = scalar(v);
  }
}

std::vector<std::string> names(const Json::Value& list) {
  std::vector<std::string> out;
  for (const Json::Value& v : list) {
    const Json::Value& name = v.isObject() ? v["Name"] : v;
    out.push_back(name.isString() ? name.asString() : std::string());
  }
  return out;
}

// ---- Is the file of a reload whole? ----

enum class Type { None, Text, Number, Truth, List, Object };

Type type_of(const Json::Value& v) {
  return v.isNull()      ? Type::None
         : v.isString()  ? Type::Text
         : v.isBool()    ? Type::Truth
         : v.isNumeric() ? Type::Number
         : v.isArray()   ? Type::List
                         : Type::Object;
}

// What all the elements of a list of objects have: the least that another one needs.
Json::Value common(const Json::Value& list) {
  Json::Value least = list[0];
  for (const Json::Value& item : list) {
    for (const std::string& name : least.getMemberNames()) {
      if (!item.isObject() || type_of(item[name]) != type_of(least[name]))
        least.removeMember(name);
    }
  }
  return least;
}

void need_like(const Json::Value& was, const Json::Value& is, const std::string& path) {
  if (was.isNull())
    return;
  if (is.isNull())
    throw std::runtime_error(path + " is missing");
  if (type_of(was) != type_of(is))
    throw std::runtime_error(path + " is of another type than before");
  if (was.isObject()) {
    for (const std::string& name : was.getMemberNames())
      need_like(was[name], is[name], path.empty() ? name : path + "." + name);
  }
  if (!was.isArray() || was.empty())
    return;
  if (is.empty())
    throw std::runtime_error(path + " is empty");
  Json::Value least = was[0].isObject() ? common(was) : was[0];
  for (Json::ArrayIndex i = 0; i < is.size(); ++i)
    need_like(least, is[i], path + "." + std::to_string(i));
}

void need_sense(const Json::Value& settings) {
  auto positive = [](const Json::Value& v, const std::string& what) {
    if (!v.isNumeric() || !(v.asDouble() > 0))
      throw std::runtime_error(what + " is not a positive number");
  };
  positive(settings["Permissions"]["MaxAttempts"], "MaxAttempts");
  std::set<std::string> seen;
  for (const Json::Value& lane : settings["Lanes"]) {
    std::string name = lane["Name"].isString() ? lane["Name"].asString() : "";
    if (name.empty() || !seen.insert(name).second)
      throw std::runtime_error("a class has no name of its own");
    positive(lane["DeadlineMs"], "DeadlineMs of " + name);
    const Json::Value& idempotency = lane["Effect"];
    if (idempotency != "safe" && idempotency != "keyed" && idempotency != "unsafe")
      throw std::runtime_error("Effect of " + name + " is none that is known");
  }
}

// The numbers, in `kept`, of what `next` names; `kept` grows by what it lacks.
std::vector<std::size_t> numbers(std::vector<std::string>& kept,
                                 const std::vector<std::string>& next) {
  std::vector<std::size_t> out;
  for (const std::string& name : next) {
    auto it = std::ranges::find(kept, name);
    out.push_back(static_cast<std::size_t>(it - kept.begin()));
    if (it == kept.end())
      kept.push_back(name);
  }
  return out;
}

std::uint64_t read_seed(const Json::Value& v) {
  if (v.isUInt64())
    return v.asUInt64();
  std::string text = v.isString() ? v.asString() : "";
  std::uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw std::runtime_error("bad seed");
  return seed;
}

}  // namespace

Config read_config(std::string_view json, const Lookup& environment,
                   scheduling::Duration wall_to_steady, Occasion occasion,
                   const Json::Value& in_force) try {
  Json::Value all = protocol::parse_json(json);
  if (!all.isObject() || !all["settings"].isObject())
    throw std::runtime_error("it holds no settings");
  if (occasion == Occasion::Reload) {
    need_like(in_force, all, "");
    need_sense(all["settings"]);
  }
  Config c;
  auto either = [&](const char* variable, const char* field, bool file_first = false) {
    std::string value = environment(variable);
    std::string filed = all[field].isString() ? all[field].asString() : std::string();
    if (value.empty() || (file_first && !filed.empty()))
      value = filed;
    if (value.empty()) {
      throw std::runtime_error(std::string("neither ") + variable + " nor \"" + field +
                               "\" is set");
    }
    return value;
  };
  c.name = either("ROUTER_NAME", "name");
  c.listen = either("ROUTER_LISTEN", "listen");
  c.discovery = either("ROUTER_DISCOVERY", "discovery", occasion == Occasion::Reload);
  c.ops = environment("ROUTER_OPS");
  if (c.ops.empty() && all["ops"].isString())
    c.ops = all["ops"].asString();
  const Json::Value& limits = all["limits"];
  if (limits.isObject() && limits["sockets"].isUInt())
    c.sockets = limits["sockets"].asUInt();
  if (limits.isObject() && limits["memory_mb"].isUInt())
    c.memory_mb = limits["memory_mb"].asUInt();
  if (c.sockets < 64)
    throw std::runtime_error("fewer than 64 sockets are too few to work with");
  if (c.memory_mb < 16)
    throw std::runtime_error("less than 16 MB of memory are too few to work with");

  const Json::Value& s = all["settings"];
  std::map<std::string, std::string> pairs;
  flatten("", s, pairs);
  settings::SettingsReader reader(std::move(pairs));
  c.words.columns = settings::read_settings(reader, c.settings);
  if (all.isMember("seed"))
    c.settings.seed = read_seed(all["seed"]);
  scheduling::validate(c.settings);
  c.conn_idle = reader.time("Permissions.ConnIdleMs");
  c.most_open = static_cast<std::size_t>(std::max(0, reader.whole("Permissions.MaxOpen", 0)));

  c.words.classes = names(s["Lanes"]);
  c.words.tenants = names(s["Tenants"]);
  c.words.zones = names(s["Localities"]);
  c.words.kinds = names(s["Skus"]);
  for (const auto& k : c.settings.classes) {
    c.words.keyed.push_back(k.idempotency == scheduling::Idempotency::KeyedIdempotent);
    c.words.deadlines.push_back(k.deadline);
    c.words.dropped.push_back(false);
  }
  c.words.wall_to_steady = wall_to_steady;
  c.fixed = {
      {"name", c.name}, {"listen", c.listen}, {"ops", c.ops}, {"limits", limits.toStyledString()}};
  c.may_talk = reader.yes("Permissions.Peers");
  if (c.may_talk) {
    if (all["peer_listen"].isString())
      c.peer_listen = all["peer_listen"].asString();
    for (const Json::Value& peer : all["peers"])
      c.peers.push_back(peer.isString() ? peer.asString() : "");
  }
  if (all["known"].isObject() && !all["known"].empty())
    c.known = protocol::parse_endpoint_update(all["known"], c.words);
  c.file = std::move(all);
  c.file.removeMember("known");
  c.file.removeMember("seed");
  return c;
} catch (const std::exception& e) {  // jsoncpp's and the reader's errors among them
  throw std::runtime_error(std::string("configuration: ") + e.what());
}

void keep_numbers(const Config& now, Config& next) {
  scheduling::Settings& s = next.settings;
  protocol::IdentifierTables& words = next.words;
  auto keep = [](const std::vector<std::string>& as, std::vector<std::string>& names) {
    std::vector<std::string> kept = as;
    std::vector<std::size_t> number = numbers(kept, names);
    names = std::move(kept);
    return number;
  };
  auto renumber = [](int& index, const std::vector<std::size_t>& number) {
    if (index >= 0 && index < std::ssize(number))
      index = static_cast<int>(number[static_cast<std::size_t>(index)]);
  };
  renumber(s.zone, keep(now.words.zones, words.zones));
  std::vector<std::size_t> kinds = keep(now.words.kinds, words.kinds);
  for (auto& c : s.classes)
    renumber(c.kind, kinds);

  std::vector<std::size_t> tenants = keep(now.words.tenants, words.tenants);
  std::vector<double> quotas(words.tenants.size());
  for (std::size_t i = 0; i < std::min(tenants.size(), s.tenant_quotas.size()); ++i)
    quotas[tenants[i]] = s.tenant_quotas[i];
  s.tenant_quotas = std::move(quotas);

  std::vector<std::size_t> classes = keep(now.words.classes, words.classes);
  std::vector<scheduling::ClassSettings> all = now.settings.classes;
  std::vector<bool> dropped(words.classes.size(), true);
  all.resize(words.classes.size());
  for (std::size_t i = 0; i < classes.size(); ++i) {
    all[classes[i]] = s.classes[i];
    dropped[classes[i]] = false;
  }
  s.classes = std::move(all);
  words.dropped = std::move(dropped);
  words.keyed.clear();
  words.deadlines.clear();
  for (const auto& c : s.classes) {
    words.keyed.push_back(c.idempotency == scheduling::Idempotency::KeyedIdempotent);
    words.deadlines.push_back(c.deadline);
  }
}

}  // namespace dispatcher::program

#include "protocol/messages.h"

#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <memory>

namespace dispatcher::protocol {
namespace {

using scheduling::Duration;
using scheduling::LoadReport;
using scheduling::Outcome;

constexpr double kMostMs = 1e9;  // no time or work of a job is longer than eleven days

std::optional<double> decimal(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(value))
    return std::nullopt;
  return value;
}

double need_number(std::string_view text, double low, double high, const char* what) {
  std::optional<double> value = decimal(text);
  if (!value || *value < low || *value > high)
    throw MessageError(std::string("bad ") + what);
  return *value;
}

std::optional<std::size_t> index_of(const std::vector<std::string>& names, std::string_view name) {
  auto it = std::ranges::find(names, name);
  if (it == names.end())
    return std::nullopt;
  return static_cast<std::size_t>(it - names.begin());
}

}  // namespace

scheduling::RequestId parse_request_id(std::string_view text) {
  scheduling::RequestId id = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  bool lower = std::ranges::none_of(
      text, [](char c) { return c >= 'A' && c <= 'F'; });  // one text for one id
  if (text.size() != 16 || error != std::errc() || end != text.data() + text.size() || !lower)
    throw MessageError("bad X-Correlation-Id");
  return id;
}

namespace {

// Calls visit(name, value) for each pair of "a=1, b=2".
template <class Visit>
void each_pair(std::string_view text, Visit visit) {
  while (!text.empty()) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    while (pair.starts_with(' '))
      pair.remove_prefix(1);
    while (pair.ends_with(' '))
      pair.remove_suffix(1);
    if (pair.empty())
      continue;
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      throw MessageError("a pair has no '='");
    visit(pair.substr(0, equals), pair.substr(equals + 1));
  }
}

// The words on the sockets and on the simulator's wire differ for some fields; both are taken.
std::string_view report_word(std::string_view name) {
  if (name == "eps")
    return "fail_rate";
  if (name == "queue")
    return "q";
  if (name == "inflight")
    return "rif";
  if (name == "util")
    return "busy";
  return name;
}

// A report that makes no sense is dropped whole: the scheduler sees none rather than a wrong one.
LoadReport report_of(const std::string& pairs, const IdentifierTables& words) {
  try {
    return settings::read_report(pairs, words.columns);
  } catch (const settings::Malformed&) {
    return {};
  }
}

void add_pair(std::string& pairs, std::string_view name, double value) {
  if (!std::isfinite(value) || value < 0 || value > 1e9)
    throw MessageError("a load report is out of range");
  if (!pairs.empty())
    pairs += ',';
  pairs.append(report_word(name)).append(":").append(std::to_string(value));
}

LoadReport read_load_text(std::string_view text, const IdentifierTables& words) {
  try {
    if (text.starts_with("TEXT"))
      text.remove_prefix(4);
    std::string pairs;
    each_pair(text, [&](std::string_view name, std::string_view value) {
      add_pair(pairs, name, need_number(value, 0, 1e9, "load report"));
    });
    return report_of(pairs, words);
  } catch (const MessageError&) {
    return {};
  }
}

LoadReport read_load_json(const Json::Value& load, const IdentifierTables& words) {
  if (!load.isObject())
    return {};
  try {
    std::string pairs;
    for (const std::string& name : load.getMemberNames()) {
      if (!load[name].isNumeric())
        throw MessageError("a load report's value is no number");
      add_pair(pairs, name, load[name].asDouble());
    }
    return report_of(pairs, words);
  } catch (const MessageError&) {
    return {};
  }
}

bool never_ran(const Message& m) {
  return (m.status == 503 || m.status == 504) && m.header("X-Unprocessed") == "1";
}

}  // namespace

Json::Value parse_json(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = 32;  // guards the stack against "[[[[..."
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
      return value;
  } catch (const Json::Exception& e) {
    throw MessageError(std::string("bad JSON: ") + e.what());
  }
  std::replace(errors.begin(), errors.end(), '\n', ' ');
  throw MessageError("bad JSON: " + errors);
}

std::string json_text(const Json::Value& object, const char* name) {
  if (!object.isObject() || !object[name].isString())
    throw MessageError(std::string("no text \"") + name + '"');
  return object[name].asString();
}

// ---- Clients ----

bool is_request_path(std::string_view target) {
  std::string_view path = target.substr(0, target.find('?'));
  return path == "/api" || path.starts_with("/api/");
}

ClientRequest parse_client_request(Message&& m, const IdentifierTables& words) {
  ClientRequest c;
  // Said twice it could mean either; nobody may later read it the other way.
  for (const char* name :
       {"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left-Ms", "Idempotency-Key"}) {
    if (std::ranges::count_if(m.headers, [&](const auto& h) { return same_name(h.first, name); }) >
        1)
      throw MessageError(std::string("repeated ") + name);
  }
  c.id = m.header("X-Correlation-Id");
  c.request.id = parse_request_id(c.id);
  auto job_class = index_of(words.classes, m.header("X-Service-Class"));
  if (!job_class || words.dropped[*job_class])
    throw MessageError("unknown X-Service-Class");
  c.request.job_class = *job_class;
  auto tenant = index_of(words.tenants, m.header("X-Account"));
  if (!words.tenants.empty() && !tenant)
    throw MessageError("unknown X-Account");
  c.request.tenant = tenant.value_or(0);
  std::string_view left =
      m.header("X-Time-Left-Ms");  // whole: "1e9" is a number elsewhere, but not here
  if (left.find_first_not_of("0123456789") != std::string_view::npos)
    throw MessageError("bad X-Time-Left-Ms");
  c.request.timeout = Duration(need_number(left, 0, kMostMs, "X-Time-Left-Ms"));
  if (m.has("X-Weight-Hint")) {
    c.request.cost_hint =
        Duration(need_number(m.header("X-Weight-Hint"), 0, kMostMs * 1000, "X-Weight-Hint") / 1000);
  }
  each_pair(m.header("X-Facts"), [&](std::string_view name, std::string_view value) {
    if (name == "slots")
      c.request.slots = need_number(value, 0, 1e6, "slots");
    if (name == "memory")
      c.request.memory = need_number(value, 0, 1e6, "memory");
  });
  c.key = m.header("Idempotency-Key");
  // Without its key no worker could tell a repeat, and the scheduler repeats keyed work.
  if (words.keyed[*job_class] && c.key.empty())
    throw MessageError("this class needs an Idempotency-Key");
  c.target = std::move(m.target);
  c.body = std::move(m.body);
  return c;
}

// ---- Workers ----

namespace {

Headers submit_headers(const ClientRequest& c, const std::string& address, Duration time_left) {
  auto left = static_cast<std::int64_t>(std::max(0.0, std::floor(time_left.count())));
  Headers headers{
      {"Host", address}, {"X-Correlation-Id", c.id}, {"X-Time-Left-Ms", std::to_string(left)}};
  if (!c.key.empty())
    headers.emplace_back("Idempotency-Key", c.key);
  return headers;
}

}  // namespace

std::string write_submit(const ClientRequest& c, const std::string& address, Duration time_left) {
  return write_request("POST", c.target, submit_headers(c, address, time_left), c.body);
}

std::string write_submit_head(const ClientRequest& c, const std::string& address,
                              Duration time_left, std::optional<std::uint64_t> length) {
  Headers headers = submit_headers(c, address, time_left);
  headers.insert(headers.end(), c.fields.begin(), c.fields.end());
  if (length) {
    headers.emplace_back("Content-Length", std::to_string(*length));
  } else {
    headers.emplace_back("Transfer-Encoding", "chunked");
  }
  return write_head("POST " + c.target + " HTTP/1.1", headers);
}

Headers content_fields(const Headers& headers) {
  Headers kept;
  for (const auto& h : headers) {
    if (h.first.size() > 8 && same_name(std::string_view(h.first).substr(0, 8), "Content-") &&
        !same_name(h.first, "Content-Length"))
      kept.push_back(h);
  }
  return kept;
}

std::string write_cancellation(const std::string& id, const std::string& address) {
  return write_request("DELETE", "/jobs/" + id, {{"Host", address}}, {});
}

std::string write_health_check(bool with_report, const std::string& address) {
  return write_request("GET", with_report ? "/status/load" : "/health", {{"Host", address}}, {});
}

WorkerAnswer parse_submit_answer(const Message& m, const IdentifierTables& words, bool replies) {
  WorkerAnswer a;
  if (m.status == 202)
    return a;
  a.end = replies && m.status == 200 ? Outcome::Success
          : never_ran(m)             ? Outcome::Rejected
                                     : Outcome::Failure;
  a.report = read_load_text(m.header("X-Backend-Load"), words);
  return a;
}

WorkerAnswer parse_health_check_answer(const Message& m, const IdentifierTables& words) {
  WorkerAnswer a;
  a.end = m.status == 200   ? Outcome::Success
          : m.status == 503 ? Outcome::Rejected
                            : Outcome::Failure;
  std::string_view header = m.header("X-Backend-Load");
  if (!header.empty()) {
    a.report = read_load_text(header, words);
  } else if (m.body.starts_with('{')) {
    try {
      a.report = read_load_json(parse_json(m.body), words);
    } catch (const MessageError&) {  // a probe that is answered still tells that the worker lives
    }
  } else {
    a.report = read_load_text(m.body, words);
  }
  return a;
}

JobEvent parse_job_event(std::string_view body, const IdentifierTables& words) {
  Json::Value v = parse_json(body);
  JobEvent n;
  n.id = parse_request_id(json_text(v, "id"));
  n.from = json_text(v, "from");
  std::string state = json_text(v, "state");
  using What = JobEvent::What;
  if (state == "started") {
    n.what = What::Started;
  } else if (state == "running") {
    n.what = What::Progress;
  } else if (state == "done") {
    n.what = What::Done;
    n.result = json_text(v, "result");
  } else if (state == "failed") {
    n.what = What::Failed;
  } else if (state == "returned") {
    n.what = What::Returned;
  } else if (state == "lost") {
    n.what = What::Lost;
  } else {
    throw MessageError("unknown state");
  }
  n.report = read_load_json(v["load"], words);
  return n;
}

// ---- The endpoint list ----

EndpointUpdate parse_endpoint_update(const Json::Value& v, const IdentifierTables& words) {
  if (!v.isObject() || !v["rev"].isInt64() || !v["all"].isBool() || !v["targets"].isArray())
    throw MessageError("a list needs rev, all and targets");
  EndpointUpdate list;
  list.revision = v["rev"].asInt64();
  list.whole = v["all"].asBool();
  for (const Json::Value& t : v["targets"]) {
    WorkerEndpoint l;
    l.uid = json_text(t, "uid");
    std::string state = json_text(t, "state");
    using scheduling::Readiness;
    // A state not named here is one that takes no new work.
    l.entry.readiness = state == "up"        ? Readiness::Ready
                        : state == "removed" ? Readiness::Removed
                                             : Readiness::Draining;
    auto text = [&](const char* name) {
      return t[name].isString() ? t[name].asString() : std::string();
    };
    auto number = [&](const char* name, double otherwise) {
      return t[name].isNumeric() ? t[name].asDouble() : otherwise;
    };
    l.address = text("endpoint");
    if (l.uid.empty() || (l.address.empty() && state != "removed"))
      throw MessageError("an entry has no endpoint");
    auto index = [&](const std::vector<std::string>& names, const char* name) {
      auto i = index_of(names, text(name));
      return i ? static_cast<int>(*i) : -1;
    };
    l.entry.zone = index(words.zones, "az");
    l.entry.kind = index(words.kinds, "model");
    l.entry.cell = static_cast<int>(std::clamp(number("pod_group", 0), -1e9, 1e9));
    l.entry.size = number("capacity_hint", 1);
    double boot = number("boot_ms", 0);
    if (boot > 0 && boot < 1e15)
      l.entry.online_since = scheduling::Time(Duration(boot) + words.wall_to_steady);
    list.entries.push_back(std::move(l));
  }
  return list;
}

std::string write_watch(std::optional<std::int64_t> after, Duration wait,
                        const std::string& address) {
  std::string target = "/v1/endpoints";
  if (after) {
    target += "?index=" + std::to_string(*after) +
              "&wait=" + std::to_string(static_cast<std::int64_t>(wait.count()));
  }
  return write_request("GET", target, {{"Host", address}}, {});
}

}  // namespace dispatcher::protocol

#include "protocol/messages.h"

#include <json/reader.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <memory>

#include "protocol/load_report.h"
#include "protocol/text_values.h"

namespace dispatcher::protocol {
namespace {

using scheduling::Duration;
using scheduling::Outcome;

constexpr double kMaxTimeMs = 1e9;  // about 11 days
constexpr int kMaxJsonDepth = 32;

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
  // Lower case only, so that each id has exactly one text form.
  bool has_upper_case =
      std::ranges::any_of(text, [](char digit) { return digit >= 'A' && digit <= 'F'; });
  if (text.size() != 16 || error != std::errc() || end != text.data() + text.size() ||
      has_upper_case)
    throw MessageError("bad X-Correlation-Id");
  return id;
}

namespace {

// Whether the worker guarantees that it has not started the job. wire: X-Unprocessed
bool is_rejection(const Message& message) {
  return (message.status == 503 || message.status == 504) && message.header("X-Unprocessed") == "1";
}

}  // namespace

Json::Value parse_json(std::string_view text) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxJsonDepth;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
      return value;
  } catch (const Json::Exception& error) {
    throw MessageError(std::string("bad JSON: ") + error.what());
  }
  std::replace(errors.begin(), errors.end(), '\n', ' ');
  throw MessageError("bad JSON: " + errors);
}

std::string require_string(const Json::Value& object, const char* name) {
  if (!object.isObject() || !object[name].isString())
    throw MessageError(std::string("no text \"") + name + '"');
  return object[name].asString();
}

// ---- Clients ----

namespace {

// Rejects repeated headers: another program could use either value.
void check_not_repeated(const Headers& headers) {
  for (const char* name :
       {"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left-Ms", "Idempotency-Key"}) {
    auto count = std::ranges::count_if(
        headers, [&](const auto& header) { return header_names_equal(header.first, name); });
    if (count > 1)
      throw MessageError(std::string("repeated ") + name);
  }
}

Duration parse_timeout(std::string_view text) {
  // Only digits are allowed; require_number() would also accept "1e9".
  if (text.find_first_not_of("0123456789") != std::string_view::npos)
    throw MessageError("bad X-Time-Left-Ms");
  return Duration(require_number(text, 0, kMaxTimeMs, "X-Time-Left-Ms"));
}

// wire: X-Weight-Hint, in microseconds
Duration parse_cost_hint(std::string_view text) {
  return Duration(require_number(text, 0, kMaxTimeMs * 1000, "X-Weight-Hint") / 1000);
}

}  // namespace

bool is_request_path(std::string_view target) {
  std::string_view path = target.substr(0, target.find('?'));
  return path == "/api" || path.starts_with("/api/");
}

ClientRequest parse_client_request(Message&& message, const IdentifierTables& tables) {
  check_not_repeated(message.headers);
  ClientRequest parsed;
  scheduling::Request& request = parsed.request;
  parsed.id = message.header("X-Correlation-Id");
  request.id = parse_request_id(parsed.id);
  std::optional<std::size_t> job_class =
      index_of(tables.classes, message.header("X-Service-Class"));
  if (!job_class || tables.is_removed[*job_class])
    throw MessageError("unknown X-Service-Class");
  request.job_class = *job_class;
  std::optional<std::size_t> tenant = index_of(tables.tenants, message.header("X-Account"));
  bool removed = tenant && !tables.is_tenant_removed.empty() && tables.is_tenant_removed[*tenant];
  if (!tables.tenants.empty() && (!tenant || removed))
    throw MessageError("unknown X-Account");
  request.tenant = tenant.value_or(0);
  request.timeout = parse_timeout(message.header("X-Time-Left-Ms"));
  if (message.has("X-Weight-Hint"))
    request.cost_hint = parse_cost_hint(message.header("X-Weight-Hint"));
  for_each_pair(message.header("X-Facts"), [&](std::string_view name, std::string_view value) {
    if (name == "slots")
      request.slots = require_number(value, 0, 1e6, "slots");
    if (name == "memory")
      request.memory = require_number(value, 0, 1e6, "memory");
  });
  parsed.idempotency_key = message.header("Idempotency-Key");
  // The scheduler retries requests of these classes, and workers recognize a retry by its key.
  if (tables.needs_idempotency_key[*job_class] && parsed.idempotency_key.empty())
    throw MessageError("this class needs an Idempotency-Key");
  parsed.target = std::move(message.target);
  parsed.body = std::move(message.body);
  return parsed;
}

// ---- Workers ----

namespace {

Headers submit_headers(const ClientRequest& request, const std::string& address,
                       Duration time_left) {
  auto left_ms = static_cast<std::int64_t>(std::max(0.0, std::floor(time_left.count())));
  Headers headers{{"Host", address},
                  {"X-Correlation-Id", request.id},
                  {"X-Time-Left-Ms", std::to_string(left_ms)}};
  if (!request.idempotency_key.empty())
    headers.emplace_back("Idempotency-Key", request.idempotency_key);
  return headers;
}

}  // namespace

std::string write_submit(const ClientRequest& request, const std::string& address,
                         Duration time_left) {
  return write_request("POST", request.target, submit_headers(request, address, time_left),
                       request.body);
}

std::string write_submit_head(const ClientRequest& request, const std::string& address,
                              Duration time_left, std::optional<std::uint64_t> length) {
  Headers headers = submit_headers(request, address, time_left);
  headers.insert(headers.end(), request.content_headers.begin(), request.content_headers.end());
  if (length) {
    headers.emplace_back("Content-Length", std::to_string(*length));
  } else {
    headers.emplace_back("Transfer-Encoding", "chunked");
  }
  return write_head("POST " + request.target + " HTTP/1.1", headers);
}

Headers select_content_headers(const Headers& headers) {
  constexpr std::string_view kPrefix = "Content-";
  Headers content_headers;
  for (const auto& [name, value] : headers) {
    bool has_prefix = name.size() > kPrefix.size() &&
                      header_names_equal(std::string_view(name).substr(0, kPrefix.size()), kPrefix);
    if (has_prefix && !header_names_equal(name, "Content-Length"))
      content_headers.emplace_back(name, value);
  }
  return content_headers;
}

std::string write_cancellation(const std::string& id, const std::string& address) {
  return write_request("DELETE", "/jobs/" + id, {{"Host", address}}, {});
}

std::string write_health_check(bool with_report, const std::string& address) {
  return write_request("GET", with_report ? "/status/load" : "/health", {{"Host", address}}, {});
}

WorkerResponse parse_submit_response(const Message& message, const IdentifierTables& tables,
                                     bool carries_reply) {
  WorkerResponse response;
  if (message.status == 202)
    return response;
  if (carries_reply && message.status == 200) {
    response.end = Outcome::Success;
  } else {
    response.end = is_rejection(message) ? Outcome::Rejected : Outcome::Failure;
  }
  response.report = read_load_text(message.header("X-Backend-Load"), tables);
  return response;
}

WorkerResponse parse_health_check_response(const Message& message, const IdentifierTables& tables) {
  WorkerResponse response;
  if (message.status == 200) {
    response.end = Outcome::Success;
  } else {
    response.end = message.status == 503 ? Outcome::Rejected : Outcome::Failure;
  }
  std::string_view header = message.header("X-Backend-Load");
  if (!header.empty()) {
    response.report = read_load_text(header, tables);
  } else if (message.body.starts_with('{')) {
    try {
      response.report = read_load_json(parse_json(message.body), tables);
    } catch (const MessageError&) {
      // A response without a usable report still shows that the worker is up.
    }
  } else {
    response.report = read_load_text(message.body, tables);
  }
  return response;
}

namespace {

// wire: state
JobEvent::State parse_job_state(const std::string& state) {
  using State = JobEvent::State;
  if (state == "started")
    return State::Started;
  if (state == "running")
    return State::Progress;
  if (state == "done")
    return State::Done;
  if (state == "failed")
    return State::Failed;
  if (state == "returned")
    return State::Returned;
  if (state == "lost")
    return State::Lost;
  throw MessageError("unknown state");
}

}  // namespace

JobEvent parse_job_event(std::string_view body, const IdentifierTables& tables) {
  Json::Value json = parse_json(body);
  JobEvent event;
  event.id = parse_request_id(require_string(json, "id"));
  event.worker_uid = require_string(json, "from");
  event.state = parse_job_state(require_string(json, "state"));
  if (event.state == JobEvent::State::Done)
    event.result = require_string(json, "result");
  event.report = read_load_json(json["load"], tables);
  return event;
}

// ---- The endpoint list ----

namespace {

// wire: state. A worker with an unknown state gets no new work.
scheduling::Readiness parse_readiness(const std::string& state) {
  if (state == "up")
    return scheduling::Readiness::Ready;
  return state == "removed" ? scheduling::Readiness::Removed : scheduling::Readiness::Draining;
}

std::string string_or_empty(const Json::Value& json, const char* name) {
  return json[name].isString() ? json[name].asString() : std::string();
}

double number_or(const Json::Value& json, const char* name, double fallback) {
  return json[name].isNumeric() ? json[name].asDouble() : fallback;
}

// Returns -1 for a name that is not in the settings.
int index_or_none(const std::vector<std::string>& names, const std::string& name) {
  std::optional<std::size_t> index = index_of(names, name);
  return index ? static_cast<int>(*index) : -1;
}

// wire: uid, endpoint, state, az (zone), model (kind), pod_group (cell), capacity_hint (size),
// boot_ms (online since)
WorkerEndpoint parse_endpoint(const Json::Value& target, const IdentifierTables& tables) {
  WorkerEndpoint endpoint;
  endpoint.uid = require_string(target, "uid");
  scheduling::WorkerEntry& entry = endpoint.entry;
  entry.readiness = parse_readiness(require_string(target, "state"));
  endpoint.address = string_or_empty(target, "endpoint");
  bool needs_address = entry.readiness != scheduling::Readiness::Removed;
  if (endpoint.uid.empty() || (endpoint.address.empty() && needs_address))
    throw MessageError("an entry has no endpoint");
  entry.zone = index_or_none(tables.zones, string_or_empty(target, "az"));
  entry.kind = index_or_none(tables.kinds, string_or_empty(target, "model"));
  entry.cell = static_cast<int>(std::clamp(number_or(target, "pod_group", 0), -1e9, 1e9));
  entry.size = number_or(target, "capacity_hint", 1);
  double boot_ms = number_or(target, "boot_ms", 0);
  if (boot_ms > 0 && boot_ms < 1e15)
    entry.online_since = scheduling::Time(Duration(boot_ms) + tables.wall_to_steady);
  return endpoint;
}

}  // namespace

// wire: rev, all, targets
EndpointUpdate parse_endpoint_update(const Json::Value& list, const IdentifierTables& tables) {
  if (!list.isObject() || !list["rev"].isInt64() || !list["all"].isBool() ||
      !list["targets"].isArray())
    throw MessageError("a list needs rev, all and targets");
  EndpointUpdate update;
  update.revision = list["rev"].asInt64();
  update.is_snapshot = list["all"].asBool();
  for (const Json::Value& target : list["targets"])
    update.entries.push_back(parse_endpoint(target, tables));
  return update;
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

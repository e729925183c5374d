// The meaning of messages: a client's request, a call to a worker and its call-back, the endpoint
// list. Names on the wire become the scheduler's indices here and nowhere else.
#pragma once

#include <json/value.h>
#include "dispatcher/scheduling/scheduler.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/http.h"
#include "settings/settings_reader.h"

namespace dispatcher::protocol {

// A message of a client, a worker or discovery that cannot be understood; what() says why. Thrown
// by the parse functions below.
struct MessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The names in the settings, in the order of the scheduler's indices.
struct IdentifierTables {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_columns;
  std::vector<bool> keyed;                      // by class: needs an idempotency key
  std::vector<bool> dropped;                    // by class: not in the settings any more
  std::vector<scheduling::Duration> deadlines;  // by class
  settings::Columns columns;
  // From a wall-clock time to the scheduler's clock. Read once, at the program's start: the
  // scheduler takes a changed start time for a restart of the worker, so that the same wall-clock
  // time must always give the same result.
  std::chrono::duration<double, std::milli> wall_to_steady{0};
};

Json::Value parse_json(std::string_view text);
// The string member `name`.
std::string json_text(const Json::Value& object, const char* name);

// ---- Clients ----

struct ClientRequest {
  scheduling::Request request;
  std::string id;  // as received; wire: X-Correlation-Id
  std::string target;
  std::string key;  // wire: Idempotency-Key
  std::string body;
  Headers fields;  // of a streamed request, on its content
};
// Sixteen lower-case hexadecimal digits.
scheduling::RequestId parse_request_id(std::string_view text);
bool is_request_path(std::string_view target);
ClientRequest parse_client_request(Message&& message, const IdentifierTables& tables);

// ---- Workers ----

std::string write_submit(const ClientRequest& request, const std::string& address,
                         scheduling::Duration time_left);
// The head alone, for a relayed body of `length` bytes; nothing: chunked.
std::string write_submit_head(const ClientRequest& request, const std::string& address,
                              scheduling::Duration time_left, std::optional<std::uint64_t> length);
std::string write_cancellation(const std::string& id, const std::string& address);
std::string write_health_check(bool with_report, const std::string& address);

struct WorkerAnswer {
  std::optional<scheduling::Outcome> end;  // nothing: accepted, job events follow
  scheduling::LoadReport report;
};
// `replies`: an answer 200 is the reply itself.
WorkerAnswer parse_submit_answer(const Message& message, const IdentifierTables& tables,
                                 bool replies = false);
WorkerAnswer parse_health_check_answer(const Message& message, const IdentifierTables& tables);
// The headers that describe the content, without its length.
Headers content_fields(const Headers& headers);

// A worker's call-back on a job.
struct JobEvent {
  enum class What { Started, Progress, Done, Failed, Returned, Lost };
  scheduling::RequestId id = 0;
  std::string from;  // the worker
  std::string result;
  What what = What::Started;
  scheduling::LoadReport report;
};
JobEvent parse_job_event(std::string_view body, const IdentifierTables& tables);

// ---- The endpoint list ----

struct WorkerEndpoint {
  std::string uid;
  std::string address;
  scheduling::WorkerEntry entry;  // without its name
};
struct EndpointUpdate {
  std::int64_t revision = 0;
  bool whole = false;  // a snapshot; else a delta
  std::vector<WorkerEndpoint> entries;
};
EndpointUpdate parse_endpoint_update(const Json::Value& list, const IdentifierTables& tables);
// `after`: the revision to go on from; nothing: the call is for a snapshot and does not wait.
std::string write_watch(std::optional<std::int64_t> after, scheduling::Duration wait,
                        const std::string& address);

}  // namespace dispatcher::protocol

// Conversion between HTTP messages and the types of the scheduler: requests from clients, requests
// to workers and their responses, job events, and the endpoint list. Only this code maps names on
// the wire to the scheduler's indices.
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

// Thrown by the parse functions below for an invalid message from a client, a worker or discovery.
struct MessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Names from the settings, in the order of the scheduler's indices.
struct IdentifierTables {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_columns;
  std::vector<bool> needs_idempotency_key;      // by class
  std::vector<bool> is_removed;                 // by class: no longer in the settings
  std::vector<scheduling::Duration> deadlines;  // by class
  std::vector<bool> is_tenant_removed;          // by tenant, after a reload; empty before
  settings::LoadReportColumns columns;
  // Offset from wall-clock time to the scheduler's clock. Determined once, when the program starts:
  // the same wall-clock time must always give the same result, because the scheduler takes a
  // changed start time of a worker for a restart.
  std::chrono::duration<double, std::milli> wall_to_steady{0};
};

Json::Value parse_json(std::string_view text);
// Returns the string member `name`. Throws MessageError if there is none.
std::string require_string(const Json::Value& object, const char* name);

// ---- Clients ----

struct ClientRequest {
  scheduling::Request request;
  std::string id;  // as received; wire: X-Correlation-Id
  std::string target;
  std::string idempotency_key;  // wire: Idempotency-Key
  std::string body;
  Headers content_headers;  // of a streamed request, see select_content_headers()
};
// The text form is 16 lower-case hexadecimal digits.
scheduling::RequestId parse_request_id(std::string_view text);
bool is_request_path(std::string_view target);
ClientRequest parse_client_request(Message&& message, const IdentifierTables& tables);

// ---- Workers ----

std::string write_submit(const ClientRequest& request, const std::string& address,
                         scheduling::Duration time_left);
// Writes only the head, for a relayed body of `length` bytes, or a chunked body if there is no
// length.
std::string write_submit_head(const ClientRequest& request, const std::string& address,
                              scheduling::Duration time_left, std::optional<std::uint64_t> length);
std::string write_cancellation(const std::string& id, const std::string& address);
std::string write_health_check(bool with_report, const std::string& address);

struct WorkerResponse {
  std::optional<scheduling::Outcome> end;  // none: the worker accepted the job; job events follow
  scheduling::LoadReport report;
};
// With `carries_reply`, a response with status 200 is itself the reply to the client's request.
WorkerResponse parse_submit_response(const Message& message, const IdentifierTables& tables,
                                     bool carries_reply = false);
WorkerResponse parse_health_check_response(const Message& message, const IdentifierTables& tables);
// Returns the Content-* headers except Content-Length.
Headers select_content_headers(const Headers& headers);

// A worker's notification about a job.
struct JobEvent {
  enum class State { Started, Progress, Done, Failed, Returned, Lost };
  scheduling::RequestId id = 0;
  std::string worker_uid;
  std::string result;
  State state = State::Started;
  scheduling::LoadReport report;
};
JobEvent parse_job_event(std::string_view body, const IdentifierTables& tables);

// ---- The endpoint list ----

struct WorkerEndpoint {
  std::string uid;
  std::string address;
  scheduling::WorkerEntry entry;  // its name is not set
};
struct EndpointUpdate {
  std::int64_t revision = 0;
  bool is_snapshot = false;  // otherwise a delta
  std::vector<WorkerEndpoint> entries;
};
EndpointUpdate parse_endpoint_update(const Json::Value& list, const IdentifierTables& tables);
// Writes a poll. `after` is the last known revision; without it, the poll is for a snapshot and
// does not wait.
std::string write_watch(std::optional<std::int64_t> after, scheduling::Duration wait,
                        const std::string& address);

}  // namespace dispatcher::protocol

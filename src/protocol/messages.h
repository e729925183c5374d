// What the messages mean: a client's command, a call to a worker and its call-back, the
// endpoint list. Names become the scheduler's indices here and nowhere else.
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

// A message of a client, a worker or discovery that cannot be understood; what() says why.
struct MessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
using Refused = MessageError;  // former name, still used by src/program

// What the settings call things, in the order of the scheduler's indices.
struct IdentifierTables {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_columns;
  std::vector<bool> keyed;                      // by class
  std::vector<bool> dropped;                    // by class: new settings name it no more
  std::vector<scheduling::Duration> deadlines;  // by class
  settings::Columns columns;
  // A wall-clock start as a time of the scheduler's clock. The distance is read once, at the
  // program's start: the scheduler takes a changed time for a restart, so the same start must
  // always give the same time.
  std::chrono::duration<double, std::milli> wall_to_steady{0};
};

Json::Value parse_json(std::string_view text);  // throws MessageError
std::string json_text(const Json::Value& object,
                      const char* name);  // throws MessageError when not a string

// ---- Clients ----

struct ClientRequest {
  scheduling::Request request;
  std::string id;
  std::string target;
  std::string key;
  std::string body;  // as they came: they pass on unchanged
  Headers fields;    // of a streamed one, on its content
};
scheduling::RequestId parse_request_id(
    std::string_view text);  // sixteen hex digits; throws MessageError
bool is_request_path(std::string_view target);
ClientRequest parse_client_request(Message&& message,
                                   const IdentifierTables& words);  // throws MessageError

// ---- Workers ----

std::string write_submit(const ClientRequest& command, const std::string& address,
                         scheduling::Duration time_left);
// The head alone, where the body passes through: `length` of it, or chunks.
std::string write_submit_head(const ClientRequest& command, const std::string& address,
                              scheduling::Duration time_left, std::optional<std::uint64_t> length);
std::string write_cancellation(const std::string& id, const std::string& address);
std::string write_health_check(bool with_report, const std::string& address);

struct WorkerAnswer {
  std::optional<scheduling::Outcome> end;  // nothing: taken, its call-backs tell the rest
  scheduling::LoadReport report;
};
// `replies`: an answer 200 is the reply itself.
WorkerAnswer parse_submit_answer(const Message& m, const IdentifierTables& words,
                                 bool replies = false);
Headers content_fields(const Headers& headers);  // what tells of the content, but for its length
WorkerAnswer parse_health_check_answer(const Message& m, const IdentifierTables& words);

struct JobEvent {
  enum class What { Started, Progress, Done, Failed, Returned, Lost };
  scheduling::RequestId id = 0;
  std::string from;
  std::string result;
  What what = What::Started;
  scheduling::LoadReport report;
};
JobEvent parse_job_event(std::string_view body,
                         const IdentifierTables& words);  // throws MessageError

// ---- The endpoint list ----

struct WorkerEndpoint {
  std::string uid;
  std::string address;
  scheduling::WorkerEntry entry;  // but for its name
};
struct EndpointUpdate {
  std::int64_t revision = 0;
  bool whole = false;
  std::vector<WorkerEndpoint> entries;
};
EndpointUpdate parse_endpoint_update(const Json::Value& list,
                                     const IdentifierTables& words);  // throws MessageError
std::string write_watch(std::optional<std::int64_t> after, scheduling::Duration wait,
                        const std::string& address);

}  // namespace dispatcher::protocol

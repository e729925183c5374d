// What the messages mean: a service client's command, a call to an instance and its call-back, the
// name table. Names become the module's indices here and nowhere else.
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

struct Refused : std::runtime_error {  // a message that means nothing here; says why
  using std::runtime_error::runtime_error;
};

// What the settings call things, in the order of the module's indices.
struct Vocabulary {
  std::vector<std::string> classes;
  std::vector<std::string> tenants;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_columns;
  std::vector<bool> keyed;                      // by class
  std::vector<bool> dropped;                    // by class: new settings name it no more
  std::vector<scheduling::Duration> deadlines;  // by class
  settings::Columns columns;
  // A wall-clock start as a time of the module's clock. The distance is read once, at the program's
  // start: the module takes a changed time for a restart, so the same start must always give the
  // same time.
  std::chrono::duration<double, std::milli> wall_to_steady{0};
};

Json::Value parse_json(std::string_view text);  // throws Refused
std::string json_text(const Json::Value& object,
                      const char* name);  // throws Refused when not a string

// ---- Service clients ----

struct ClientCommand {
  scheduling::Request request;
  std::string id;
  std::string target;
  std::string key;
  std::string body;  // as they came: they pass on unchanged
  Headers fields;    // of a streamed one, on its content
};
scheduling::RequestId read_id(std::string_view text);  // sixteen hex digits; throws Refused
bool is_command_path(std::string_view target);
ClientCommand read_command(Message&& message, const Vocabulary& words);  // throws Refused

// ---- Instances ----

std::string write_submit(const ClientCommand& command, const std::string& address,
                         scheduling::Duration time_left);
// The head alone, where the body passes through: `length` of it, or chunks.
std::string write_submit_head(const ClientCommand& command, const std::string& address,
                              scheduling::Duration time_left, std::optional<std::uint64_t> length);
std::string write_withdraw(const std::string& id, const std::string& address);
std::string write_probe(bool with_report, const std::string& address);

struct InstanceAnswer {
  std::optional<scheduling::Outcome> end;  // nothing: taken, its call-backs tell the rest
  scheduling::LoadReport report;
};
// `replies`: an answer 200 is the reply itself.
InstanceAnswer read_submit_answer(const Message& m, const Vocabulary& words, bool replies = false);
Headers content_fields(const Headers& headers);  // what tells of the content, but for its length
InstanceAnswer read_probe_answer(const Message& m, const Vocabulary& words);

struct News {
  enum class What { Started, Progress, Done, Failed, Returned, Lost };
  scheduling::RequestId id = 0;
  std::string from;
  std::string result;
  What what = What::Started;
  scheduling::LoadReport report;
};
News read_news(std::string_view body, const Vocabulary& words);  // throws Refused

// ---- The name table ----

struct Listed {
  std::string uid;
  std::string address;
  scheduling::WorkerEntry entry;  // but for its name
};
struct NameList {
  std::int64_t revision = 0;
  bool whole = false;
  std::vector<Listed> entries;
};
NameList read_names(const Json::Value& list, const Vocabulary& words);  // throws Refused
std::string write_watch(std::optional<std::int64_t> after, scheduling::Duration wait,
                        const std::string& address);

}  // namespace dispatcher::protocol

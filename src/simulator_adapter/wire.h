// Mapping between the lines of the simulator's wire and the scheduler's messages. Readers throw
// Malformed.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <optional>
#include <string>
#include <string_view>

#include "settings/settings_reader.h"
#include "simulator_adapter/line_reader.h"

namespace dispatcher::simulator_adapter {

using settings::Columns;
using settings::read_settings;

// A worker of an endpoint list; owns the name.
struct Row {
  std::string worker;
  scheduling::WorkerEntry values;  // all but the name
  // The name in it points into this row.
  scheduling::WorkerEntry entry() const;
};
Row read_row(LineReader& line);

scheduling::Request read_request(LineReader& line);
// `worker` of the result points into the line.
scheduling::AttemptEnd read_attempt_end(LineReader& line, const Columns& columns);
// An unknown word proves nothing but that the attempt is over: Failure.
scheduling::Outcome read_outcome(std::string_view word);
// Nothing for a kind that is not known.
std::optional<scheduling::JobEventKind> read_job_event_kind(LineReader& line);
std::optional<scheduling::EndpointUpdateKind> read_list_kind(std::string_view word);
// Bytes from their hexadecimal digits.
std::string read_bytes(std::string_view hex);

// The writers append to `out`.
void write_action(const scheduling::Action& action, std::string& out);
// A message to the dispatcher of index `to`.
void write_message(int to, std::string_view bytes, std::string& out);
// Milliseconds with three decimals.
void write_time(scheduling::Duration time, std::string& out);

}  // namespace dispatcher::simulator_adapter

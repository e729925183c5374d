// Converts between the lines of the simulator's wire and the scheduler's events and actions. The
// reading functions throw MalformedInput.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <optional>
#include <string>
#include <string_view>

#include "settings/settings_reader.h"
#include "simulator_adapter/line_reader.h"

namespace dispatcher::simulator_adapter {

using settings::LoadReportColumns;
using settings::read_settings;

// A worker of an endpoint list. Owns the worker's name.
struct EndpointRow {
  std::string worker;
  scheduling::WorkerEntry values;  // without the name
  // The returned entry's name points into this row.
  scheduling::WorkerEntry entry() const;
};
EndpointRow read_row(LineReader& line);

scheduling::Request read_request(LineReader& line);
// `worker` of the result points into the line.
scheduling::AttemptEnd read_attempt_end(LineReader& line, const LoadReportColumns& columns);
// Returns Failure for an unknown word, which proves only that the attempt has ended.
scheduling::Outcome read_outcome(std::string_view word);
// These two return nullopt for an unknown kind.
std::optional<scheduling::JobEventKind> read_job_event_kind(LineReader& line);
std::optional<scheduling::EndpointUpdateKind> read_update_kind(std::string_view word);
// `hex`: two hexadecimal digits for each byte; settings::kNoValue for no bytes.
std::string decode_hex(std::string_view hex);

// The writing functions append to `out`.
void write_action(const scheduling::Action& action, std::string& out);
// `to`: index of the receiving dispatcher.
void write_gossip_message(int to, std::string_view bytes, std::string& out);
// In milliseconds, with three decimals.
void write_time(scheduling::Duration time, std::string& out);

}  // namespace dispatcher::simulator_adapter

// Reads the load reports of workers.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <optional>
#include <string>
#include <string_view>

#include "settings/setting_values.h"

namespace dispatcher::settings {

// Meaning of the load report columns that depend on the deployment.
struct LoadReportColumns {
  bool x0_is_free_slots = false;
  bool x1_is_free_memory = false;
};

// Returns nullptr for a column that this program does not use.
inline std::optional<double>* report_field(scheduling::LoadReport& report, std::string_view column,
                                           const LoadReportColumns& columns) {
  if (column == "rif")  // wire: rif
    return &report.inflight;
  if (column == "q")  // wire: q
    return &report.queue;
  if (column == "busy")  // wire: busy
    return &report.busy;
  if (column == "fail_rate")  // wire: fail_rate
    return &report.fail_rate;
  if (column == "x0" && columns.x0_is_free_slots)  // wire: x0
    return &report.free_slots;
  if (column == "x1" && columns.x1_is_free_memory)  // wire: x1
    return &report.free_memory;
  return nullptr;
}

// `pairs`: column:value pairs separated by commas; kNoValue if there is no report. Throws
// SettingsError.
inline scheduling::LoadReport read_load_report(std::string_view pairs,
                                               const LoadReportColumns& columns) {
  scheduling::LoadReport report;
  while (!pairs.empty() && pairs != kNoValue) {
    std::string_view pair = split_front(pairs, ',');
    std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos)
      throw SettingsError(std::string(pair), "a load report's pair has no colon");
    std::string_view column = pair.substr(0, colon);
    std::string_view value = pair.substr(colon + 1);
    std::optional<double>* field = report_field(report, column, columns);
    if (field != nullptr && value != kNoValue)
      *field = parse_number<double>(value, column);
  }
  return report;
}

}  // namespace dispatcher::settings

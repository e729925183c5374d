#include "protocol/load_report.h"

#include <cmath>

#include "protocol/text_values.h"

namespace dispatcher::protocol {

using scheduling::LoadReport;

namespace {

constexpr double kMaxLoadValue = 1e9;

// Maps the column names that workers use to those of the simulator.
// wire: eps, queue, inflight, util
std::string_view report_column(std::string_view name) {
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

LoadReport make_report(const std::string& pairs, const IdentifierTables& tables) {
  try {
    return settings::read_load_report(pairs, tables.columns);
  } catch (const settings::MalformedInput&) {
    return {};
  }
}

void append_pair(std::string& pairs, std::string_view name, double value) {
  if (!std::isfinite(value) || value < 0 || value > kMaxLoadValue)
    throw MessageError("a load report is out of range");
  if (!pairs.empty())
    pairs += ',';
  pairs.append(report_column(name)).append(":").append(std::to_string(value));
}

}  // namespace

LoadReport read_load_text(std::string_view text, const IdentifierTables& tables) {
  try {
    if (text.starts_with("TEXT"))
      text.remove_prefix(4);
    std::string pairs;
    for_each_pair(text, [&](std::string_view name, std::string_view value) {
      append_pair(pairs, name, require_number(value, 0, kMaxLoadValue, "load report"));
    });
    return make_report(pairs, tables);
  } catch (const MessageError&) {
    return {};
  }
}

LoadReport read_load_json(const Json::Value& load, const IdentifierTables& tables) {
  if (!load.isObject())
    return {};
  try {
    std::string pairs;
    for (const std::string& name : load.getMemberNames()) {
      if (!load[name].isNumeric())
        throw MessageError("a load report's value is no number");
      append_pair(pairs, name, load[name].asDouble());
    }
    return make_report(pairs, tables);
  } catch (const MessageError&) {
    return {};
  }
}

}  // namespace dispatcher::protocol

// The settings as path=value pairs, and the load reports whose columns they name. Read in this one
// place for the simulator's wire and for the real dispatcher's configuration, so that both fill the
// same scheduling::Settings.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace dispatcher::settings {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

template <class Number>
Number parse_number(std::string_view text) {
  Number value{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size())
    throw Malformed("not a number");
  return value;
}

// What the columns x0 and x1 of a load report mean on this site.
struct Columns {
  bool x0_is_free_slots = false;
  bool x1_is_free_memory = false;
};

inline scheduling::LoadReport read_report(std::string_view pairs, const Columns& columns) {
  scheduling::LoadReport report;
  while (!pairs.empty() && pairs != "-") {
    std::size_t comma = pairs.find(',');
    std::string_view pair = pairs.substr(0, comma);
    pairs = comma == std::string_view::npos ? std::string_view() : pairs.substr(comma + 1);
    std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos)
      throw Malformed("a load report's pair has no colon");
    std::string_view name = pair.substr(0, colon);
    std::string_view value = pair.substr(colon + 1);
    std::optional<double>* field = name == "rif"                               ? &report.inflight
                                   : name == "q"                               ? &report.queue
                                   : name == "busy"                            ? &report.busy
                                   : name == "fail_rate"                       ? &report.fail_rate
                                   : name == "x0" && columns.x0_is_free_slots  ? &report.free_slots
                                   : name == "x1" && columns.x1_is_free_memory ? &report.free_memory
                                                                               : nullptr;
    if (field && value != "-")
      *field = parse_number<double>(value);
  }
  return report;
}

// The settings of LAUNCH; returns the meaning of the report's columns.
class SettingsReader {
 public:
  explicit SettingsReader(std::map<std::string, std::string> values) : values_(std::move(values)) {}
  explicit SettingsReader(std::string_view pairs) {
    while (!pairs.empty()) {
      std::size_t space = pairs.find(' ');
      std::string_view pair = pairs.substr(0, space);
      pairs = space == std::string_view::npos ? std::string_view() : pairs.substr(space + 1);
      std::size_t equals = pair.find('=');
      if (equals == std::string_view::npos)
        throw Malformed("a setting has no '='");
      values_[std::string(pair.substr(0, equals))] = std::string(pair.substr(equals + 1));
    }
  }
  std::string_view text(const std::string& key) const {
    auto it = values_.find(key);
    return it == values_.end() ? std::string_view() : std::string_view(it->second);
  }
  bool has(const std::string& key) const { return !text(key).empty() && text(key) != "-"; }
  double number(const std::string& key, double otherwise) const {
    return has(key) ? parse_number<double>(text(key)) : otherwise;
  }
  int whole(const std::string& key, int otherwise) const {
    double value = number(key, otherwise);
    if (!(value >= -1e9 && value <= 1e9))
      throw Malformed("a setting is out of range");
    return static_cast<int>(value);
  }
  scheduling::Duration time(const std::string& key) const {
    return scheduling::Duration(number(key, 0));
  }
  bool yes(const std::string& key) const { return text(key) == "true" || text(key) == "1"; }
  std::optional<double> item(const std::string& key,
                             std::size_t index) const {  // of a comma-joined list
    std::string_view list = text(key);
    for (; index > 0; --index) {
      std::size_t comma = list.find(',');
      if (comma == std::string_view::npos)
        return std::nullopt;
      list = list.substr(comma + 1);
    }
    list = list.substr(0, list.find(','));
    if (list.empty() || list == "-")
      return std::nullopt;
    return parse_number<double>(list);
  }

 private:
  std::map<std::string, std::string> values_;
};

inline scheduling::ClassSettings read_class(const SettingsReader& in, int index) {
  using namespace dispatcher::scheduling;
  std::string lane = "Lanes." + std::to_string(index) + ".";
  auto at = static_cast<std::size_t>(index);
  ClassSettings c;
  c.name = in.text(lane + "Name");
  std::string_view idempotency = in.text(lane + "Effect");
  std::string_view deduplication_scope = in.text(lane + "Group");
  c.idempotency = idempotency == "safe"    ? Idempotency::Idempotent
                  : idempotency == "keyed" ? Idempotency::KeyedIdempotent
                                           : Idempotency::NonIdempotent;
  c.deduplication_scope = deduplication_scope == "all"    ? DeduplicationScope::All
                          : deduplication_scope == "zone" ? DeduplicationScope::Zone
                                                          : DeduplicationScope::Cell;
  c.deduplication_window = in.time(lane + "MemorySpanMs");
  c.latency_objective = in.time(lane + "AimMs");
  c.deadline = in.time(lane + "DeadlineMs");
  c.objective_work_factor =
      in.number(lane + "AimStretch", in.item("Extra.ClassStretch", at).value_or(0));
  c.priority_weight = in.number(lane + "Worth", 1);
  c.late_weight = in.number(lane + "LateWorth", 0);
  c.kind = static_cast<int>(in.item("Extra.ClassKind", at).value_or(-1));
  return c;
}

inline Columns read_settings(const SettingsReader& in, scheduling::Settings& s) {
  using namespace dispatcher::scheduling;
  s.zone = in.whole("Az", 0);
  s.dispatchers = in.whole("Balancers", 1);
  s.index = in.whole("Index", 0);
  for (int i = 0; i < std::min(in.whole("Lanes.count", 0), 10'000); ++i)
    s.classes.push_back(read_class(in, i));
  s.tick = in.time("TickMs");
  s.max_attempts = in.whole("Permissions.MaxAttempts", 1);
  s.hedging_allowed = in.yes("Permissions.ParallelTries");
  if (in.has("Permissions.ConnectTimeoutMs"))
    s.connect_timeout = in.time("Permissions.ConnectTimeoutMs");
  s.cancellation_allowed = in.yes("Permissions.Cancelling");
  s.health_checks_allowed = in.yes("Permissions.MayProbe");
  if (in.yes("Permissions.RetryAfter"))
    s.max_retry_after = in.time("Permissions.MaxRetryAfterMs");
  s.watch_required = in.text("Discovery") == "subscribe";
  std::string_view how = in.text("Report.How");
  s.reports = how == "inline"     ? LoadReportMode::Inline
              : how == "on_probe" ? LoadReportMode::OnProbe
                                  : LoadReportMode::Off;
  s.reports_job_start = in.yes("Extra.TellsStart");
  s.progress_interval = in.time("Extra.ProgressMs");
  s.answer_slack = in.time("Invariants.AnswerSlackMs");
  s.poll_deadline = in.time("Invariants.MustAskInMs");
  s.drain_grace = in.time("Invariants.DrainGraceMs");
  s.slow_start_initial_fraction = in.number("Invariants.ColdFrom", s.slow_start_initial_fraction);
  s.slow_start_duration = in.time("Invariants.RampTimeMs");
  s.overload_multiple = in.number("Invariants.TipMultiple", s.overload_multiple);
  if (in.has("Invariants.FallMs"))
    s.overload_window = in.time("Invariants.FallMs");
  if (in.has("Invariants.BudgetFree"))
    s.retry_budget_free = in.number("Invariants.BudgetFree", 0);
  if (in.has("Invariants.ExtraPerRequest"))
    s.retry_budget_ratio = in.number("Invariants.ExtraPerRequest", 0);
  if (in.has("Invariants.ExtraWindowMs"))
    s.retry_budget_window = in.time("Invariants.ExtraWindowMs");
  for (int i = 0; i < std::min(in.whole("Tenants.count", 0), 10'000); ++i)
    s.tenant_quotas.push_back(in.number("Tenants." + std::to_string(i) + ".QuotaRps", 0));
  s.over_quota_weight = in.number("OverShareWorth", 1);
  s.cross_zone_price = in.number("Penalties.CrossZone", 0);
  s.weight_by_work = in.text("WorthBy") == "work";
  return {in.text("Extra.ReportX0") == "free_slots", in.text("Extra.ReportX1") == "free_memory"};
}

inline Columns read_settings(std::string_view pairs, scheduling::Settings& s) {
  return read_settings(SettingsReader(pairs), s);
}

}  // namespace dispatcher::settings

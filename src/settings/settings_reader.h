// Maps the keys of a deployment's settings to scheduling::Settings. Used for both the simulator's
// wire and the dispatcher's configuration file. The string literals are the wire names.
//
// wire: Az, Balancers, Index, Discovery, TickMs, WorthBy, OverShareWorth, Lanes.*, Tenants.*,
// Permissions.*, Report.*, Extra.*, Invariants.*, Penalties.*
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

#include "settings/load_report_reader.h"
#include "settings/setting_values.h"
#include "settings/settings_error.h"

namespace dispatcher::settings {

// Limits how much a wrong count of classes or tenants can allocate.
inline constexpr int kMaxListLength = 10'000;

// wire: Lanes.N.Effect
inline scheduling::Idempotency read_idempotency(std::string_view word) {
  if (word == "safe")
    return scheduling::Idempotency::Idempotent;
  if (word == "keyed")
    return scheduling::Idempotency::KeyedIdempotent;
  return scheduling::Idempotency::NonIdempotent;
}

// wire: Lanes.N.Group
inline scheduling::DeduplicationScope read_deduplication_scope(std::string_view word) {
  if (word == "all")
    return scheduling::DeduplicationScope::All;
  if (word == "zone")
    return scheduling::DeduplicationScope::Zone;
  return scheduling::DeduplicationScope::Cell;
}

// wire: Report.How
inline scheduling::LoadReportMode read_report_mode(std::string_view word) {
  if (word == "inline")
    return scheduling::LoadReportMode::Inline;
  if (word == "on_probe")
    return scheduling::LoadReportMode::OnHealthCheck;
  return scheduling::LoadReportMode::Off;
}

// wire: Lanes.N.*, Extra.ClassStretch, Extra.ClassKind
inline scheduling::ClassSettings read_class(const SettingsReader& reader, int index) {
  std::string prefix = "Lanes." + std::to_string(index) + ".";
  auto position = static_cast<std::size_t>(index);
  scheduling::ClassSettings job_class;
  job_class.name = reader.text(prefix + "Name");
  job_class.idempotency = read_idempotency(reader.text(prefix + "Effect"));
  job_class.deduplication_scope = read_deduplication_scope(reader.text(prefix + "Group"));
  job_class.deduplication_window = reader.duration(prefix + "MemorySpanMs");
  job_class.latency_objective = reader.duration(prefix + "AimMs");
  job_class.deadline = reader.duration(prefix + "DeadlineMs");
  double work_factor = reader.list_item("Extra.ClassStretch", position).value_or(0);
  job_class.objective_work_factor = reader.number(prefix + "AimStretch", work_factor);
  job_class.priority_weight = reader.number(prefix + "Worth", 1);
  job_class.late_weight = reader.number(prefix + "LateWorth", 0);
  job_class.kind = static_cast<int>(reader.list_item("Extra.ClassKind", position).value_or(-1));
  return job_class;
}

// wire: Permissions.*
inline void read_permissions(const SettingsReader& reader, scheduling::Settings& settings) {
  settings.max_attempts = reader.integer("Permissions.MaxAttempts", 1);
  settings.hedging_allowed = reader.boolean("Permissions.ParallelTries");
  if (auto timeout = reader.optional_duration("Permissions.ConnectTimeoutMs"))
    settings.connect_timeout = timeout;
  settings.cancellation_allowed = reader.boolean("Permissions.Cancelling");
  settings.health_checks_allowed = reader.boolean("Permissions.MayProbe");
  if (reader.boolean("Permissions.RetryAfter"))
    settings.max_retry_after = reader.duration("Permissions.MaxRetryAfterMs");
}

// wire: Discovery, Report.How, Extra.TellsStart, Extra.ProgressMs
inline void read_reporting(const SettingsReader& reader, scheduling::Settings& settings) {
  settings.watch_required = reader.text("Discovery") == "subscribe";
  settings.reports = read_report_mode(reader.text("Report.How"));
  settings.reports_job_start = reader.boolean("Extra.TellsStart");
  settings.progress_interval = reader.duration("Extra.ProgressMs");
}

// wire: Invariants.*
inline void read_invariants(const SettingsReader& reader, scheduling::Settings& settings) {
  settings.answer_slack = reader.duration("Invariants.AnswerSlackMs");
  settings.poll_deadline = reader.duration("Invariants.MustAskInMs");
  settings.drain_grace = reader.duration("Invariants.DrainGraceMs");
  settings.slow_start_initial_fraction =
      reader.number("Invariants.ColdFrom", settings.slow_start_initial_fraction);
  settings.slow_start_duration = reader.duration("Invariants.RampTimeMs");
  settings.overload_multiple = reader.number("Invariants.TipMultiple", settings.overload_multiple);
  if (auto window = reader.optional_duration("Invariants.FallMs"))
    settings.overload_window = *window;
  if (auto free = reader.optional_number("Invariants.BudgetFree"))
    settings.retry_budget_free = free;
  if (auto ratio = reader.optional_number("Invariants.ExtraPerRequest"))
    settings.retry_budget_ratio = ratio;
  if (auto window = reader.optional_duration("Invariants.ExtraWindowMs"))
    settings.retry_budget_window = window;
}

// wire: Tenants.*, OverShareWorth
inline void read_tenants(const SettingsReader& reader, scheduling::Settings& settings) {
  int count = std::min(reader.integer("Tenants.count", 0), kMaxListLength);
  for (int i = 0; i < count; ++i) {
    std::string key = "Tenants." + std::to_string(i) + ".QuotaRps";
    settings.tenant_quotas.push_back(reader.number(key, 0));
  }
  settings.over_quota_weight = reader.number("OverShareWorth", 1);
}

// Fills `settings` and returns the load report columns; unknown keys are ignored. Throws
// SettingsError.
inline LoadReportColumns read_settings(const SettingsReader& reader,
                                       scheduling::Settings& settings) {
  settings.zone = reader.integer("Az", 0);
  settings.dispatchers = reader.integer("Balancers", 1);
  settings.index = reader.integer("Index", 0);
  int classes = std::min(reader.integer("Lanes.count", 0), kMaxListLength);
  for (int i = 0; i < classes; ++i)
    settings.classes.push_back(read_class(reader, i));
  settings.tick = reader.duration("TickMs");
  read_permissions(reader, settings);
  read_reporting(reader, settings);
  read_invariants(reader, settings);
  read_tenants(reader, settings);
  settings.cross_zone_penalty = reader.number("Penalties.CrossZone", 0);
  settings.weight_by_work = reader.text("WorthBy") == "work";
  return {.x0_is_free_slots = reader.text("Extra.ReportX0") == "free_slots",
          .x1_is_free_memory = reader.text("Extra.ReportX1") == "free_memory"};
}

inline LoadReportColumns read_settings(std::string_view pairs, scheduling::Settings& settings) {
  return read_settings(SettingsReader(pairs), settings);
}

}  // namespace dispatcher::settings

#include "settings/settings_summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace dispatcher::settings {
namespace {

using scheduling::ClassSettings;
using scheduling::DeduplicationScope;
using scheduling::Duration;
using scheduling::Idempotency;
using scheduling::LoadReportMode;
using scheduling::Settings;

constexpr int kSignificantDigits = 6;
constexpr std::size_t kMinNameWidth = 5;
constexpr int kLabelWidth = 12;

std::string to_text(double value) {
  std::ostringstream out;
  out << std::setprecision(kSignificantDigits) << value;
  return out.str();
}

std::string to_text(std::size_t value) {
  return to_text(static_cast<double>(value));
}

std::string to_text(int value) {
  return to_text(static_cast<double>(value));
}

std::string to_text(Duration duration) {
  return to_text(duration.count()) + " ms";
}

// The time after its first send within which a keyed request may be retried, as the scheduler
// computes it: the deduplication window minus two connect timeouts and two clock ticks. Without a
// positive result it may not be retried.
Duration retry_window(const Settings& settings, const ClassSettings& job_class) {
  if (!settings.connect_timeout || !(settings.connect_timeout->count() >= 0))
    return Duration(0);
  return job_class.deduplication_window - 2 * *settings.connect_timeout - 2 * settings.tick;
}

const char* to_text(DeduplicationScope scope) {
  switch (scope) {
    case DeduplicationScope::All:
      return "on any worker";
    case DeduplicationScope::Zone:
      return "in its zone";
    case DeduplicationScope::Cell:
      return "in its cell";
  }
  return "";
}

std::string describe_retries(const Settings& settings, const ClassSettings& job_class) {
  if (settings.max_attempts < 2)
    return "never: only one attempt is permitted";
  if (job_class.idempotency == Idempotency::Idempotent)
    return "on any worker";
  if (job_class.idempotency == Idempotency::NonIdempotent)
    return "never once it may have run";
  Duration window = retry_window(settings, job_class);
  if (window <= Duration(0))
    return "never once it may have run: no time is left in the deduplication window";
  return std::string(to_text(job_class.deduplication_scope)) + ", " + to_text(window) +
         " at most after its first send";
}

// wire: values of Lanes.N.Effect
const char* to_text(Idempotency idempotency) {
  switch (idempotency) {
    case Idempotency::Idempotent:
      return "safe";
    case Idempotency::KeyedIdempotent:
      return "keyed";
    case Idempotency::NonIdempotent:
      return "unsafe";
  }
  return "";
}

struct ClassRow {
  std::string name;
  std::string idempotency;
  std::string objective;
  std::string deadline;
  std::string weight;
  std::string retries;
};

std::string write_row(const ClassRow& row, std::size_t name_width) {
  std::ostringstream out;
  out << std::left << std::setw(static_cast<int>(name_width) + 2) << row.name;
  out << std::setw(8) << row.idempotency;
  out << std::setw(26) << row.objective;
  out << std::setw(12) << row.deadline;
  out << std::setw(14) << row.weight;
  out << row.retries << '\n';
  return out.str();
}

ClassRow class_row(const Settings& settings, const ClassSettings& job_class) {
  std::string objective = to_text(job_class.latency_objective);
  if (job_class.objective_work_factor > 0)
    objective += " + " + to_text(job_class.objective_work_factor) + " x its work";
  double late_weight = job_class.priority_weight * job_class.late_weight;
  return {.name = job_class.name,
          .idempotency = to_text(job_class.idempotency),
          .objective = objective,
          .deadline = to_text(job_class.deadline),
          .weight = to_text(job_class.priority_weight) + " (" + to_text(late_weight) + ")",
          .retries = describe_retries(settings, job_class)};
}

std::string describe_classes(const Settings& settings) {
  std::size_t name_width = kMinNameWidth;
  for (const ClassSettings& job_class : settings.classes)
    name_width = std::max(name_width, job_class.name.size());
  ClassRow titles{.name = "class",
                  .idempotency = "effect",
                  .objective = "latency objective",
                  .deadline = "deadline",
                  .weight = "weight (late)",
                  .retries = "retries"};
  std::string table = write_row(titles, name_width);
  for (const ClassSettings& job_class : settings.classes)
    table += write_row(class_row(settings, job_class), name_width);
  return table;
}

std::string describe_attempts(const Settings& settings) {
  std::string text = to_text(settings.max_attempts) + " at most, ";
  text += settings.hedging_allowed ? "hedged requests permitted" : "one at a time";
  if (settings.retry_budget_window) {
    text += "; retry budget: " + to_text(settings.retry_budget_free.value_or(0)) + " plus " +
            to_text(settings.retry_budget_ratio.value_or(0)) + " per request in " +
            to_text(*settings.retry_budget_window);
  }
  return text;
}

const char* describe(LoadReportMode mode) {
  switch (mode) {
    case LoadReportMode::Inline:
      return "with each response and probe";
    case LoadReportMode::OnHealthCheck:
      return "with probes only";
    case LoadReportMode::Off:
      return "none";
  }
  return "";
}

std::string describe_peers(const Settings& settings, const ProcessSettings& process) {
  if (!process.peers_allowed)
    return "dispatchers may not exchange messages";
  return "dispatchers may exchange messages: " + to_text(process.peers) +
         " addresses, this one has index " + to_text(settings.index) + " of " +
         to_text(settings.dispatchers);
}

std::string describe_retry_after(const Settings& settings) {
  if (!(settings.max_retry_after > Duration(0)))
    return "not sent to clients";
  return "sent to clients, at most " + to_text(settings.max_retry_after);
}

std::string describe_endpoint_list(const Settings& settings) {
  if (!settings.watch_required)
    return "sent by discovery without a watch";
  return "must be watched; polled every " + to_text(settings.poll_deadline) + " at the latest";
}

std::string describe_slow_start(const Settings& settings) {
  return "from " + to_text(settings.slow_start_initial_fraction) +
         " of the capacity, all of it after " + to_text(settings.slow_start_duration) +
         "; fails at " + to_text(settings.overload_multiple) + " times its capacity for " +
         to_text(settings.overload_window);
}

std::string describe_limits(const ProcessSettings& process) {
  std::string open_requests = process.max_open_requests > 0
                                  ? to_text(process.max_open_requests) + " open requests"
                                  : "as many open requests as descriptors allow";
  return to_text(process.sockets) + " descriptors, " + to_text(process.memory_mb) + " MB, " +
         open_requests;
}

class Contradictions {
 public:
  void add_if(bool found, const std::string& text) {
    if (found)
      texts_.push_back(text);
  }
  std::vector<std::string> texts() && { return std::move(texts_); }

 private:
  std::vector<std::string> texts_;
};

void check_class(const Settings& settings, const ClassSettings& job_class, Contradictions& found) {
  const std::string& name = job_class.name;
  std::string connect_timeout =
      settings.connect_timeout ? to_text(*settings.connect_timeout) : "any time";
  found.add_if(job_class.idempotency == Idempotency::KeyedIdempotent && settings.max_attempts > 1 &&
                   retry_window(settings, job_class) <= Duration(0),
               name + ": the deduplication window of " + to_text(job_class.deduplication_window) +
                   " is too short for a retry, as a connect may take " + connect_timeout);
  found.add_if(job_class.latency_objective > job_class.deadline,
               name + ": the latency objective of " + to_text(job_class.latency_objective) +
                   " is longer than the deadline of " + to_text(job_class.deadline));
  found.add_if(job_class.late_weight > 1,
               name + ": a late response has a higher weight than one in time");
  found.add_if(job_class.priority_weight <= 0,
               name + ": its weight is not positive, so it is served after all other classes");
}

void check_attempts(const Settings& settings, Contradictions& found) {
  found.add_if(settings.hedging_allowed && settings.max_attempts < 2,
               "hedged requests are permitted, but a second attempt is not");
  found.add_if(settings.hedging_allowed && !settings.cancellation_allowed,
               "hedged requests are permitted, but the attempts left over cannot be cancelled");
}

void check_workers(const Settings& settings, Contradictions& found) {
  found.add_if(settings.reports == LoadReportMode::OnHealthCheck && !settings.health_checks_allowed,
               "load reports come with probes only, but probes may not be sent");
  found.add_if(settings.overload_multiple < 1,
               "a worker that is warming up fails at less than its capacity: none will get a job");
  found.add_if(
      settings.slow_start_initial_fraction < 1 && settings.slow_start_duration <= Duration(0),
      "workers start at a fraction of their capacity, but the slow start has no duration: they "
      "count as warm at once");
  found.add_if(settings.watch_required && settings.poll_deadline <= Duration(0),
               "the endpoint list must be watched, but no poll deadline is given");
}

void check_peers(const Settings& settings, const ProcessSettings& process, Contradictions& found) {
  found.add_if(process.peers_allowed && (!process.listens_for_peers || process.peers == 0),
               "dispatchers may exchange messages, but no addresses are given: each serves without "
               "knowledge of the others");
  found.add_if(process.peers_allowed && process.peers > 0 &&
                   process.peers != static_cast<std::size_t>(settings.dispatchers),
               "there are " + to_text(settings.dispatchers) + " dispatchers, but " +
                   to_text(process.peers) + " addresses of them");
  found.add_if(
      !process.peers_allowed && settings.dispatchers > 1 && settings.reports == LoadReportMode::Off,
      "several dispatchers without messages and without load reports: each knows only its own "
      "jobs");
}

void check_zones(const Settings& settings, Contradictions& found) {
  bool any_weight = std::ranges::any_of(settings.classes, [](const ClassSettings& job_class) {
    return std::abs(job_class.priority_weight) > 0;
  });
  found.add_if(any_weight && settings.cross_zone_penalty >= 1,
               "crossing zones costs the whole weight of a request: none will cross");
}

}  // namespace

std::string describe(const Settings& settings, const ProcessSettings& process) {
  std::ostringstream out;
  auto line = [&](const char* label, const std::string& text) {
    out << std::left << std::setw(kLabelWidth) << label << text << '\n';
  };
  out << describe_classes(settings);
  line("attempts", describe_attempts(settings));
  line("cancels", settings.cancellation_allowed
                      ? "may be sent; the worker decides whether to stop the job"
                      : "may not be sent");
  line("reports", describe(settings.reports));
  line("probes", settings.health_checks_allowed ? "may be sent" : "may not be sent");
  line("job starts", settings.reports_job_start ? "reported by workers" : "not reported");
  line("peers", describe_peers(settings, process));
  line("retry-after", describe_retry_after(settings));
  line("endpoints", describe_endpoint_list(settings));
  line("drains",
       "no new attempts from " + to_text(settings.drain_grace) + " after the announcement");
  line("slow start", describe_slow_start(settings));
  line("limits", describe_limits(process));
  return out.str();
}

std::vector<std::string> find_contradictions(const Settings& settings,
                                             const ProcessSettings& process) {
  Contradictions found;
  for (const ClassSettings& job_class : settings.classes)
    check_class(settings, job_class, found);
  check_attempts(settings, found);
  check_workers(settings, found);
  check_peers(settings, process, found);
  check_zones(settings, found);
  return std::move(found).texts();
}

}  // namespace dispatcher::settings

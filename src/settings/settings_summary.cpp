#include "settings/settings_summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace dispatcher::settings {
namespace {

using scheduling::ClassSettings;
using scheduling::DeduplicationScope;
using scheduling::Duration;
using scheduling::Idempotency;
using scheduling::LoadReportMode;
using scheduling::Settings;

std::string number(double value) {
  std::ostringstream out;
  out << std::setprecision(6) << value;
  return out.str();
}
std::string time(Duration d) {
  return number(d.count()) + " ms";
}

// How long after its first send a keyed job may go out again: the span less what a connection and
// two clock readings may take, as the scheduler reckons it. Not over 0: never.
Duration repeat_span(const Settings& s, const ClassSettings& c) {
  if (!s.connect_timeout || !(s.connect_timeout->count() >= 0))
    return Duration(0);
  return c.deduplication_window - 2 * *s.connect_timeout - 2 * s.tick;
}

std::string repeats(const Settings& s, const ClassSettings& c) {
  if (s.max_attempts < 2)
    return "never: one attempt is all";
  if (c.idempotency == Idempotency::Idempotent)
    return "anywhere";
  if (c.idempotency == Idempotency::NonIdempotent)
    return "never once it may have run";
  if (repeat_span(s, c) <= Duration(0))
    return "never once it may have run: no span is left";
  std::string where = c.deduplication_scope == DeduplicationScope::All    ? "anywhere"
                      : c.deduplication_scope == DeduplicationScope::Zone ? "in its zone"
                                                                          : "in its cell";
  return where + ", " + time(repeat_span(s, c)) + " from its first send";
}

const char* word(Idempotency e) {
  return e == Idempotency::Idempotent        ? "safe"
         : e == Idempotency::KeyedIdempotent ? "keyed"
                                             : "unsafe";
}

}  // namespace

std::string describe(const Settings& s, const Place& place) {
  std::ostringstream out;
  std::size_t widest = 5;
  for (const ClassSettings& c : s.classes)
    widest = std::max(widest, c.name.size());
  auto row = [&](const std::string& name, const std::string& idempotency, const std::string& wanted,
                 const std::string& timeout, const std::string& priority_weight,
                 const std::string& again) {
    out << std::left << std::setw(static_cast<int>(widest) + 2) << name << std::setw(8)
        << idempotency << std::setw(26) << wanted << std::setw(12) << timeout << std::setw(14)
        << priority_weight << again << '\n';
  };
  row("class", "effect", "wanted within", "given up", "worth (late)", "may be repeated");
  for (const ClassSettings& c : s.classes) {
    std::string wanted =
        time(c.latency_objective) +
        (c.objective_work_factor > 0 ? " + " + number(c.objective_work_factor) + " x its run" : "");
    row(c.name, word(c.idempotency), wanted, time(c.deadline),
        number(c.priority_weight) + " (" + number(c.priority_weight * c.late_weight) + ")",
        repeats(s, c));
  }
  auto line = [&](const char* what, const std::string& text) {
    out << std::left << std::setw(12) << what << text << '\n';
  };
  line("attempts",
       number(s.max_attempts) + " at most, " +
           (s.hedging_allowed ? "a second copy while one is out" : "one at a time") +
           (s.retry_budget_window ? "; a budget of " + number(s.retry_budget_free.value_or(0)) +
                                        " and " + number(s.retry_budget_ratio.value_or(0)) +
                                        " an order in " + time(*s.retry_budget_window)
                                  : ""));
  line("cancels", s.cancellation_allowed ? "may be sent; whether work stops is the worker's matter"
                                         : "may not be sent");
  line("reports", s.reports == LoadReportMode::Inline    ? "with each answer and probe"
                  : s.reports == LoadReportMode::OnProbe ? "with probes alone"
                                                         : "none");
  line("probes", s.health_checks_allowed ? "may be sent" : "may not be sent");
  line("starts", s.reports_job_start ? "are told" : "are not told");
  line("peers", !place.peers_allowed
                    ? "dispatchers may not talk"
                    : "dispatchers may talk: " + number(static_cast<double>(place.peers)) +
                          " addresses, this one is number " + number(s.index) + " of " +
                          number(s.dispatchers));
  line("advice", s.max_retry_after > Duration(0)
                     ? "clients are told to come back after up to " + time(s.max_retry_after)
                     : "clients are not told when to come back");
  line("list", s.watch_required
                   ? "must be asked for, each " + time(s.poll_deadline) + " at the latest"
                   : "comes by itself");
  line("drains", "nothing new " + time(s.drain_grace) + " after being told");
  line("cold", "from " + number(s.slow_start_initial_fraction) + " of the capacity, warm after " +
                   time(s.slow_start_duration) + "; falls at " + number(s.overload_multiple) +
                   " times it for " + time(s.overload_window));
  line("limits",
       number(static_cast<double>(place.sockets)) + " descriptors, " +
           number(static_cast<double>(place.memory_mb)) + " MB, " +
           (place.most_open ? number(static_cast<double>(place.most_open)) + " open orders"
                            : "as many open orders as descriptors allow"));
  return out.str();
}

std::vector<std::string> contradictions(const Settings& s, const Place& place) {
  std::vector<std::string> out;
  auto warn = [&](bool is, const std::string& text) {
    if (is)
      out.push_back(text);
  };
  for (const ClassSettings& c : s.classes) {
    warn(c.idempotency == Idempotency::KeyedIdempotent && s.max_attempts > 1 &&
             repeat_span(s, c) <= Duration(0),
         c.name + ": the key is remembered for " + time(c.deduplication_window) +
             ", too short for a repeat after a connection that may take " +
             (s.connect_timeout ? time(*s.connect_timeout) : "any time"));
    warn(c.latency_objective > c.deadline, c.name + ": wanted within " + time(c.latency_objective) +
                                               ", but given up after " + time(c.deadline));
    warn(c.late_weight > 1, c.name + ": a late answer is worth more than one in time");
    warn(c.priority_weight <= 0, c.name + ": worth nothing, so that it goes after all others");
  }
  warn(s.hedging_allowed && s.max_attempts < 2,
       "second copies are permitted, but one attempt is all");
  warn(s.hedging_allowed && !s.cancellation_allowed,
       "second copies are permitted, but what they leave over cannot be cancelled");
  warn(s.reports == LoadReportMode::OnProbe && !s.health_checks_allowed,
       "load reports come with probes alone, and probes may not be sent");
  warn(s.overload_multiple < 1,
       "a cold worker falls under less than it can do: none will get a job");
  warn(s.slow_start_initial_fraction < 1 && s.slow_start_duration <= Duration(0),
       "workers start at a part of their capacity, but no time is given for the rest: they count "
       "as warm at "
       "once");
  warn(s.watch_required && s.poll_deadline <= Duration(0),
       "the list must be asked for, but no time is given");
  warn(place.peers_allowed && (!place.listens || place.peers == 0),
       "dispatchers may talk, but no addresses are given: each serves without news of the others");
  warn(place.peers_allowed && place.peers > 0 &&
           place.peers != static_cast<std::size_t>(s.dispatchers),
       "there are " + number(s.dispatchers) + " dispatchers, but " +
           number(static_cast<double>(place.peers)) + " addresses of them");
  warn(!place.peers_allowed && s.dispatchers > 1 && s.reports == LoadReportMode::Off,
       "several dispatchers without messages and without load reports: each sees its own jobs "
       "alone");
  double most = 0;
  for (const ClassSettings& c : s.classes)
    most = std::max(most, std::abs(c.priority_weight));
  warn(most > 0 && s.cross_zone_price >= 1,
       "a crossing between zones costs all of an order's worth: none will cross");
  return out;
}

}  // namespace dispatcher::settings

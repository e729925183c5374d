#include "settings/settings_summary.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace dispatcher::settings {
namespace {

using scheduling::ClassSettings;
using scheduling::Duration;
using scheduling::Effect;
using scheduling::Group;
using scheduling::ReportMode;
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
// two clock readings may take, as the module reckons it. Not over 0: never.
Duration repeat_span(const Settings& s, const ClassSettings& c) {
  if (!s.connect_timeout || !(s.connect_timeout->count() >= 0))
    return Duration(0);
  return c.memory_span - 2 * *s.connect_timeout - 2 * s.tick;
}

std::string repeats(const Settings& s, const ClassSettings& c) {
  if (s.max_attempts < 2)
    return "never: one attempt is all";
  if (c.effect == Effect::Safe)
    return "anywhere";
  if (c.effect == Effect::Unsafe)
    return "never once it may have run";
  if (repeat_span(s, c) <= Duration(0))
    return "never once it may have run: no span is left";
  std::string where = c.group == Group::All    ? "anywhere"
                      : c.group == Group::Zone ? "in its zone"
                                               : "in its cell";
  return where + ", " + time(repeat_span(s, c)) + " from its first send";
}

const char* word(Effect e) {
  return e == Effect::Safe ? "safe" : e == Effect::Keyed ? "keyed" : "unsafe";
}

}  // namespace

std::string describe(const Settings& s, const Place& place) {
  std::ostringstream out;
  std::size_t widest = 5;
  for (const ClassSettings& c : s.classes)
    widest = std::max(widest, c.name.size());
  auto row = [&](const std::string& name, const std::string& effect, const std::string& wanted,
                 const std::string& patience, const std::string& worth, const std::string& again) {
    out << std::left << std::setw(static_cast<int>(widest) + 2) << name << std::setw(8) << effect
        << std::setw(26) << wanted << std::setw(12) << patience << std::setw(14) << worth << again
        << '\n';
  };
  row("class", "effect", "wanted within", "given up", "worth (late)", "may be repeated");
  for (const ClassSettings& c : s.classes) {
    std::string wanted =
        time(c.aim) + (c.stretch > 0 ? " + " + number(c.stretch) + " x its run" : "");
    row(c.name, word(c.effect), wanted, time(c.deadline),
        number(c.worth) + " (" + number(c.worth * c.late_worth) + ")", repeats(s, c));
  }
  auto line = [&](const char* what, const std::string& text) {
    out << std::left << std::setw(12) << what << text << '\n';
  };
  line("attempts", number(s.max_attempts) + " at most, " +
                       (s.parallel_tries ? "a second copy while one is out" : "one at a time") +
                       (s.extra_window ? "; a budget of " + number(s.budget_free.value_or(0)) +
                                             " and " + number(s.extra_per_request.value_or(0)) +
                                             " an order in " + time(*s.extra_window)
                                       : ""));
  line("cancels",
       s.cancelling ? "may be sent; whether work stops is the worker's matter" : "may not be sent");
  line("reports", s.reports == ReportMode::Inline    ? "with each answer and probe"
                  : s.reports == ReportMode::OnProbe ? "with probes alone"
                                                     : "none");
  line("probes", s.may_probe ? "may be sent" : "may not be sent");
  line("starts", s.tells_start ? "are told" : "are not told");
  line("peers", !place.peers_allowed
                    ? "dispatchers may not talk"
                    : "dispatchers may talk: " + number(static_cast<double>(place.peers)) +
                          " addresses, this one is number " + number(s.index) + " of " +
                          number(s.balancers));
  line("advice", s.max_retry_after > Duration(0)
                     ? "clients are told to come back after up to " + time(s.max_retry_after)
                     : "clients are not told when to come back");
  line("list", s.must_subscribe
                   ? "must be asked for, each " + time(s.must_ask_in) + " at the latest"
                   : "comes by itself");
  line("drains", "nothing new " + time(s.drain_grace) + " after being told");
  line("cold", "from " + number(s.cold_from) + " of the capacity, warm after " + time(s.ramp_time) +
                   "; falls at " + number(s.tip_multiple) + " times it for " + time(s.fall_span));
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
    warn(c.effect == Effect::Keyed && s.max_attempts > 1 && repeat_span(s, c) <= Duration(0),
         c.name + ": the key is remembered for " + time(c.memory_span) +
             ", too short for a repeat after a connection that may take " +
             (s.connect_timeout ? time(*s.connect_timeout) : "any time"));
    warn(c.aim > c.deadline,
         c.name + ": wanted within " + time(c.aim) + ", but given up after " + time(c.deadline));
    warn(c.late_worth > 1, c.name + ": a late answer is worth more than one in time");
    warn(c.worth <= 0, c.name + ": worth nothing, so that it goes after all others");
  }
  warn(s.parallel_tries && s.max_attempts < 2,
       "second copies are permitted, but one attempt is all");
  warn(s.parallel_tries && !s.cancelling,
       "second copies are permitted, but what they leave over cannot be cancelled");
  warn(s.reports == ReportMode::OnProbe && !s.may_probe,
       "load reports come with probes alone, and probes may not be sent");
  warn(s.tip_multiple < 1, "a cold worker falls under less than it can do: none will get a job");
  warn(s.cold_from < 1 && s.ramp_time <= Duration(0),
       "workers start at a part of their capacity, but no time is given for the rest: they count "
       "as warm at "
       "once");
  warn(s.must_subscribe && s.must_ask_in <= Duration(0),
       "the list must be asked for, but no time is given");
  warn(place.peers_allowed && (!place.listens || place.peers == 0),
       "dispatchers may talk, but no addresses are given: each serves without news of the others");
  warn(place.peers_allowed && place.peers > 0 &&
           place.peers != static_cast<std::size_t>(s.balancers),
       "there are " + number(s.balancers) + " dispatchers, but " +
           number(static_cast<double>(place.peers)) + " addresses of them");
  warn(!place.peers_allowed && s.balancers > 1 && s.reports == ReportMode::Off,
       "several dispatchers without messages and without load reports: each sees its own jobs "
       "alone");
  double most = 0;
  for (const ClassSettings& c : s.classes)
    most = std::max(most, std::abs(c.worth));
  warn(most > 0 && s.price_cross_zone >= 1,
       "a crossing between zones costs all of an order's worth: none will cross");
  return out;
}

}  // namespace dispatcher::settings

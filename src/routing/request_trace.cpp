#include "routing/request_trace.h"

#include <array>
#include <cstdio>

namespace dispatcher::routing {

namespace {

// Names in the trace, in the order of scheduling::Outcome.
constexpr std::array<const char*, 8> kOutcomeWords{
    "success",        "failure",          "rejected",  "timed_out",
    "connect_failed", "connection_reset", "cancelled", "not_sent"};

// Names in the trace, in the order of SubmitProgress.
constexpr std::array<const char*, 3> kProgressWords{"not_sent", "unanswered", "accepted"};

std::string with_outcome(const std::string& worker, scheduling::Outcome outcome) {
  return worker + " " + kOutcomeWords.at(static_cast<std::size_t>(outcome));
}

}  // namespace

void RequestTrace::cancelling(scheduling::RequestId id, int attempt, const std::string& worker,
                              SubmitProgress progress) const {
  if (sink_) {
    write("cancelling", id, attempt,
          worker + " " + kProgressWords.at(static_cast<std::size_t>(progress)));
  }
}

void RequestTrace::ended(scheduling::RequestId id, int attempt, const std::string& worker,
                         scheduling::Outcome outcome) const {
  if (sink_)
    write("ended", id, attempt, with_outcome(worker, outcome));
}

void RequestTrace::job_event(scheduling::RequestId id, int attempt, const std::string& worker,
                             std::optional<scheduling::Outcome> end) const {
  if (sink_)
    write("job_event", id, attempt, end ? with_outcome(worker, *end) : worker + " goes_on");
}

void RequestTrace::health_checked(const std::string& worker, scheduling::Outcome outcome) const {
  if (sink_)
    write("health_check", 0, kNoAttempt, with_outcome(worker, outcome));
}

void RequestTrace::write(std::string_view event, scheduling::RequestId id, int attempt,
                         std::string_view text) const {
  if (!sink_)
    return;
  std::array<char, 18> id_text{};
  std::snprintf(id_text.data(), id_text.size(), "%016llx", static_cast<unsigned long long>(id));
  std::string line(event);
  line.append(" ").append(id_text.data()).append(" ").append(std::to_string(attempt));
  sink_(line.append(" ").append(text));
}

}  // namespace dispatcher::routing

// The trace of requests, one line for each event: "EVENT ID ATTEMPT TEXT". The words are read by
// testbed/fleet_table.py. It is the only log that grows with traffic.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "dispatcher/scheduling/scheduler.h"

namespace dispatcher::routing {

// How far the submit of an attempt has come.
enum class SubmitProgress { NotSent, Unanswered, Accepted };

class RequestTrace {
 public:
  using Sink = std::function<void(const std::string&)>;
  static constexpr int kNoAttempt = -1;

  // Null: off.
  void write_to(Sink sink) { sink_ = std::move(sink); }

  void accepted(scheduling::RequestId id) const { write("accepted", id, kNoAttempt, ""); }
  // `how`: served, rejected, failed, disconnected (by the client) or released (to another process).
  void answered(scheduling::RequestId id, std::string_view how) const {
    write("answered", id, kNoAttempt, how);
  }
  void sent(scheduling::RequestId id, int attempt, const std::string& worker) const {
    write("sent", id, attempt, worker);
  }
  void started(scheduling::RequestId id, int attempt, const std::string& worker) const {
    write("started", id, attempt, worker);
  }
  // The attempt is about to be cancelled; what that takes depends on `progress`.
  void cancelling(scheduling::RequestId id, int attempt, const std::string& worker,
                  SubmitProgress progress) const;
  void ended(scheduling::RequestId id, int attempt, const std::string& worker,
             scheduling::Outcome outcome) const;
  // A worker's job event that ends a job or names no open attempt (kNoAttempt); `end`: as it
  // reports it, nothing for a start or progress.
  void job_event(scheduling::RequestId id, int attempt, const std::string& worker,
                 std::optional<scheduling::Outcome> end) const;
  void health_checked(const std::string& worker, scheduling::Outcome outcome) const;

 private:
  void write(std::string_view event, scheduling::RequestId id, int attempt,
             std::string_view text) const;

  Sink sink_;
};

}  // namespace dispatcher::routing

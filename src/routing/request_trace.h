// The request trace: one line per event, "EVENT ID ATTEMPT TEXT", parsed by testbed/fleet_table.py.
// It is the only log whose volume grows with traffic.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "dispatcher/scheduling/scheduler.h"

namespace dispatcher::routing {

// How far submitting an attempt has progressed.
enum class SubmitProgress { NotSent, Unanswered, Accepted };

class RequestTrace {
 public:
  using Sink = std::function<void(const std::string&)>;
  static constexpr int kNoAttempt = -1;

  // A null sink turns the trace off.
  void set_sink(Sink sink) { sink_ = std::move(sink); }

  void accepted(scheduling::RequestId id) const { write("accepted", id, kNoAttempt, ""); }
  // Taken over from another process of a hot restart.
  void adopted(scheduling::RequestId id) const { write("adopted", id, kNoAttempt, ""); }
  // `how`: served, rejected, failed, disconnected (by the client) or released (to the other process
  // of a hot restart).
  void answered(scheduling::RequestId id, std::string_view how) const {
    write("answered", id, kNoAttempt, how);
  }
  void sent(scheduling::RequestId id, int attempt, const std::string& worker) const {
    write("sent", id, attempt, worker);
  }
  void started(scheduling::RequestId id, int attempt, const std::string& worker) const {
    write("started", id, attempt, worker);
  }
  // The attempt is about to be cancelled; `progress` determines how.
  void cancelling(scheduling::RequestId id, int attempt, const std::string& worker,
                  SubmitProgress progress) const;
  void ended(scheduling::RequestId id, int attempt, const std::string& worker,
             scheduling::Outcome outcome) const;
  // A worker's job event that ends a job, or that belongs to no open attempt (kNoAttempt) and is
  // dropped. `end`: the reported outcome; nullopt if the job started or made progress.
  void job_event(scheduling::RequestId id, int attempt, const std::string& worker,
                 std::optional<scheduling::Outcome> end) const;
  void health_checked(const std::string& worker, scheduling::Outcome outcome) const;

 private:
  void write(std::string_view event, scheduling::RequestId id, int attempt,
             std::string_view text) const;

  Sink sink_;
};

}  // namespace dispatcher::routing

// The interface of the scheduling library. It does no I/O: the caller feeds events and carries out
// the actions that come back at once. The time given with an event is the one at which it is fed,
// also after a stall, when the event itself is older. Not thread-safe.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "dispatcher/scheduling/cost_model.h"
#include "dispatcher/scheduling/time.h"
#include "dispatcher/scheduling/types.h"

namespace dispatcher::scheduling {

// Decides for one dispatcher which worker runs which request and when. Throws
// std::invalid_argument on invalid settings, and nothing else.
class Scheduler {
 public:
  Scheduler(const Settings& settings, Time now, Actions& out);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Settings for the requests to come; throws as the constructor does, and changes nothing then.
  // Indices of classes and tenants keep their meaning: new ones are appended, none is reused.
  void on_settings(const Settings& settings);

  // Each event appends what is to be done to `out`.
  void on_endpoint_update(Time now, EndpointUpdateKind kind,
                          const std::vector<WorkerEntry>& entries, Actions& out);
  void on_request(Time now, const Request& request, Actions& out);
  void on_job_event(Time now, RequestId id, int attempt, std::string_view worker, JobEventKind kind,
                    Actions& out);
  // The worker has reported an end that is of this open attempt or of an earlier one there.
  void on_ambiguous_end(Time now, RequestId id, int attempt, Actions& out);
  void on_attempt_end(Time now, const AttemptEnd& end, Actions& out);
  void on_health_check_result(Time now, std::string_view worker, Outcome outcome,
                              const LoadReport& report, Actions& out);
  // Requests that the other dispatchers say they have at a worker now: gossip, used only to
  // estimate its load.
  void on_load_gossip(Time now, std::string_view worker, double jobs, Actions& out);
  // The reply of an attempt that ended with Success broke off at the worker before its end.
  void on_reply_broken(Time now, std::string_view worker, std::size_t job_class, Actions& out);
  void on_client_disconnected(Time now, RequestId id, Actions& out);
  void on_timer(Time now, Actions& out);

  // For tests and status pages.
  double cutoff_ms() const;  // less work than this is short
  bool in_short_pool(std::string_view worker) const;
  std::size_t open_requests() const;
  // The worker is known and gets no ordinary request now: it is draining or ejected.
  bool avoids(std::string_view worker) const;

 private:
  class Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace dispatcher::scheduling

// The interface of the scheduling library. It does no I/O: the caller passes in events and performs
// the returned actions immediately. The time passed with an event is the current time, even if a
// stall delayed the event. Not thread-safe.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "dispatcher/scheduling/cost_model.h"
#include "dispatcher/scheduling/time.h"
#include "dispatcher/scheduling/types.h"

namespace dispatcher::scheduling {

// Decides for one dispatcher which worker runs which request and when. Throws only
// std::invalid_argument, on invalid settings.
class Scheduler {
 public:
  Scheduler(const Settings& settings, Time now, Actions& out);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Replaces the settings for future requests. Throws like the constructor and then changes
  // nothing. Indices of classes and tenants keep their meaning: new ones are appended, none is
  // reused.
  void on_settings(const Settings& settings);

  // Each event appends the resulting actions to `out`.
  void on_endpoint_update(Time now, EndpointUpdateKind kind,
                          const std::vector<WorkerEntry>& entries, Actions& out);
  void on_request(Time now, const Request& request, Actions& out);
  void on_job_event(Time now, RequestId id, int attempt, std::string_view worker, JobEventKind kind,
                    Actions& out);
  // The worker has reported the end of either this open attempt or an earlier one of the same
  // request there.
  void on_ambiguous_end(Time now, RequestId id, int attempt, Actions& out);
  void on_attempt_end(Time now, const AttemptEnd& end, Actions& out);
  void on_health_check_result(Time now, std::string_view worker, Outcome outcome,
                              const LoadReport& report, Actions& out);
  // The number of requests that other dispatchers currently have at the worker, from load gossip.
  // Used only to estimate its load.
  void on_load_gossip(Time now, std::string_view worker, double jobs, Actions& out);
  // The reply of an attempt that ended with Success was truncated by the worker.
  void on_reply_broken(Time now, std::string_view worker, std::size_t job_class, Actions& out);
  void on_client_disconnected(Time now, RequestId id, Actions& out);
  void on_timer(Time now, Actions& out);

  // For tests and status pages.
  double cutoff_ms() const;  // requests with less work than this are short
  bool in_short_pool(std::string_view worker) const;
  std::size_t open_requests() const;
  // Whether the worker is known but gets no regular requests now, since it is draining or ejected.
  bool avoids(std::string_view worker) const;

 private:
  class Parts;
  std::unique_ptr<Parts> parts_;
};

}  // namespace dispatcher::scheduling

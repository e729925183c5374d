// The scheduler's state of one open request.
#pragma once

#include <algorithm>
#include <iterator>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatcher/scheduling/types.h"
#include "scheduling/worker.h"

namespace dispatcher::scheduling {

// One send of a request to a worker.
struct Attempt {
  Worker* worker = nullptr;
  Time sent_at;
  // Start of the deduplication window: the earliest send among this attempt and the earlier ones
  // that may have run when this one was sent.
  Time window_start;
  int zone = 0;  // zone and cell of the worker, as listed when the attempt was sent
  int cell = 0;
  bool open = true;
  bool may_have_run = true;
  bool started = false;
  std::optional<Outcome> outcome{};  // set once the attempt has ended
  bool reported_by_worker = false;   // the worker itself reported the outcome; see AttemptEnd
  // The failure counts against the worker only if another worker serves the request. Until then its
  // only effect is that the request is not sent to this worker again.
  bool failure_deferred = false;

  // Whether the worker may still run it: a timeout or a cancellation may not have reached the
  // worker. A connection reset ends the attempt by the protocol.
  bool may_still_run() const {
    return !outcome || (!reported_by_worker &&
                        (*outcome == Outcome::TimedOut || *outcome == Outcome::Cancelled));
  }
  // Whether a connection reset is the only sign that the attempt has ended.
  bool connection_reset() const {
    return outcome == Outcome::ConnectionReset && !reported_by_worker;
  }
  bool failed() const {
    return outcome == Outcome::Failure || outcome == Outcome::ConnectionReset ||
           outcome == Outcome::ConnectFailed;
  }
};

// Orders the pending requests: lower value first, then earlier objective deadline.
using QueuePriority = std::pair<double, Time>;

struct RequestState {
  Request request;
  ClassSettings class_settings;  // as of the arrival of the request
  int max_attempts = 1;          // likewise
  double cost_hint_ms = 0;       // as sent by the client; 0: none
  double pool_draw = 0;          // random, in [0, 1): picks the pool where nothing else does
  double work_ms = 0;            // expected, at standard speed
  // The latency objective; moved to the deadline once missed, if late answers still have a value.
  Time objective_deadline;
  Time deadline;  // the client's timeout minus a margin
  std::vector<Attempt> attempts;
  bool late = false;        // missed its objective: runs only where it delays no other request
  bool over_quota = false;  // likewise, and after all other pending requests
  std::optional<QueuePriority> queue_priority;  // set while the request is pending
  // Set while the request is pending and every worker that could run it is ejected, suspect,
  // ejected for the class or held back by an unconfirmed restart; see OutlierEjection and
  // SlowStart.
  bool all_workers_unavailable = false;
  // Pre-dispatch checks.
  std::vector<Worker*> checked_workers;
  int open_checks = 0;
  int check_rounds = 0;

  // Returns null if there is no such attempt.
  Attempt* find(int attempt) {
    if (attempt < 0 || attempt >= std::ssize(attempts))
      return nullptr;
    return &attempts[static_cast<std::size_t>(attempt)];
  }
  bool connection_reset_at(const Worker& worker) const {
    return std::ranges::any_of(attempts, [&worker](const Attempt& attempt) {
      return attempt.connection_reset() && attempt.worker == &worker;
    });
  }
  bool failure_deferred_at(const Worker& worker) const {
    return std::ranges::any_of(attempts, [&worker](const Attempt& attempt) {
      return attempt.failure_deferred && attempt.worker == &worker;
    });
  }
  double slot_work() const { return work_ms * request.slots; }  // slot-weighted work
  bool any_open() const { return std::ranges::any_of(attempts, &Attempt::open); }
  bool any_may_have_run() const { return std::ranges::any_of(attempts, &Attempt::may_have_run); }
};

// Must not be iterated to make decisions: its order is unspecified.
using RequestTable = std::unordered_map<RequestId, RequestState>;

}  // namespace dispatcher::scheduling

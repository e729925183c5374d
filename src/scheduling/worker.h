// The scheduler's state of one worker.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/scheduling/types.h"

namespace dispatcher::scheduling {

constexpr double kDefaultSlots = 2;  // assumed until a worker's load is observed
constexpr Duration kRecoveryProbeInterval{1000};

// An attempt of this dispatcher that is open at a worker.
struct OutstandingAttempt {
  RequestId id = 0;
  int attempt = 0;
  std::size_t job_class = 0;
  double work_ms = 0;  // at standard speed
  double slots = 0;
  double memory = 0;
  Time sent_at;
  std::optional<Time> started_at;
  Time last_heard;
};

// Ejection of a worker for one class of requests, after it has failed requests of that class.
struct ClassEjection {
  Time until{};
  Time next_trial{};  // if all workers are unavailable, the class may be tried before `until`
  Duration backoff{0};
  int consecutive_successes = 0;       // since the last failure
  Duration backoff_before_success{0};  // restored if the reply of the last success breaks off
};

// Work sent to a worker that is warming up.
struct SentWork {
  Time at;
  double work_ms = 0;
};

// Fields that are read for all workers every few seconds come first, so that a scan touches only
// one or two cache lines per worker.
struct alignas(64) Worker {
  double size = 1;  // listed capacity, without a unit
  double slots = kDefaultSlots;
  double speed = 1;  // work done in a slot per ms; 1: standard speed
  // Samples of the speed, as decaying sums of work and run time.
  double speed_sample_work_ms = 0;
  double speed_sample_time_ms = 0;
  std::optional<Time> warming_up_since;
  int zone = 0;
  bool listed = false;
  bool ready = false;
  bool short_pool = false;
  double external_slots = 0;  // held by requests of other dispatchers, as of external_slots_at
  Time external_slots_at{};
  Time checked_at{};                     // start of the latest health check
  std::optional<double> gossiped_slots;  // held by other dispatchers, according to load gossip
  // Sums over `outstanding`.
  double own_work = 0;  // slot-weighted
  double own_slots = 0;
  double own_memory = 0;
  double started_slots = 0;
  std::vector<OutstandingAttempt> outstanding;
  bool slots_known = false;         // whether the worker has reported its slots
  double min_rejected_slots = 1e9;  // requests with this many slots or more do not fit
  double peak_slots = 0;            // recent maximum of own_slots, reached at peak_at
  Time peak_at{};
  // Health; see OutlierEjection.
  double failure_score = 0;
  Time last_heard{};
  Time failure_score_at{};
  Time recovery_probe_at{};
  Time ejected_at{};
  Duration recovery_probe_backoff = kRecoveryProbeInterval;
  bool health_check_open = false;
  std::vector<RequestId> requests_awaiting_check;
  Time backoff_until{};  // full or failing: nothing is sent before this time
  Duration rejection_backoff{0};
  std::map<std::size_t, ClassEjection> class_ejections;
  // From the endpoint list.
  std::string id;
  std::uint64_t hash = 0;  // of the id
  int kind = 0;
  int cell = 0;
  std::optional<Time> online_since;
  std::list<SentWork> recent_sends;  // in the overload window; filled only while warming up
};

}  // namespace dispatcher::scheduling

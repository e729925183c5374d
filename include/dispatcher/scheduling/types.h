// Settings, events and actions of the scheduling library, all plain data.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/scheduling/time.h"

namespace dispatcher::scheduling {

using RequestId = std::uint64_t;

// Whether a request may be sent again after it may have run: always, within the deduplication scope
// and window of its idempotency key, or never.
enum class Idempotency { Idempotent, KeyedIdempotent, NonIdempotent };

// The workers among which a repeated idempotency key is recognized.
enum class DeduplicationScope { All, Zone, Cell };

// Draining: finishes its open requests and gets no new ones. Removed: no longer listed.
enum class Readiness { Ready, Draining, Removed };

// Cached: a snapshot from an earlier run or from another process. Failed: the watch was interrupted
// or the poll failed. Local: a delta that originates in this dispatcher, such as a cordon, and says
// nothing about the state of the watch.
enum class EndpointUpdateKind { Delta, Snapshot, Cached, Failed, Local };

enum class JobEventKind { Started, Progress };

// How an attempt or a health check ended. Rejected, ConnectFailed and NotSent prove that an attempt
// never ran.
enum class Outcome {
  Success,
  Failure,
  Rejected,
  TimedOut,
  ConnectFailed,
  ConnectionReset,
  Cancelled,
  NotSent
};

// How workers send load reports: not at all, with every response, or with health checks only.
enum class LoadReportMode { Off, Inline, OnHealthCheck };

// Rules for the requests of one class.
struct ClassSettings {
  std::string name;
  Idempotency idempotency = Idempotency::NonIdempotent;
  // For KeyedIdempotent: the workers that recognize a repeated key, and how long they remember it.
  DeduplicationScope deduplication_scope = DeduplicationScope::Cell;
  Duration deduplication_window{0};
  // A request's latency objective is this plus `objective_work_factor` times its expected work.
  Duration latency_objective{0};
  double objective_work_factor = 0;
  Duration deadline{0};  // the longest time that a client waits
  double priority_weight = 1;
  double late_weight = 0;  // fraction of the priority weight kept after the latency objective
  int kind = -1;           // the only machine kind that can run the class; -1: any
};

// Settings of one scheduler.
struct Settings {
  std::uint64_t seed = 0;
  int zone = 0;
  int dispatchers = 1;  // dispatchers that send to the same workers
  int index = 0;        // zero-based index of this dispatcher among them
  std::vector<ClassSettings> classes;
  Duration tick{1};  // resolution of the caller's clock and timers

  int max_attempts = 1;
  bool hedging_allowed = false;
  // If absent, negative or not finite, keyed requests that may have run are not sent again.
  std::optional<Duration> connect_timeout;
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  Duration max_retry_after{0};  // 0: rejections carry no retry-after advice

  bool watch_required = false;  // endpoint changes arrive only after a Watch action
  LoadReportMode reports = LoadReportMode::Off;
  bool reports_job_start = false;
  Duration progress_interval{0};  // 0: no progress events

  Duration answer_slack{0};
  Duration poll_deadline{0};
  Duration drain_grace{0};
  // A newly started worker has this fraction of its capacity, which grows to full capacity over
  // `slow_start_duration`.
  double slow_start_initial_fraction = 0.1;
  Duration slow_start_duration{0};
  // A worker that is warming up fails if it gets this multiple of its current capacity for the
  // duration of the window.
  double overload_multiple = 1;
  Duration overload_window{1000};
  // Retry budget: within any window, retries and hedges are limited to `retry_budget_free` plus
  // `retry_budget_ratio` times the requests received. Set all three, or none for no limit.
  std::optional<double> retry_budget_free;
  std::optional<double> retry_budget_ratio;
  std::optional<Duration> retry_budget_window;
  // Cost of sending a request to another zone, as a fraction of the mean priority weight.
  double cross_zone_penalty = 0;
  // Quota of each tenant in requests per second, summed over all dispatchers. Empty: no quotas.
  // A request over quota keeps the fraction `over_quota_weight` of its priority weight.
  std::vector<double> tenant_quotas;
  double over_quota_weight = 1;
  bool weight_by_work = false;  // a request's priority weight is proportional to its work
};

// Throws std::invalid_argument if settings are inconsistent or out of range.
void validate(const Settings& settings);

// One worker of an endpoint update.
struct WorkerEntry {
  std::string_view worker;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Readiness readiness = Readiness::Ready;
  double size = 1;                   // capacity, comparable across workers
  std::optional<Time> online_since;  // absent: started long ago
};

// A worker's report of its load; absent fields are unknown.
struct LoadReport {
  std::optional<double> inflight;
  std::optional<double> queue;
  std::optional<double> busy;  // fraction of the slots in use
  std::optional<double> free_slots;
  std::optional<double> free_memory;
  std::optional<double> fail_rate;  // errors per second
};

// A client's request as it arrives.
struct Request {
  RequestId id = 0;
  std::size_t job_class = 0;
  Duration timeout{0};                // time left before the client gives up
  std::optional<Duration> cost_hint;  // expected work at standard speed
  double slots = 1;
  double memory = 0;
  std::size_t tenant = 0;
  // The body is forwarded to the worker while the client sends it, so the time since the send says
  // nothing about the worker's speed.
  bool streamed = false;
  Duration transfer{0};  // added to the timeout to allow for the transfer of the body
};

// The end of one attempt.
struct AttemptEnd {
  RequestId id = 0;
  int attempt = 0;
  bool final = false;  // the request has ended with this attempt
  std::string_view worker;
  Outcome outcome = Outcome::NotSent;
  LoadReport report{};
  // The worker itself has reported the end. Otherwise, after a timeout or cancellation the job may
  // still run there, and a connection reset is an end only by the protocol.
  bool reported_by_worker = false;
};

enum class ActionKind { Send, Reject, Fail, Cancel, HealthCheck, Watch, SetTimer, Log };

// An action for the caller to perform, immediately and in the order given.
struct Action {
  ActionKind kind = ActionKind::Log;
  RequestId id = 0;                  // Send, Reject, Fail, Cancel
  int attempt = 0;                   // Cancel
  bool awaits_confirmation = false;  // Cancel: the attempt ends once its worker has confirmed it
  std::string_view worker{};         // Send, HealthCheck; valid until the next event
  Time at{};                         // SetTimer
  Duration retry_after{0};           // Reject: advice to the client; 0: none
  std::string text{};                // Log
};

using Actions = std::vector<Action>;

}  // namespace dispatcher::scheduling

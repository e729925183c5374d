// The interface of the scheduling library: settings, events, actions and the class Scheduler.
// Sans-I/O: the caller feeds events and carries out the actions that come back at once. The time
// given with an event is the one at which it is fed, also after a stall, when the event itself is
// older.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::scheduling {

using Duration = std::chrono::duration<double, std::milli>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;
using RequestId = std::uint64_t;

enum class Idempotency { Idempotent, KeyedIdempotent, NonIdempotent };
enum class DeduplicationScope { All, Zone, Cell };
enum class Readiness { Ready, Draining, Removed };
enum class EndpointUpdateKind { Delta, Snapshot, Cached, Failed };
enum class JobEventKind { Started, Progress };
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
enum class LoadReportMode { Off, Inline, OnProbe };

struct ClassSettings {
  std::string name;
  Idempotency idempotency = Idempotency::NonIdempotent;
  DeduplicationScope deduplication_scope =
      DeduplicationScope::Cell;      // keyed: the workers that drop a repeat
  Duration deduplication_window{0};  // keyed: how long they remember
  Duration latency_objective{0};     // wanted within this...
  double objective_work_factor = 0;  // ...plus this multiple of the job's own work
  Duration deadline{0};              // the client's whole patience
  double priority_weight = 1;
  double late_weight = 0;  // fraction of the worth after the aim
  int kind = -1;           // the one machine kind that runs it; -1: any
};

struct Settings {
  std::uint64_t seed = 0;
  int zone = 0;
  int dispatchers = 1;  // dispatchers that send to the same workers...
  int index = 0;        // ...and which of them this one is
  std::vector<ClassSettings> classes;
  Duration tick{1};
  // permissions
  int max_attempts = 1;
  bool hedging_allowed = false;
  std::optional<Duration>
      connect_timeout;  // absent or absurd: keyed jobs that may have run are not repeated
  bool cancellation_allowed = false;
  bool health_checks_allowed = false;
  Duration max_retry_after{0};  // 0: clients take no advice on when to return
  // what can be known
  bool watch_required = false;  // list changes come only after Subscribe
  LoadReportMode reports = LoadReportMode::Off;
  bool reports_job_start = false;
  Duration progress_interval{0};  // 0: no progress notes
  // the rules' figures
  Duration answer_slack{0};
  Duration poll_deadline{0};
  Duration drain_grace{0};
  double slow_start_initial_fraction =
      0.1;  // a started worker has at least this fraction of its capacity...
  Duration slow_start_duration{0};  // ...and all of it after this
  double overload_multiple = 1;     // a cold worker sent this multiple of its capacity...
  Duration overload_window{1000};   // ...for this long falls over
  // The retry budget: within any window, attempts beyond a request's first number at most the free
  // ones plus this share of the requests taken. Given all three or not at all; not at all:
  // unlimited.
  std::optional<double> retry_budget_free;
  std::optional<double> retry_budget_ratio;
  std::optional<Duration> retry_budget_window;
  // prices, each as a fraction of the day's worth for one unit a request
  double cross_zone_price = 0;
  // Requests a second of each tenant, at all dispatchers together, that are worth all; one beyond
  // its tenant's share is worth this part. Empty: there are no tenants.
  std::vector<double> tenant_quotas;
  double over_quota_weight = 1;
  bool weight_by_work = false;
};

void validate(
    const Settings& settings);  // throws std::invalid_argument on settings that make no sense

struct WorkerEntry {
  std::string_view worker;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Readiness readiness = Readiness::Ready;
  double size = 1;                   // capacity, comparable across workers
  std::optional<Time> online_since;  // absent: long past
};

struct LoadReport {
  std::optional<double> inflight;
  std::optional<double> queue;
  std::optional<double> busy;
  std::optional<double> free_slots;
  std::optional<double> free_memory;
  std::optional<double> fail_rate;  // the last: errors a second
};

struct Request {
  RequestId id = 0;
  std::size_t job_class = 0;
  Duration timeout{0};                // time left before the client gives up
  std::optional<Duration> cost_hint;  // expected work at standard speed
  double slots = 1;
  double memory = 0;
  std::size_t tenant = 0;
  // Its body goes to the worker as it comes: what has passed since the send tells nothing of the
  // worker.
  bool streamed = false;
  Duration transfer{0};  // beyond patience, for the way of its body
};

struct AttemptEnd {
  RequestId id = 0;
  int attempt = 0;
  bool final = false;  // the request is finished
  std::string_view worker;
  Outcome outcome = Outcome::NotSent;
  LoadReport report;
};

enum class ActionKind { Send, Reject, Fail, Cancel, HealthCheck, Watch, SetTimer, Log };

struct Action {
  ActionKind kind = ActionKind::Log;
  RequestId id = 0;           // Send, Reject, Fail, Cancel
  int attempt = 0;            // Cancel
  std::string_view worker{};  // Send, Probe; valid until the next event
  Time at{};                  // SetTimer
  Duration retry_after{0};    // Reject: advice; 0: none
  std::string text{};         // Log
};

using Actions = std::vector<Action>;

// One scheduler's decisions. Throws std::invalid_argument on settings that make no sense, and never
// else.
class Scheduler {
 public:
  Scheduler(const Settings& settings, Time now, std::vector<Action>& out);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Each event appends what is to be done to `out`.
  void on_endpoint_update(Time now, EndpointUpdateKind kind,
                          const std::vector<WorkerEntry>& entries, std::vector<Action>& out);
  // Settings that hold for the requests to come; throws as the constructor does, and nothing has
  // changed then. The numbers of classes and tenants mean the same ones for good: new ones come
  // behind, none is used anew.
  void on_settings(const Settings& settings);
  void on_request(Time now, const Request& request, std::vector<Action>& out);
  void on_job_event(Time now, RequestId id, int attempt, std::string_view worker, JobEventKind kind,
                    Actions& out);
  void on_attempt_end(Time now, const AttemptEnd& end, std::vector<Action>& out);
  void on_health_check_result(Time now, std::string_view worker, Outcome outcome,
                              const LoadReport& report, std::vector<Action>& out);
  // What the other dispatchers say they have at a worker now, in jobs: gossip, no more than a
  // guess of its load.
  void on_load_gossip(Time now, std::string_view worker, double jobs, std::vector<Action>& out);
  void on_client_disconnected(Time now, RequestId id, std::vector<Action>& out);
  void on_timer(Time now, std::vector<Action>& out);

  // For tests and status pages.
  double cutoff_ms() const;  // hints below it are short
  bool in_short_pool(std::string_view worker) const;
  std::size_t open_requests() const;
  bool avoids(
      std::string_view worker) const;  // it is known and gets no ordinary job now: draining or down

 private:
  class Logic;
  std::unique_ptr<Logic> logic_;
};

// A decaying log-scale histogram of hinted work, and the cutoff searches over it (Schroeder and
// Harchol-Balter, 4).
class CostHistogram {
 public:
  CostHistogram();
  void add(Time now, double work_ms);
  double samples() const { return count_; }
  double work_rate(Time now) const;  // work offered for each ms of recent time
  // Equal mean slowdown of short and long jobs when `load` of the capacity is offered and the short
  // pool holds `short_share` of that capacity; nothing when no cutoff leaves both pools under their
  // capacity.
  std::optional<double> fair_cutoff(double load, double short_share) const;
  double rule_of_thumb_cutoff(double load) const;  // short jobs carry load/2 of the work

 private:
  struct Bin {
    double count = 0;
    double work = 0;
    double square = 0;
    double inverse = 0;
    void operator+=(const Bin& other);
    void operator-=(const Bin& other);
  };
  static double lower_edge(std::size_t bin);
  void decay(Time now);

  std::vector<Bin> bins_;
  double count_ = 0;
  double work_ = 0;
  std::optional<Time> first_;
  Time decayed_{};
};

// Hints of one class against the work its jobs turned out to be, in logarithms and fading. Rough
// hints regress to the mean: of the shortest most are too short. The slope says by how much to
// believe them.
class CostHintModel {
 public:
  double expected(double hint_ms)
      const;              // the sum over jobs stays that of the hints, only their spread shrinks
  double spread() const;  // how far, as a factor, a job may well be over what is expected of it
  void learn(double hint_ms, double seen_ms);

 private:
  double slope() const;

  double n_ = 0;
  double hint_mean_ = 0;
  double seen_mean_ = 0;
  double hint_var_ = 0;
  double seen_var_ = 0;
  double both_ = 0;
  double hints_ = 0;
  double bent_ = 0;
};

}  // namespace dispatcher::scheduling

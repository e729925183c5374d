// Many dispatchers and their workers in one process, in virtual time, on the scheduler's public
// interface and the real gossip messages. It counts over a whole fleet what the dispatchers cost
// their workers, discovery and network together, and how soon all of them know what one has
// learned.
//
// Workers have slots, a bounded queue, a speed and a slow start; they can vanish, fail, run slowly
// and come back. Discovery serves polls one after another and announces changes late. Messages can
// be lost. The same seed gives the same counts.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/load_gossip.h"
#include "testbed/simulation/event_queue.h"
#include "testbed/simulation/fleet_counts.h"

namespace dispatcher::testbed {

using scheduling::Duration;
using scheduling::Time;

// Not thread-safe. Dispatchers and workers are numbered from 0.
class FleetSimulation {
 public:
  struct Options {
    int dispatchers = 100;
    int workers = 60;
    int slots = 3;  // of each worker
    std::uint64_t seed = 1;
    double load = 0.6;         // share of the workers' capacity
    int busy_dispatchers = 0;  // the first ones carry ten times the traffic of the others
    bool gossip = true;        // dispatchers announce their load at workers to each other
    double message_loss = 0;   // share of the gossip messages
    double keyed_share = 0;    // share of the requests that have an idempotency key
    // No start events, cancellations, hedges or gossip: load is reported by the ends of attempts.
    bool minimal_reporting = false;
    bool health_checks = true;  // the settings allow them
    // A bad variant: each dispatcher is configured as the only one.
    bool assumes_single_dispatcher = false;
  };
  explicit FleetSimulation(Options options);

  double now_s() const { return (events_.now() - Time()) / Duration(1000); }
  void at(double seconds, std::function<void()> call);
  void run_until(double seconds);

  // Faults.

  // The dispatcher starts again after that time, from the endpoint list of the beginning.
  void kill(int dispatcher, double restart_after_s);
  // The worker answers nothing from now on; discovery keeps listing it.
  void vanish(int worker);
  // A vanished worker serves again, in its slow start.
  void come_back(int worker);
  // Replaces the worker by one with a new id in its slow start; discovery announces both changes.
  void replace(int worker);
  // The worker fails that share of its requests and multiplies its speed by `speed`.
  void degrade(int worker, double fail_share, double speed);
  // Multiplies Options::load for all later arrivals.
  void set_load_factor(double factor) { load_factor_ = factor; }
  // A silent worker accepts requests and says nothing; it goes on with them afterwards.
  void set_silent(int worker, bool silent);
  // The dispatchers [first, last] exchange no gossip while they are isolated.
  void set_isolated(int first, int last, bool isolated);

  const FleetCounts& counts() const { return counts_; }
  std::size_t open_requests() const;

  // Where the open requests are now. Late: past their latency objective or abandoned.
  struct RequestLocations {
    std::size_t pending = 0;  // at dispatchers, without an open attempt
    std::size_t queued = 0;   // at workers
    std::size_t queued_late = 0;
    std::size_t running = 0;
    std::size_t running_late = 0;
  };
  RequestLocations request_locations() const;

 private:
  // An attempt on its way to, at or back from a worker.
  struct AttemptRef {
    int dispatcher = 0;
    std::uint64_t incarnation = 0;  // of that dispatcher
    scheduling::RequestId id = 0;
    int attempt = 0;
    double work_ms = 0;
    std::uint64_t number = 0;  // unique
    bool operator==(const AttemptRef& other) const { return number == other.number; }
  };
  struct SentWork {
    Time at;
    double work_ms = 0;
  };
  struct Worker {
    std::string id;
    bool up = true;
    bool listed = true;
    bool overloaded = false;
    bool silent = false;
    double speed = 1;
    double fail_share = 0;
    double recent_errors = 0;  // decays from error_at on
    Time error_at{};
    std::optional<Time> started;  // of a worker that began or came back during the run
    std::vector<AttemptRef> running;
    std::vector<AttemptRef> finished_silently;  // of the running
    std::deque<AttemptRef> queue;
    std::deque<SentWork> recent_work;  // within the overload window
    std::optional<Time> first_failure;
    std::optional<Time> vanished;
    std::set<int> avoided_by;  // dispatchers
  };
  struct Attempt {
    std::size_t worker = 0;
    std::uint64_t number = 0;
    bool open = true;
  };
  struct Request {
    std::vector<Attempt> attempts;
    double objective_ms = 0;
    Time arrived{};
    bool answered = false;
  };
  struct Node {  // a dispatcher
    std::optional<scheduling::Scheduler> scheduler;
    std::optional<fleet::LoadGossip> gossip;
    std::uint64_t incarnation = 0;
    bool watching = false;
    bool gossip_scheduled = false;
    bool isolated = false;
    int revision = 0;  // of the endpoint list that it has
    std::map<scheduling::RequestId, Request> requests;
    std::map<std::size_t, int> open_attempts;  // by worker
  };
  struct EndpointChange {
    int revision = 0;
    std::size_t worker = 0;
  };

  // Set-up and helpers (fleet_simulation.cpp).
  scheduling::Settings make_settings() const;
  void add_workers();
  void schedule_in(double delay_ms, std::function<void()> call);
  Node& node(int dispatcher) { return nodes_[static_cast<std::size_t>(dispatcher)]; }
  const Node& node(int dispatcher) const { return nodes_[static_cast<std::size_t>(dispatcher)]; }
  bool is_current(int dispatcher, std::uint64_t incarnation) const {
    return node(dispatcher).incarnation == incarnation;
  }
  bool sender_lives(const AttemptRef& ref) const {
    return is_current(ref.dispatcher, ref.incarnation);
  }
  bool is_late(const AttemptRef& ref) const;
  std::size_t index_of(std::string_view worker) const;
  void record_learning();
  // Calls `input(scheduler, actions)` on a dispatcher that runs and carries the actions out.
  template <class Input>
  void feed(int dispatcher, Input input);

  // Dispatchers and their clients (simulated_dispatchers.cpp).
  void start(int dispatcher, bool first);
  double arrivals_per_second(int dispatcher) const;
  void schedule_arrival(int dispatcher);
  void accept_request(int dispatcher);
  void count_arrival();
  void execute(int dispatcher, const std::vector<scheduling::Action>& actions);
  void execute(int dispatcher, const scheduling::Action& action);
  void set_timer(int dispatcher, Time at);
  void send_attempt(int dispatcher, const scheduling::Action& action);
  void cancel_attempt(int dispatcher, const scheduling::Action& action);
  void answer(int dispatcher, scheduling::RequestId id, long& count);
  void expire_request(int dispatcher, std::uint64_t incarnation, scheduling::RequestId id);
  void forget_if_finished(int dispatcher, scheduling::RequestId id);
  // `reporting_worker`: sends its load report along.
  void end_attempt(const AttemptRef& ref, scheduling::Outcome outcome,
                   std::optional<std::size_t> reporting_worker);
  void count_success(Request& request);

  // Workers (simulated_workers.cpp).
  void receive_attempt(std::size_t worker, const AttemptRef& ref);
  void track_overload(Worker& worker, const AttemptRef& ref);
  void run_queued(std::size_t worker);
  void notify_started(std::size_t worker, const AttemptRef& ref);
  void finish_attempt(std::size_t worker, const AttemptRef& ref);
  void check_health(int dispatcher, std::size_t worker);
  double slow_start_fraction(const Worker& worker) const;
  double recent_errors(const Worker& worker) const;
  scheduling::LoadReport load_report(const Worker& worker) const;

  // Discovery (simulated_discovery.cpp).
  void announce_change(std::size_t worker);
  void poll_discovery(int dispatcher);
  void fail_poll(int dispatcher, std::uint64_t incarnation);
  void deliver_endpoints(int dispatcher, scheduling::EndpointUpdateKind kind, int after_revision);
  std::vector<scheduling::WorkerEntry> cached_entries() const;
  std::vector<scheduling::WorkerEntry> changed_entries(int after_revision) const;
  void update_gossip_workers(int dispatcher, scheduling::EndpointUpdateKind kind);

  // Gossip between dispatchers (simulated_gossip.cpp).
  void change_open_attempts(int dispatcher, std::size_t worker, int change);
  void send_gossip(int dispatcher);
  void transmit(int from, const fleet::LoadGossip::Message& message);
  void schedule_gossip(int dispatcher);

  Options options_;
  scheduling::Settings settings_;
  std::mt19937_64 random_;
  EventQueue events_;
  std::uint64_t last_attempt_number_ = 0;
  scheduling::RequestId last_request_id_ = 0;
  std::vector<Worker> workers_;
  std::map<std::string, std::size_t, std::less<>> worker_indices_;
  std::vector<Node> nodes_;
  std::vector<EndpointChange> changes_;  // of the endpoint list, in order
  int revision_ = 1;                     // of the endpoint list
  double load_factor_ = 1;
  Time discovery_free_at_{};
  FleetCounts counts_;
};

// A dispatcher that is down ignores the input.
template <class Input>
void FleetSimulation::feed(int dispatcher, Input input) {
  Node& target = node(dispatcher);
  if (!target.scheduler)
    return;
  std::vector<scheduling::Action> actions;
  input(*target.scheduler, actions);
  execute(dispatcher, actions);
}

}  // namespace dispatcher::testbed

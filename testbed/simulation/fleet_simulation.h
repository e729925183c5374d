// Simulates many dispatchers and their workers in one process, in virtual time. Each dispatcher is
// a real scheduler, driven through its public interface, and sends real gossip messages. The
// simulation counts what all dispatchers together cost the workers, discovery and the network, and
// how soon all of them know of a failure that one of them has seen.
//
// Workers have slots, a bounded queue, a speed and a slow start; they can crash, fail requests, run
// slowly and restart. Discovery serves polls one after another and announces changes late. Gossip
// messages can be lost. The same seed gives the same counts.
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
    int busy_dispatchers = 0;  // the first ones; each gets ten times the traffic of others
    bool gossip = true;        // dispatchers send load gossip to each other
    double message_loss = 0;   // share of the gossip messages that are lost
    double keyed_share = 0;    // share of the requests with an idempotency key
    // No job start events, cancellations, hedges or gossip: load reports come only with the ends of
    // attempts.
    bool minimal_reporting = false;
    bool health_checks = true;  // whether the settings allow them
    // Misconfigures each dispatcher as the only one. Tests use this variant to show that a bound
    // can be exceeded.
    bool assumes_single_dispatcher = false;
  };
  explicit FleetSimulation(Options options);

  double now_s() const { return (events_.now() - Time()) / Duration(1000); }
  void schedule_at(double seconds, std::function<void()> call);
  void run_until(double seconds);

  // Faults.

  // The dispatcher starts again after that time, with the initial endpoint list.
  void kill_dispatcher(int dispatcher, double restart_after_s);
  // The worker does not respond from now on; discovery keeps listing it.
  void crash_worker(int worker);
  // A crashed worker serves again, in slow start.
  void restart_worker(int worker);
  // Replaces the worker by one with a new id, in slow start; discovery announces both changes.
  void replace_worker(int worker);
  // The worker fails `fail_share` of its requests, and its speed is multiplied by `speed_factor`.
  void degrade_worker(int worker, double fail_share, double speed_factor);
  // Multiplies Options::load for all later arrivals.
  void set_load_factor(double factor) { load_factor_ = factor; }
  // A silent worker accepts requests but does not respond; it resumes them when it is no longer
  // silent.
  void set_worker_silent(int worker, bool silent);
  // The dispatchers [first, last] exchange no gossip while they are isolated.
  void set_dispatchers_isolated(int first, int last, bool isolated);

  const FleetCounts& counts() const { return counts_; }
  std::size_t open_requests() const;

  // Where the open requests are. Late: past the latency objective, or of a request
  // that is no longer open.
  struct RequestLocations {
    std::size_t pending = 0;  // at dispatchers, without an open attempt
    std::size_t queued = 0;   // at workers
    std::size_t queued_late = 0;
    std::size_t running = 0;
    std::size_t running_late = 0;
  };
  RequestLocations request_locations() const;

 private:
  // Identifies an attempt that is on its way to a worker, at it or on its way back.
  struct AttemptRef {
    int dispatcher = 0;
    std::uint64_t incarnation = 0;  // of that dispatcher process
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
    double recent_errors = 0;  // decays from last_error_at on
    Time last_error_at{};
    std::optional<Time> started_at;  // of a worker that started or restarted during the run
    std::vector<AttemptRef> running;
    std::vector<AttemptRef> finished_silently;  // subset of `running`
    std::deque<AttemptRef> queue;
    std::deque<SentWork> recent_work;      // within the overload window
    std::optional<Time> first_failure_at;  // as seen by any dispatcher
    std::optional<Time> crashed_at;
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
    Time arrived_at{};
    bool answered = false;
  };
  struct Node {  // a dispatcher
    std::optional<scheduling::Scheduler> scheduler;
    std::optional<fleet::LoadGossip> gossip;
    std::uint64_t incarnation = 0;
    bool watching = false;
    bool gossip_scheduled = false;
    bool isolated = false;
    int revision = 0;  // of the endpoint list that the dispatcher has
    std::map<scheduling::RequestId, Request> requests;
    std::map<std::size_t, int> open_attempts;  // by worker
  };
  struct EndpointChange {
    int revision = 0;
    std::size_t worker = 0;
  };

  // Setup and helpers (fleet_simulation.cpp).
  scheduling::Settings make_settings() const;
  void add_workers();
  void schedule_in(double delay_ms, std::function<void()> call);
  Node& node(int dispatcher) { return nodes_[static_cast<std::size_t>(dispatcher)]; }
  const Node& node(int dispatcher) const { return nodes_[static_cast<std::size_t>(dispatcher)]; }
  bool is_current(int dispatcher, std::uint64_t incarnation) const {
    return node(dispatcher).incarnation == incarnation;
  }
  bool sender_is_running(const AttemptRef& ref) const {
    return is_current(ref.dispatcher, ref.incarnation);
  }
  bool is_late(const AttemptRef& ref) const;
  std::size_t index_of(std::string_view worker) const;
  void record_learning();
  // Calls `input(scheduler, actions)` and executes the actions; does nothing while the dispatcher
  // is down.
  template <class Input>
  void feed(int dispatcher, Input input);

  // Dispatchers and their clients (simulated_dispatchers.cpp).
  void start(int dispatcher, bool first_start);
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
  void erase_if_finished(int dispatcher, scheduling::RequestId id);
  // `reporting_worker`: the worker whose load report comes with the end of the attempt.
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
  std::vector<scheduling::WorkerEntry> initial_entries() const;
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

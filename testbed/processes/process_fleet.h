// A fleet of dispatcher processes, with a relay on every path between them and stub clients that
// send requests throughout.
#pragma once

#include <json/value.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "testbed/processes/datagram_relays.h"
#include "testbed/stubs/stubs.h"

namespace dispatcher::testbed {

// Members and workers are numbered from 0. The destructor ends the processes. Requests are sent on
// threads of their own; all functions must be called from one thread.
class ProcessFleet {
 public:
  struct Setup {
    std::string program;
    std::string config;  // path of a file
    int members = 8;
    int workers = 3;
    // Settings of the membership view.
    int period_ms = 200;
    int answer_ms = 60;
    int forget_s = 3600;
    std::uint64_t seed = 1;  // of the relays' random faults
    std::string keys{};      // contents of each member's key file; empty: no key file
    int seeds = 0;           // each member is given so many of the first members; 0: all, as peers
    bool trace = false;
    // Limits of each worker; 0 slots: any number of requests at a time.
    int slots = 0;
    int queue_capacity = 0;
    // Properties of each request.
    int work_ms = 5;
    int objective_ms = 0;  // latency objective; 0: every response is in time
    // Requests a second, sent without waiting for responses; 0: one request after another.
    double request_rate = 0;
  };
  explicit ProcessFleet(Setup setup);
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;
  ~ProcessFleet();

  // Starts a member, also after it crashed or ended. It keeps no state from before.
  void start(int number);
  void start_all();
  void crash(int number);     // SIGKILL
  int terminate(int number);  // SIGTERM; returns the exit code
  void suspend(int number);   // SIGSTOP; the member counts as down until resume()
  void resume(int number);    // SIGCONT
  // Replaces a member's key file; returns when the member has read the file.
  void set_keys(int number, const std::string& text);

  DispatcherProcess& member(int number) { return *members_.at(static_cast<std::size_t>(number)); }
  DatagramRelays& relays() { return relays_; }
  StubServices& services() { return services_; }
  // The members that are running.
  const std::set<int>& up() const { return up_; }

  // A member's membership view, as /admin/fleet answers it; null if there is no answer.
  Json::Value view(int number);
  // The number of members in each state, by the view's name for the state.
  static std::map<std::string, int> states(const Json::Value& view);
  // Whether the views of all `members` have the same digest, list exactly these members as alive,
  // and list none as suspect.
  bool agree(const std::set<int>& members);
  // Waits for `condition` without a deadline; only the timeout of the test limits the wait.
  static void wait_until(const std::function<bool()>& condition);
  // Waits until the views of all members that are up agree.
  void wait_until_agreed() {
    wait_until([this] { return agree(up_); });
  }

  // Drains a worker. Returns when all members that are up have been notified: requests sent after
  // that must not reach the worker.
  void drain(int worker);
  // Lists a drained worker as up again.
  void undrain(int worker);

  // Starts to send requests to these members in turn, until stop_requests().
  void start_requests(const std::vector<int>& members);
  void stop_requests();
  void set_request_rate(double per_second) { request_rate_ = per_second; }
  std::uint64_t sent_requests() const { return sent_; }
  // Whether 95 of 100 consecutive requests, all sent after the first `since` ones, were answered
  // with status 200 and in time.
  bool recovered(std::uint64_t since);

  // What the stub clients and workers observed.
  struct RequestCounts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;     // with a complete response
    std::uint64_t served = 0;       // of these, with status 200
    std::uint64_t in_time = 0;      // with status 200, within the latency objective
    std::uint64_t begun = 0;        // attempts that workers began to process
    std::uint64_t begun_twice = 0;  // requests with more than one such attempt
    std::uint64_t to_drained = 0;   // attempts that were sent to a worker after it had been drained
    long longest_datagram = 0;      // bytes
  };
  RequestCounts stop_and_count_requests();

 private:
  std::string key_file(int number) const { return folder_ + "/" + std::to_string(number); }
  DispatcherProcess::Setup member_setup(int number) const;
  std::string member_features(int number) const;
  std::string member_config(int number) const;
  void send_request(std::uint64_t id, const std::string& address);
  void send_in_sequence(const std::vector<std::string>& addresses);
  void send_at_rate(const std::vector<std::string>& addresses);

  Setup setup_;
  std::string host_;
  std::string folder_;  // holds the key files
  StubServices services_;
  DatagramRelays relays_;
  std::vector<std::unique_ptr<DispatcherProcess>> members_;
  std::set<int> up_;
  std::thread requests_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::uint64_t> sent_{0};
  std::atomic<std::uint64_t> answered_{0};
  std::atomic<std::uint64_t> served_{0};
  std::atomic<double> request_rate_{0};
  std::mutex mutex_;                       // guards in_time_
  std::map<std::uint64_t, bool> in_time_;  // by id of an answered request
  // By uid of a drained worker: the last request that may still reach it.
  std::map<std::string, std::uint64_t> last_request_before_drain_;
};

}  // namespace dispatcher::testbed

// A stub for discovery: serves an endpoint list by polls and watches, with faults on demand.
#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "testbed/stubs/http_transfer.h"
#include "testbed/stubs/stub_listener.h"

namespace dispatcher::testbed {

// How the stub fails, until another fault is set.
struct DiscoveryFault {
  enum Kind {
    None,
    Down,     // hangs up on each poll
    Slow,     // answers after `amount` ms
    Limited,  // serves `amount` polls at a time, 20 ms each; the others get 503
    Stale,    // serves the list as it was when the fault began
    Empty     // serves a list without endpoints
  };
  Kind kind = None;
  int amount = 0;
};

// Thread-safe. Its threads end with the object.
class StubDiscovery {
 public:
  explicit StubDiscovery(const std::string& host);

  const std::string& address() const { return listener_.address(); }
  // Adds an endpoint in the state "up", without a new revision.
  void add_endpoint(const std::string& uid, const std::string& worker_address);
  // Sets an endpoint's state, "up", "draining" or "removed", in a new revision.
  void set_state(const std::string& uid, const std::string& state);
  void set_fault(DiscoveryFault fault);

  // Whether the last poll already knew the newest revision.
  bool latest_revision_polled();
  // The number of open connections that have been sent the newest revision.
  int notified_watches();
  long polls() const { return polls_; }

  // Ends open watches and accepts no more connections.
  void stop();

 private:
  struct Endpoint {
    std::string uid;
    std::string address;
    std::string state = "up";
  };
  class WatchRegistration;

  void serve(int descriptor);
  // Returns whether the connection serves on.
  bool answer_poll(BlockingConnection& connection, const Query& query);
  // Takes the time that a poll costs; `lock` is released meanwhile.
  void simulate_service_time(std::unique_lock<std::mutex>& lock);
  // Waits until the revision passes `known_revision`. False when the client has hung up.
  bool wait_for_change(BlockingConnection& connection, std::unique_lock<std::mutex>& lock,
                       std::uint64_t known_revision,
                       std::chrono::steady_clock::time_point deadline);
  // The list as JSON.
  std::string endpoint_list(bool with_endpoints) const;
  std::string current_list() const;

  std::mutex mutex_;  // guards the members up to polls_
  std::vector<Endpoint> endpoints_;
  int revision_ = 1;
  int last_polled_revision_ = 0;
  std::map<int, int> notified_revisions_;  // by descriptor of an open connection
  DiscoveryFault fault_;
  std::string stale_list_;
  int concurrent_polls_ = 0;
  std::atomic<long> polls_{0};
  std::atomic<bool> stopping_{false};
  StubListener listener_;  // last: its threads use the members above
};

}  // namespace dispatcher::testbed

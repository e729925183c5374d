// Stub discovery: serves an endpoint list to polls and watches, with faults on demand.
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

// A fault of the stub; it lasts until another one is set.
struct DiscoveryFault {
  enum Kind {
    None,
    Down,     // closes the connection on each poll
    Slow,     // answers after `amount` ms
    Limited,  // serves `amount` concurrent polls, 20 ms each; answers 503 to the others
    Stale,    // serves the list as it was when the fault was set
    Empty     // serves a list without endpoints
  };
  Kind kind = None;
  int amount = 0;
};

// Thread-safe. The destructor ends its threads.
class StubDiscovery {
 public:
  explicit StubDiscovery(const std::string& host);

  const std::string& address() const { return listener_.address(); }
  // Adds an endpoint in the state "up". The list keeps its revision.
  void add_endpoint(const std::string& uid, const std::string& worker_address);
  // Sets an endpoint's state to "up", "draining" or "removed" and increments the list's revision.
  void set_state(const std::string& uid, const std::string& state);
  void set_fault(DiscoveryFault fault);

  // Whether the last poll named the newest revision as known.
  bool latest_revision_polled();
  // The number of open connections to which the newest revision has been sent.
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
  // Returns whether the connection stays open.
  bool answer_poll(BlockingConnection& connection, const Query& query);
  // Sleeps for the time that a poll takes under the current fault, with `lock` released.
  void simulate_service_time(std::unique_lock<std::mutex>& lock);
  // Waits until the revision exceeds `known_revision`. Returns false if the client disconnected.
  bool wait_for_change(BlockingConnection& connection, std::unique_lock<std::mutex>& lock,
                       std::uint64_t known_revision,
                       std::chrono::steady_clock::time_point deadline);
  // Returns the list as JSON.
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

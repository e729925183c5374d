// The clients of a soak: some keep their connections until the process closes them, some connect
// anew for each request, some leave before their answer, some come as a crowd.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "testbed/soak/request_ledger.h"

namespace dispatcher::testbed {

// What holds at the moment, set by the soak and read by the clients.
struct SoakConditions {
  std::atomic<std::uint64_t> epoch{0};  // changes with each of the others
  std::atomic<bool> calm{true};         // no fault: every request can be served
  std::atomic<bool> process_ending{false};
  std::atomic<bool> listener_expected{true};  // a process must accept connections
  // The load balancer gives out new connections to the process: until 0.2 to 0.4 s after SIGTERM,
  // and again once the next process is ready.
  std::atomic<bool> balancer_open{true};
  std::atomic<bool> clients_leave{false};
  std::atomic<bool> upload_resets{false};
};

class SoakClients {
 public:
  // The references must outlive the object.
  SoakClients(std::string address, std::uint64_t seed, SoakConditions& conditions,
              RequestLedger& ledger);
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;
  ~SoakClients() { stop(); }

  void start();
  // Many clients at once, each with one request, and as many idle connections.
  void start_crowd();
  // Returns once every client has its answer.
  void stop();

  // Connections that were refused although a process had to accept them.
  std::uint64_t refused_connections() const { return refused_; }

 private:
  using Random = std::mt19937_64;

  void run_persistent(Random random);
  void run_one_shot(Random random);
  void run_leaving(Random random);
  void run_crowd_member(Random random);
  void leave_early(Random& random);
  // Waits until a connection is accepted.
  std::unique_ptr<PersistentClient> connect();
  ClientRequest draw_request(Random& random);
  // Sends the request once more on a new connection where the first send crossed with a close.
  void send(std::unique_ptr<PersistentClient>& connection, bool& used, Random& random);
  Random next_random() { return Random(seed_ * 1000 + threads_.size()); }

  std::string address_;
  std::uint64_t seed_;
  SoakConditions& conditions_;
  RequestLedger& ledger_;
  std::atomic<std::uint64_t> last_id_{0};
  std::atomic<std::uint64_t> refused_{0};
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

}  // namespace dispatcher::testbed

// The clients of a soak: some keep their connections until the process closes them, some open a new
// connection for each request, some disconnect before the response, and some come in bursts.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "testbed/soak/request_ledger.h"

namespace dispatcher::testbed {

// The current conditions, set by the soak and read by the clients.
struct SoakConditions {
  std::atomic<std::uint64_t> epoch{0};  // incremented with each change of the others
  std::atomic<bool> fault_free{true};   // no worker fault: every request can be served
  std::atomic<bool> process_ending{false};
  std::atomic<bool> listener_expected{true};  // a process should accept connections
  // Whether the load balancer routes new connections to the process: until 0.2 to 0.4 s after
  // SIGTERM, and again once the next process is ready.
  std::atomic<bool> balancer_open{true};
  std::atomic<bool> clients_disconnect_early{false};
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
  // Starts many clients at once, each with one request and an additional idle connection.
  void start_connection_burst();
  // Returns once every client has its response.
  void stop();

  // Connections that were refused although a process should have accepted them.
  std::uint64_t refused_connections() const { return refused_; }

 private:
  using Random = std::mt19937_64;

  void run_persistent(Random random);
  void run_one_shot(Random random);
  void run_early_disconnects(Random random);
  void run_burst_client(Random random);
  void disconnect_early(Random& random);
  // Retries until a connection is accepted.
  std::unique_ptr<PersistentClient> connect();
  ClientRequest draw_request(Random& random);
  // Sends one request. If a connection in use gives no response, the server may have closed it as
  // the request was sent: sends the request once more on a new connection.
  void send(std::unique_ptr<PersistentClient>& connection, bool& reused, Random& random);
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

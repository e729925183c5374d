// Clients that send ordinary requests one after another while other clients misbehave.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace dispatcher::testbed {

struct OrdinaryResults {
  int served = 0;
  int not_served = 0;  // no 200, or no answer at all
  double latest_ms = 0;
  std::string first_failure;
};

// Each keeps its connection and opens a new one if that was closed, as a client may be closed while
// it is idle. The destructor ends the threads.
class OrdinaryClients {
 public:
  // `first_id`: their request ids count up from here.
  OrdinaryClients(std::string address, int clients, std::uint64_t first_id);
  OrdinaryClients(const OrdinaryClients&) = delete;
  OrdinaryClients& operator=(const OrdinaryClients&) = delete;
  ~OrdinaryClients() { stop(); }

  // The results since the last call.
  OrdinaryResults take_results();
  // Returns once each client has its answer.
  void stop();

 private:
  void run();
  void record(int status, double ms, const std::string& body);

  std::string address_;
  std::atomic<std::uint64_t> next_id_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  // guards results_
  OrdinaryResults results_;
  std::vector<std::thread> threads_;
};

}  // namespace dispatcher::testbed

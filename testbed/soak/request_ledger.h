// What the clients of a soak sent and got, judged against the rules of the service.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "testbed/soak/worker_faults.h"
#include "testbed/stubs/stubs.h"

namespace dispatcher::testbed {

// Milliseconds of the steady clock.
double steady_ms();

// The final outcome of one request at its client.
struct RequestRecord {
  std::uint64_t id = 0;
  double sent_ms = 0;  // its last byte was written
  int time_left_ms = 0;
  double ended_ms = 0;            // last byte of the answer, end of the connection, or the leaving
  bool left = false;              // the client closed the connection without an answer
  bool resent = false;            // once, after a close that crossed with it
  bool success_expected = false;  // nothing happened that may fail or reject a request
  bool may_be_rejected = false;   // its process was ending
  ClientResponse response{};      // status 0: none
};

struct Violation {
  std::string rule;
  std::string detail;
};

struct LedgerTotals {
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t left = 0;
  std::uint64_t resent = 0;
};

// Thread-safe.
class RequestLedger {
 public:
  void add(const RequestRecord& record);
  LedgerTotals totals() const;
  // What the records and the workers' attempts and faults say together. Call it once all clients
  // have ended.
  std::vector<Violation> judge(const std::vector<ReceivedAttempt>& attempts,
                               const WorkerFaults& faults) const;

 private:
  mutable std::mutex mutex_;
  std::vector<RequestRecord> records_;
};

}  // namespace dispatcher::testbed

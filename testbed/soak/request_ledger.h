// Records the requests of a soak's clients and checks them against the rules of the service.
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

// The steady clock in milliseconds.
double steady_ms();

// The final outcome of one request, as its client saw it.
struct RequestRecord {
  std::uint64_t id = 0;
  double sent_ms = 0;  // start of the last send
  int time_left_ms = 0;
  double ended_ms = 0;        // last byte of the response, or end of the connection by either side
  bool disconnected = false;  // the client closed the connection without awaiting a response
  bool resent = false;        // sent once more, as the server may have closed the connection
  bool success_expected = false;  // no condition held that may fail or reject a request
  bool may_be_rejected = false;   // the dispatcher process was ending
  ClientResponse response{};      // status 0: no response
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
  std::uint64_t disconnected = 0;
  std::uint64_t resent = 0;
};

// Thread-safe.
class RequestLedger {
 public:
  void add(const RequestRecord& record);
  LedgerTotals totals() const;
  // Checks the records against the attempts and the faults of the workers. Call it once all clients
  // have ended.
  std::vector<Violation> find_violations(const std::vector<ReceivedAttempt>& attempts,
                                         const WorkerFaults& faults) const;

 private:
  mutable std::mutex mutex_;
  std::vector<RequestRecord> records_;
};

}  // namespace dispatcher::testbed

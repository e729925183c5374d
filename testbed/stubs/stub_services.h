// The services that a dispatcher calls: a stub discovery and stub workers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/stubs/stub_discovery.h"
#include "testbed/stubs/stub_worker.h"

namespace dispatcher::testbed {

// Workers are numbered from 0; worker N has the uid "s-(N+1)". Thread-safe after the call of
// set_callback_address().
class StubServices {
 public:
  // Listens on free ports of `host`.
  StubServices(const std::string& host, int workers);
  StubServices(const StubServices&) = delete;
  StubServices& operator=(const StubServices&) = delete;
  ~StubServices();

  const std::string& discovery_address() const { return discovery_.address(); }
  const std::string& worker_address(int number) const { return worker(number).address(); }
  // Sets the dispatcher's address for job events. Must be called before requests are sent.
  void set_callback_address(const std::string& address) { context_.callback_address = address; }

  // Sets a worker's state in the endpoint list: "up", "draining" or "removed".
  void set_state(int number, const std::string& state);
  void set_fault(DiscoveryFault fault) { discovery_.set_fault(fault); }
  void set_fault(int number, WorkerFault fault);
  // Sets the limits of each worker, see StubWorker::set_limits().
  void set_limits(int slots, int queue_capacity);

  // The attempts that workers have received so far.
  std::vector<ReceivedAttempt> received_attempts() { return context_.log.attempts(); }
  // Lets the workers send the job events of requests with held=1.
  void release_held_events() { context_.log.release_held_events(); }
  // Whether the last poll of a dispatcher named the newest endpoint list as known.
  bool latest_list_polled() { return discovery_.latest_revision_polled(); }
  // The number of open watches to which the newest endpoint list has been sent.
  int notified_watches() { return discovery_.notified_watches(); }
  long discovery_polls() const { return discovery_.polls(); }
  long rejected() const { return context_.log.rejected(); }
  long repeated_events() const { return context_.log.repeated_events(); }
  int longest_queue() { return context_.log.longest_queue(); }

 private:
  const StubWorker& worker(int number) const {
    return *workers_.at(static_cast<std::size_t>(number));
  }

  WorkerContext context_;
  StubDiscovery discovery_;
  std::vector<std::unique_ptr<StubWorker>> workers_;
};

}  // namespace dispatcher::testbed

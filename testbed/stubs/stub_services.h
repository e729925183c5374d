// Everything a dispatcher talks to on the server side: a stub discovery and its stub workers.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testbed/stubs/stub_discovery.h"
#include "testbed/stubs/stub_worker.h"

namespace dispatcher::testbed {

// Workers are numbered from 0; the worker with number N has the uid "s-(N+1)". Thread-safe once
// call_back_to() was called.
class StubServices {
 public:
  // Listens on ports of `host` that the system chooses.
  StubServices(const std::string& host, int workers);
  StubServices(const StubServices&) = delete;
  StubServices& operator=(const StubServices&) = delete;
  ~StubServices();

  const std::string& discovery() const { return discovery_.address(); }
  const std::string& worker(int number) const { return at(number).address(); }
  // The dispatcher's address for job events; call it before requests are sent.
  void call_back_to(const std::string& address) { context_.callback_address = address; }

  // "up", "draining" or "removed".
  void set_state(int number, const std::string& state);
  void set_fault(DiscoveryFault fault) { discovery_.set_fault(fault); }
  void set_fault(int number, WorkerFault fault);
  // Of each worker, see StubWorker::set_limits().
  void set_limits(int slots, int queue_places);

  // The attempts that workers received so far.
  std::vector<ReceivedAttempt> seen() { return context_.log.attempts(); }
  // Whether a dispatcher's last poll already knew the newest endpoint list.
  bool told() { return discovery_.latest_revision_polled(); }
  // The number of open watches that have been sent the newest endpoint list.
  int notified_watches() { return discovery_.notified_watches(); }
  long discovery_polls() const { return discovery_.polls(); }
  long rejected() const { return context_.log.rejected(); }
  long repeated_events() const { return context_.log.repeated_events(); }
  int longest_queue() { return context_.log.longest_queue(); }

 private:
  const StubWorker& at(int number) const { return *workers_.at(static_cast<std::size_t>(number)); }

  WorkerContext context_;
  StubDiscovery discovery_;
  std::vector<std::unique_ptr<StubWorker>> workers_;
};

}  // namespace dispatcher::testbed

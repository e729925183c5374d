// Keeps connections to workers open between calls, for the next call to the same worker.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

// A connection is used again only for a short time after its last call, well before the worker's
// machine would close it: what is written to a closed connection is lost. Not thread-safe.
class IdleConnections {
 public:
  IdleConnections(transport::Network& network, transport::Deadlines& deadlines,
                  const transport::Clock& clock)
      : network_(network), deadlines_(deadlines), clock_(clock) {}

  // Keeps the connection for at most `lifetime`. Closes the oldest of the worker where it has too
  // many.
  void add(const std::string& worker, transport::SlotRef connection, transport::Duration lifetime);
  // The connection that was used last, for one more call. Nothing: the worker has none.
  std::optional<transport::SlotRef> take(const std::string& worker);
  // It has been closed, or must not be used again. Harmless for one that is not idle.
  void remove(transport::SlotRef connection);
  void close_all(const std::string& worker);
  // Frees a descriptor; false: no connection is idle.
  bool close_any();

 private:
  struct Idle {
    transport::SlotRef connection;
    transport::Deadlines::Handle expiry;
  };
  transport::Network& network_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  std::map<std::string, std::vector<Idle>> by_worker_;  // the last used at the end
  std::map<transport::SlotRef, std::string> worker_of_;
};

}  // namespace dispatcher::http

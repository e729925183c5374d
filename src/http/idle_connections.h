// Keeps connections to workers open between calls, for reuse by the next call to the same worker.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

// A connection is reused only for a short time after its last call, well before the worker's host
// would close it, because bytes written to a closed connection are lost. Not thread-safe.
class IdleConnections {
 public:
  IdleConnections(transport::Network& network, transport::Deadlines& deadlines,
                  const transport::Clock& clock)
      : network_(network), deadlines_(deadlines), clock_(clock) {}

  // Keeps the connection for at most `lifetime`. Closes the worker's oldest idle connection if it
  // has too many.
  void add(const std::string& worker, transport::SlotRef connection, transport::Duration lifetime);
  // Shortens the lifetime of the connections that are idle now.
  void limit_lifetime(transport::Duration lifetime);
  // Removes and returns the worker's most recently used connection. Nullopt if it has none.
  std::optional<transport::SlotRef> take(const std::string& worker);
  // Call when the connection has been closed or must not be reused. Has no effect on a connection
  // that is not idle.
  void remove(transport::SlotRef connection);
  void close_all(const std::string& worker);
  // Closes one connection to free its descriptor. False if there is none.
  bool close_any();

 private:
  struct Idle {
    transport::SlotRef connection;
    transport::Time since;
    transport::Time expires_at;
    transport::Deadlines::Handle expiry;
  };

  transport::Deadlines::Handle close_at(transport::Time time, transport::SlotRef connection);

  transport::Network& network_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  std::map<std::string, std::vector<Idle>> by_worker_;  // most recently used last
  std::map<transport::SlotRef, std::string> worker_of_;
};

}  // namespace dispatcher::http

// Handles requests to the admin interface: takes a complete HTTP message and returns its response.
// Uses neither sockets nor a clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "operations/metrics.h"
#include "protocol/http.h"

namespace dispatcher::operations {

// The operations behind the admin interface. They are reachable from the admin address only.
class AdminOperations {
 public:
  virtual ~AdminOperations() = default;
  virtual bool healthy() const = 0;  // ready to serve
  virtual std::string stats() = 0;   // lines of name=value
  // Both return false if the worker is unknown.
  virtual bool cordon(const std::string& worker) = 0;
  virtual bool uncordon(const std::string& worker) = 0;
  // This member's membership view of the fleet, as JSON; empty if it keeps none.
  virtual std::string fleet() const { return {}; }
};

struct AdminResponse {
  int status = 200;
  std::string body;
};
AdminResponse handle_admin_request(const protocol::Message& call, AdminOperations& operations);

// Returns the percent-decoded query parameter `name` of a request target. Throws
// protocol::HttpError 400 if it is missing, empty, given twice or badly escaped: an ambiguous call
// must not take effect.
std::string query_parameter(const std::string& target, const std::string& name);

// Current values, in contrast to the counters in Metrics.
struct Gauges {
  std::size_t open_requests = 0;
  std::size_t registry_entries = 0;  // workers in the endpoint list
  std::size_t out_of_rotation = 0;   // cordoned workers
  // The membership view of the fleet.
  struct Fleet {
    std::size_t alive = 0;  // number of members, as are the next three
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::size_t left = 0;
    std::uint64_t changes = 0;  // changes of a member's state
    std::uint64_t sent = 0;     // datagrams
    std::uint64_t dropped = 0;  // datagrams
  };
  std::optional<Fleet> fleet{};  // empty if there is no membership view
};

// Returns the body of GET /admin/stats. `classes`: class names, indexed by the scheduler's class
// number; a class without a name is left out.
std::string write_stats(const Metrics& metrics, const std::vector<std::string>& classes,
                        const Gauges& gauges);

}  // namespace dispatcher::operations

// Handler of the admin interface, from a complete HTTP message to its answer. No sockets, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "operations/metrics.h"
#include "protocol/http.h"

namespace dispatcher::operations {

// What the admin interface operates on; reached from the admin address alone.
class AdminOperations {
 public:
  virtual ~AdminOperations() = default;
  virtual bool healthy() const = 0;  // ready to serve
  virtual std::string stats() = 0;   // lines of name=value
  // Both return false where no such worker is known.
  virtual bool cordon(const std::string& worker) = 0;
  virtual bool uncordon(const std::string& worker) = 0;
  // This member's view of the fleet, as JSON; empty where it keeps none.
  virtual std::string fleet() const { return {}; }
};

struct Answer {
  int status = 200;
  std::string body;
};
Answer handle_admin_request(const protocol::Message& call, AdminOperations& operations);

// Returns the unescaped parameter `name` of a target's query. Throws protocol::HttpError 400 where
// it is missing, empty, given twice or badly escaped: an ambiguous call must not be guessed at.
std::string query_value(const std::string& target, const std::string& name);

// Current values, as opposed to the counters of Metrics.
struct Gauges {
  std::size_t open_requests = 0;
  std::size_t registry_entries = 0;  // workers of the endpoint list
  std::size_t out_of_rotation = 0;   // workers that are cordoned
  // The membership view of the fleet.
  struct Fleet {
    std::size_t alive = 0;  // members, here and in the next three
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::size_t left = 0;
    std::uint64_t changes = 0;  // of a member's state
    std::uint64_t sent = 0;     // datagrams
    std::uint64_t dropped = 0;  // datagrams
  };
  std::optional<Fleet> fleet{};  // empty where the view is off
};

// Returns the body of GET /admin/stats. `classes`: names by the scheduler's class numbers; a class
// without a name is left out.
std::string write_stats(const Metrics& metrics, const std::vector<std::string>& classes,
                        const Gauges& gauges);

}  // namespace dispatcher::operations

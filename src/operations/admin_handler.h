// The operators' calls, from a whole HTTP message to its answer. No sockets, no clock.
#pragma once

#include <optional>
#include <string>

#include "operations/metrics.h"
#include "protocol/http.h"

namespace dispatcher::operations {

// What the calls are about. The second address alone reaches it.
class AdminOperations {
 public:
  virtual ~AdminOperations() = default;
  virtual bool healthy() const = 0;                    // ready to serve
  virtual std::string stats() = 0;                     // lines of name=value
  virtual bool cordon(const std::string& worker) = 0;  // false: no such worker is known
  virtual bool uncordon(const std::string& worker) = 0;
  virtual std::string fleet() const {
    return {};
  }  // this member's view, as JSON; empty: it keeps none
};

struct Answer {
  int status = 200;
  std::string body;
};
Answer answer_call(const protocol::Message& call, AdminOperations& desk);

// The parameter `name` of a target's query, unescaped. Throws protocol::HttpError 400 where it is
// missing, empty, given twice or badly escaped: a call that could mean two things must not be
// guessed.
std::string query_value(const std::string& target, const std::string& name);

struct Gauges {  // as of now
  std::size_t open_requests = 0;
  std::size_t registry_entries = 0;
  std::size_t out_of_rotation = 0;
  struct Fleet {  // the view, where one is kept
    std::size_t alive = 0;
    std::size_t suspect = 0;
    std::size_t dead = 0;
    std::size_t left = 0;
    std::uint64_t changes = 0;
    std::uint64_t sent = 0;
    std::uint64_t dropped = 0;  // changes of a state; datagrams
  };
  std::optional<Fleet> fleet{};
};
// `classes` by the scheduler's numbers; a nameless one is not shown.
std::string write_stats(const Metrics& metrics, const std::vector<std::string>& classes,
                        const Gauges& now);

}  // namespace dispatcher::operations

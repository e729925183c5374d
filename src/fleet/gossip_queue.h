// Members whose latest state is still to be gossiped, with the number of times it has been sent.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <random>
#include <vector>

#include "fleet/endpoint.h"

namespace dispatcher::fleet {

class GossipQueue {
 public:
  // Queues the member with a send count of 0, even if it is queued already.
  void restart(const Endpoint& endpoint) { times_sent_[endpoint] = 0; }
  // Queues the member; keeps the send count if it is queued already.
  void add(const Endpoint& endpoint) { times_sent_.try_emplace(endpoint, 0); }
  void remove(const Endpoint& endpoint) { times_sent_.erase(endpoint); }
  bool empty() const { return times_sent_.empty(); }

  template <typename Predicate>
  bool contains_any(Predicate predicate) const {
    return std::ranges::any_of(times_sent_,
                               [&](const auto& entry) { return predicate(entry.first); });
  }

  // Returns at most `max_count` members for a datagram to `receiver`: the receiver itself first,
  // then those sent least often, in random order among equals. Counts them as sent and removes
  // those that have been sent `max_sends` times.
  std::vector<Endpoint> take(const Endpoint& receiver, std::size_t max_count, int max_sends,
                             std::mt19937_64& random);

 private:
  std::map<Endpoint, int> times_sent_;
};

}  // namespace dispatcher::fleet

// Members whose latest state is still to be gossiped, with the number of times it was sent.
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
  // Starts the dissemination of the member's state anew.
  void restart(const Endpoint& who) { times_sent_[who] = 0; }
  // Leaves the count as it is where the member is queued already.
  void add(const Endpoint& who) { times_sent_.try_emplace(who, 0); }
  void remove(const Endpoint& who) { times_sent_.erase(who); }
  bool empty() const { return times_sent_.empty(); }

  template <typename Predicate>
  bool contains_any(Predicate predicate) const {
    return std::ranges::any_of(times_sent_,
                               [&](const auto& entry) { return predicate(entry.first); });
  }

  // At most `max_count` members for a datagram to `receiver`: the receiver itself first, then those
  // sent least often, in random order among equals. Counts them as sent; one that was sent
  // `max_sends` times leaves the queue.
  std::vector<Endpoint> take(const Endpoint& receiver, std::size_t max_count, int max_sends,
                             std::mt19937_64& random);

 private:
  std::map<Endpoint, int> times_sent_;
};

}  // namespace dispatcher::fleet

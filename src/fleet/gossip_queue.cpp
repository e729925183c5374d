#include "fleet/gossip_queue.h"

namespace dispatcher::fleet {
namespace {

constexpr int kReceiverRank = -1;  // sorts before all others

}  // namespace

std::vector<Endpoint> GossipQueue::take(const Endpoint& receiver, std::size_t max_count,
                                        int max_sends, std::mt19937_64& random) {
  struct Candidate {
    int rank = 0;
    Endpoint endpoint;
  };
  std::vector<Candidate> candidates;
  for (const auto& [endpoint, times_sent] : times_sent_) {
    candidates.push_back(
        {.rank = endpoint == receiver ? kReceiverRank : times_sent, .endpoint = endpoint});
  }
  std::ranges::shuffle(candidates, random);
  std::ranges::stable_sort(candidates, {}, &Candidate::rank);
  candidates.resize(std::min(candidates.size(), max_count));

  std::vector<Endpoint> taken;
  for (const Candidate& candidate : candidates) {
    taken.push_back(candidate.endpoint);
    if (++times_sent_[candidate.endpoint] >= max_sends)
      times_sent_.erase(candidate.endpoint);
  }
  return taken;
}

}  // namespace dispatcher::fleet

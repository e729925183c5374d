#include "fleet/gossip_queue.h"

namespace dispatcher::fleet {
namespace {

constexpr int kReceiverRank = -1;  // before all others

}  // namespace

std::vector<Endpoint> GossipQueue::take(const Endpoint& receiver, std::size_t max_count,
                                        int max_sends, std::mt19937_64& random) {
  struct Candidate {
    int rank = 0;
    Endpoint who;
  };
  std::vector<Candidate> candidates;
  for (const auto& [who, times_sent] : times_sent_)
    candidates.push_back({.rank = who == receiver ? kReceiverRank : times_sent, .who = who});
  std::ranges::shuffle(candidates, random);
  std::ranges::stable_sort(candidates, {}, &Candidate::rank);
  candidates.resize(std::min(candidates.size(), max_count));

  std::vector<Endpoint> taken;
  for (const Candidate& candidate : candidates) {
    taken.push_back(candidate.who);
    if (++times_sent_[candidate.who] >= max_sends)
      times_sent_.erase(candidate.who);
  }
  return taken;
}

}  // namespace dispatcher::fleet

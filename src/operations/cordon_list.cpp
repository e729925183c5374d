#include "operations/cordon_list.h"

namespace dispatcher::operations {

using protocol::EndpointUpdate;
using protocol::WorkerEndpoint;
using scheduling::Readiness;
using scheduling::Time;

EndpointUpdate CordonList::apply(const EndpointUpdate& news) {
  if (news.whole)
    listed_.clear();
  revision_ = news.revision;
  EndpointUpdate out{news.revision, news.whole, {}};
  for (const WorkerEndpoint& l : news.entries) {
    if (l.entry.readiness == Readiness::Removed) {
      listed_.erase(l.uid);
      out.entries.push_back(l);
      continue;
    }
    listed_[l.uid] = l;
    // A start after the call out is the one that made it cold: from here on discovery's word counts
    // again.
    auto hand = by_hand_.find(l.uid);
    if (hand != by_hand_.end() && hand->second.back && l.entry.online_since &&
        *l.entry.online_since > hand->second.since)
      by_hand_.erase(hand);
    out.entries.push_back(seen(l));
  }
  return out;
}

// A worker is restarted while it is out, and discovery may tell of that late or not at all:
// until it does, whoever comes back counts as started with the call back, and gets a cold
// worker's budget.
WorkerEndpoint CordonList::seen(const WorkerEndpoint& l) const {
  WorkerEndpoint s = l;
  auto hand = by_hand_.find(l.uid);
  bool by_hand = hand != by_hand_.end();
  if (by_hand && hand->second.back)
    s.entry.online_since = hand->second.back;
  bool out = by_hand && !hand->second.back;
  bool cold = cold_since_ && s.entry.online_since && *s.entry.online_since > *cold_since_;
  if ((out || cold) && s.entry.readiness == Readiness::Ready)
    s.entry.readiness = Readiness::Draining;
  return s;
}

EndpointUpdate CordonList::all() const {
  EndpointUpdate heard;
  for (const auto& [uid, l] : listed_)
    heard.entries.push_back(seen(l));
  return heard;
}

EndpointUpdate CordonList::hold_cold(std::optional<Time> since) {
  cold_since_ = since;
  return all();
}

EndpointUpdate CordonList::inherit(std::map<std::string, ByHand> by_hand) {
  by_hand_ = std::move(by_hand);
  return all();
}

std::optional<EndpointUpdate> CordonList::cordon(const std::string& uid, Time now) {
  auto listed = listed_.find(uid);
  auto hand = by_hand_.find(uid);
  bool out = hand != by_hand_.end() && !hand->second.back;
  if (listed == listed_.end() && !out)
    return std::nullopt;
  if (!out)
    by_hand_[uid] = {now, std::nullopt};
  EndpointUpdate heard;
  if (listed != listed_.end())
    heard.entries.push_back(seen(listed->second));
  return heard;
}

std::optional<EndpointUpdate> CordonList::uncordon(const std::string& uid, Time now) {
  auto listed = listed_.find(uid);
  auto hand = by_hand_.find(uid);
  if (listed == listed_.end() && hand == by_hand_.end())
    return std::nullopt;
  EndpointUpdate heard;
  if (hand == by_hand_.end() || hand->second.back)
    return heard;
  hand->second.back = now;
  if (listed == listed_.end())
    return heard;
  const auto& start = listed->second.entry.online_since;
  if (start && *start > hand->second.since)
    by_hand_.erase(hand);  // discovery has told of the restart
  heard.entries.push_back(seen(listed->second));
  return heard;
}

}  // namespace dispatcher::operations

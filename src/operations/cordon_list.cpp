#include "operations/cordon_list.h"

namespace dispatcher::operations {

using protocol::Listed;
using protocol::NameList;
using scheduling::Readiness;
using scheduling::Time;

NameList Roster::apply(const NameList& news) {
  if (news.whole)
    listed_.clear();
  revision_ = news.revision;
  NameList out{news.revision, news.whole, {}};
  for (const Listed& l : news.entries) {
    if (l.entry.readiness == Readiness::Gone) {
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

// An instance is restarted while it is out, and discovery may tell of that late or not at all:
// until it does, whoever comes back counts as started with the call back, and gets a cold
// instance's budget.
Listed Roster::seen(const Listed& l) const {
  Listed s = l;
  auto hand = by_hand_.find(l.uid);
  bool by_hand = hand != by_hand_.end();
  if (by_hand && hand->second.back)
    s.entry.online_since = hand->second.back;
  bool out = by_hand && !hand->second.back;
  bool cold = cold_since_ && s.entry.online_since && *s.entry.online_since > *cold_since_;
  if ((out || cold) && s.entry.readiness == Readiness::Ready)
    s.entry.readiness = Readiness::Terminating;
  return s;
}

NameList Roster::all() const {
  NameList heard;
  for (const auto& [uid, l] : listed_)
    heard.entries.push_back(seen(l));
  return heard;
}

NameList Roster::hold_cold(std::optional<Time> since) {
  cold_since_ = since;
  return all();
}

NameList Roster::inherit(std::map<std::string, ByHand> by_hand) {
  by_hand_ = std::move(by_hand);
  return all();
}

std::optional<NameList> Roster::cordon(const std::string& uid, Time now) {
  auto listed = listed_.find(uid);
  auto hand = by_hand_.find(uid);
  bool out = hand != by_hand_.end() && !hand->second.back;
  if (listed == listed_.end() && !out)
    return std::nullopt;
  if (!out)
    by_hand_[uid] = {now, std::nullopt};
  NameList heard;
  if (listed != listed_.end())
    heard.entries.push_back(seen(listed->second));
  return heard;
}

std::optional<NameList> Roster::uncordon(const std::string& uid, Time now) {
  auto listed = listed_.find(uid);
  auto hand = by_hand_.find(uid);
  if (listed == listed_.end() && hand == by_hand_.end())
    return std::nullopt;
  NameList heard;
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

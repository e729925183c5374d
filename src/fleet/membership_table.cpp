#include "fleet/membership_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string>

#include "fleet/byte_order.h"

namespace dispatcher::fleet {
namespace {

constexpr std::size_t kMaxMembers = 4096;  // bounds what foreign datagrams can allocate
constexpr double kFlapDampingThreshold = 2.5;
// Multipliers that spread the members over the digest parts; the same at every member.
constexpr std::uint32_t kAddressFactor = 2654435761U;
constexpr std::uint32_t kPortFactor = 40503U;

std::size_t part_of(const Endpoint& endpoint) {
  return (endpoint.address * kAddressFactor ^ endpoint.port * kPortFactor) >> 12 &
         (kDigestParts - 1);
}

std::uint64_t hash(const MemberUpdate& update) {
  if (is_gone(update.state))
    return 0;
  std::string bytes;
  append_endpoint(bytes, update.endpoint);
  append_integer(bytes, static_cast<std::uint64_t>(update.state), 1);
  append_integer(bytes, update.incarnation, 4);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

MembershipTable::MembershipTable(Endpoint self, std::uint32_t incarnation, Duration flap_half_life)
    : self_(self),
      incarnation_(incarnation),
      flap_half_life_(flap_half_life),
      digest_(hash({.endpoint = self, .state = MemberState::Alive, .incarnation = incarnation})) {}

std::size_t MembershipTable::count(MemberState state) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      members_, [&](const auto& entry) { return entry.second.state == state; }));
}

std::vector<Endpoint> MembershipTable::in_state(MemberState state) const {
  std::vector<Endpoint> found;
  for (const auto& [endpoint, member] : members_) {
    if (member.state == state)
      found.push_back(endpoint);
  }
  return found;
}

const Member* MembershipTable::find(const Endpoint& endpoint) const {
  auto it = members_.find(endpoint);
  return it == members_.end() ? nullptr : &it->second;
}

void MembershipTable::add_configured(const Endpoint& endpoint, Time now) {
  configured_.insert(endpoint);
  if (endpoint == self_)
    return;
  Member member{.state = MemberState::Alive, .incarnation = 0, .since = now};
  if (members_.try_emplace(endpoint, member).second)
    digest_ ^= hash({.endpoint = endpoint, .state = MemberState::Alive, .incarnation = 0});
}

MembershipTable::Change MembershipTable::set(Time now, const MemberUpdate& update) {
  auto [it, inserted] = members_.try_emplace(update.endpoint);
  Member& member = it->second;
  if (!inserted)
    digest_ ^= hash({update.endpoint, member.state, member.incarnation});
  Change change{.state_changed = inserted || member.state != update.state,
                .incarnation_rose = update.incarnation > member.incarnation};
  if (change.state_changed)
    member.since = now;
  if (!inserted && member.state == MemberState::Dead && update.state == MemberState::Alive) {
    member.flaps = flaps(now, member) + 1;
    member.flaps_at = now;
  }
  member.state = update.state;
  member.incarnation = update.incarnation;
  digest_ ^= hash(update);
  return change;
}

void MembershipTable::set_round_trip(const Endpoint& endpoint, Duration round_trip) {
  if (auto it = members_.find(endpoint); it != members_.end())
    it->second.round_trip = round_trip.count();
}

void MembershipTable::set_incarnation(std::uint32_t incarnation) {
  digest_ ^= hash({self_, MemberState::Alive, incarnation_});
  incarnation_ = incarnation;
  digest_ ^= hash({self_, MemberState::Alive, incarnation_});
}

std::vector<Endpoint> MembershipTable::remove_gone(Time now, Duration retention) {
  std::vector<Endpoint> removed;
  std::erase_if(members_, [&](const auto& entry) {
    const auto& [endpoint, member] = entry;
    bool expired = is_gone(member.state) && now - member.since >= retention;
    if (!expired || configured_.contains(endpoint))
      return false;
    removed.push_back(endpoint);
    return true;
  });
  return removed;
}

bool MembershipTable::full() const {
  return members_.size() >= kMaxMembers;
}

std::optional<Endpoint> MembershipTable::evict_oldest_gone() {
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if (!is_gone(it->second.state) || configured_.contains(it->first))
      continue;
    if (oldest == members_.end() || it->second.since < oldest->second.since)
      oldest = it;
  }
  if (oldest == members_.end())
    return std::nullopt;
  Endpoint evicted = oldest->first;
  members_.erase(oldest);
  return evicted;
}

double MembershipTable::flaps(Time now, const Member& member) const {
  return member.flaps * std::exp2(-((now - member.flaps_at) / flap_half_life_));
}

bool MembershipTable::damped(Time now, const Endpoint& endpoint) const {
  const Member* member = find(endpoint);
  return member != nullptr && flaps(now, *member) > kFlapDampingThreshold;
}

PartDigests MembershipTable::part_digests() const {
  PartDigests digests{};
  digests[part_of(self_)] ^= hash({self_, MemberState::Alive, incarnation_});
  for (const auto& [endpoint, member] : members_)
    digests[part_of(endpoint)] ^= hash({endpoint, member.state, member.incarnation});
  return digests;
}

std::vector<MemberUpdate> MembershipTable::differing_updates(const PartDigests& other,
                                                             MemberState self_state) const {
  PartDigests own = part_digests();
  std::vector<MemberUpdate> updates;
  auto add_if_different = [&](const MemberUpdate& update) {
    std::size_t part = part_of(update.endpoint);
    if (own[part] != other[part])
      updates.push_back(update);
  };
  add_if_different({self_, self_state, incarnation_});
  for (const auto& [endpoint, member] : members_)
    add_if_different({endpoint, member.state, member.incarnation});
  return updates;
}

}  // namespace dispatcher::fleet

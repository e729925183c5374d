// The states of the other members of the fleet as one dispatcher knows them, with digests for
// comparing two tables. The caller passes in the time. Not thread-safe.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fleet/endpoint.h"
#include "fleet/membership_datagram.h"

namespace dispatcher::fleet {

using scheduling::Duration;
using scheduling::Time;

struct Member {
  MemberState state = MemberState::Alive;
  std::uint32_t incarnation = 0;
  Time since{};            // start of this state
  double round_trip = -1;  // ms; below 0: not measured yet
  double flaps = 0;        // changes from dead to alive as of flaps_at; decays exponentially
  Time flaps_at{};
};

class MembershipTable {
 public:
  // `flap_half_life`: time in which a member's flap count halves.
  MembershipTable(Endpoint self, std::uint32_t incarnation, Duration flap_half_life);

  const Endpoint& self() const { return self_; }
  std::uint32_t incarnation() const { return incarnation_; }              // of this member
  const std::map<Endpoint, Member>& members() const { return members_; }  // without this one
  std::size_t count(MemberState state) const;
  std::vector<Endpoint> in_state(MemberState state) const;
  // Returns null if the endpoint is not in the table.
  const Member* find(const Endpoint& endpoint) const;
  bool contains(const Endpoint& endpoint) const { return members_.contains(endpoint); }

  // Adds a member that is never removed; alive with the lowest incarnation until an update arrives.
  void add_configured(const Endpoint& endpoint, Time now);

  struct Change {
    bool state_changed = false;
    bool incarnation_rose = false;
  };
  Change set(Time now, const MemberUpdate& update);
  void set_round_trip(const Endpoint& endpoint, Duration round_trip);
  void set_incarnation(std::uint32_t incarnation);  // of this member

  // Removes members that have been gone for `retention`; returns them.
  std::vector<Endpoint> remove_gone(Time now, Duration retention);
  bool full() const;
  // Removes the member that has been gone longest, unless configured; nullopt if there is none.
  std::optional<Endpoint> evict_oldest_gone();

  // True if the member changed from dead to alive too often recently.
  bool damped(Time now, const Endpoint& endpoint) const;

  // Digest of the alive and suspect members, this one included. Gone members are left out, since
  // not all dispatchers remove them at the same time.
  std::uint64_t digest() const { return digest_; }
  PartDigests part_digests() const;
  // Returns the states of all members in those parts whose digest differs from the one in `other`.
  // Includes this member, in state `self_state`, if its part differs.
  std::vector<MemberUpdate> differing_updates(const PartDigests& other,
                                              MemberState self_state) const;

 private:
  double flaps(Time now, const Member& member) const;

  Endpoint self_;
  std::uint32_t incarnation_;
  Duration flap_half_life_;
  std::map<Endpoint, Member> members_;
  std::set<Endpoint> configured_;
  std::uint64_t digest_ = 0;
};

}  // namespace dispatcher::fleet

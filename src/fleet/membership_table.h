// What one dispatcher holds of the other members of its fleet, with digests for comparing two
// tables. Pure data: time comes from the caller. Not thread-safe.
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
  State state = State::Alive;
  std::uint32_t incarnation = 0;
  Time since{};            // of this state
  double round_trip = -1;  // ms; below 0: not measured yet
  double flaps = 0;        // returns from the dead as of flaps_at; decays exponentially
  Time flaps_at{};
};

class MembershipTable {
 public:
  // `flap_half_life`: time in which a member's flap count halves.
  MembershipTable(Endpoint self, std::uint32_t incarnation, Duration flap_half_life);

  const Endpoint& self() const { return self_; }
  std::uint32_t incarnation() const { return incarnation_; }              // of this member itself
  const std::map<Endpoint, Member>& members() const { return members_; }  // without itself
  std::size_t count(State state) const;
  std::vector<Endpoint> in_state(State state) const;
  // Null where the endpoint is not in the table.
  const Member* find(const Endpoint& who) const;
  bool contains(const Endpoint& who) const { return members_.contains(who); }

  // Adds a member that is never forgotten, alive with the lowest incarnation until it is heard of.
  void add_configured(const Endpoint& who, Time now);

  struct Change {
    bool state_changed = false;
    bool incarnation_rose = false;
  };
  Change set(Time now, const MemberUpdate& update);
  void set_round_trip(const Endpoint& who, Duration round_trip);
  void set_incarnation(std::uint32_t incarnation);  // of this member itself

  // Removes members that have been gone for `retention`; returns them.
  std::vector<Endpoint> remove_gone(Time now, Duration retention);
  bool full() const;
  // Removes the member that has been gone longest; nothing where none is gone.
  std::optional<Endpoint> evict_oldest_gone();

  // Too many recent returns from the dead.
  bool damped(Time now, const Endpoint& who) const;

  // Of the alive and suspect members, this one included. Gone members do not count, since not all
  // dispatchers forget them at the same time.
  std::uint64_t digest() const { return digest_; }
  PartDigests part_digests() const;
  // Updates for all members, this one as `self_state`, whose part differs from that in `other`.
  std::vector<MemberUpdate> differing_updates(const PartDigests& other, State self_state) const;

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

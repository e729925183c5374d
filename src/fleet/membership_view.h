// Failure detector and membership of the fleet after SWIM, with Lifeguard's local health, as one
// member sees it. Each protocol period one member is pinged; without an ack in time others are
// asked to ping it (ping-req); without any ack it becomes suspect, and dead unless it refutes that
// with a higher incarnation. Updates travel as gossip in these datagrams; digests find what gossip
// missed. For operators and for saving messages: no scheduling decision rests on it.
// docs/design/fleet-view.md compares the alternatives.
//
// Pure: bytes and time in, bytes and events out. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpoint.h"
#include "fleet/gossip_queue.h"
#include "fleet/membership_datagram.h"
#include "fleet/membership_table.h"

namespace dispatcher::fleet {

class MembershipView {
 public:
  using Entry = MemberUpdate;
  struct Options {
    Endpoint self;
    std::vector<Endpoint> others;   // configured members, all or some seeds; never forgotten
    std::uint32_t incarnation = 1;  // must be higher than at the last start
    std::vector<Entry> known;       // table of the process that this one replaces
    std::uint64_t seed = 0;         // of the random choices
    Duration period{1000};          // protocol period; call tick() at least ten times in it
    Duration answer_in{300};        // ack timeout, after which other members are asked to ping
    Duration forget{3'600'000};     // a gone member is kept for, unless it is configured
    std::size_t longest = kMaxDatagramBytes;  // bytes of a datagram sent
    bool local_health = true;                 // off only to measure its effect
    // Returns payload for a datagram to this member, at most `room` bytes.
    std::function<std::string(const Endpoint& to, std::size_t room)> riding{};
    // Receives the payload of a datagram.
    std::function<void(const Endpoint& from, std::string_view bytes)> carried{};
  };
  using Send = std::function<void(const Endpoint& to, const std::string& bytes)>;
  // `other`: the state differs from the last one; otherwise only the incarnation rose.
  using Changed = std::function<void(const Endpoint& member, State state, std::uint32_t incarnation,
                                     bool other)>;

  MembershipView(Options options, Time now, Send send, Changed changed);

  void tick(Time now);
  // Handles a received datagram. False: it is invalid and was ignored.
  bool take(Time now, const Endpoint& from, std::string_view bytes);
  // Announces that this member leaves. Nothing is sent or handled afterwards.
  void leave(Time now);

  std::uint64_t digest() const { return table_.digest(); }
  std::uint32_t incarnation() const { return table_.incarnation(); }
  const Endpoint& self() const { return table_.self(); }
  const std::map<Endpoint, Member>& members() const { return table_.members(); }  // without itself
  std::size_t count(State state) const { return table_.count(state); }            // without itself
  // The member returned from the dead so often of late that it should not be relied on.
  bool damped(Time now, const Endpoint& who) const { return table_.damped(now, who); }
  std::uint64_t sent() const { return sent_; }        // datagrams
  std::uint64_t dropped() const { return dropped_; }  // invalid datagrams
  // Local health: pings during which nothing at all was received, less those acknowledged.
  int health_score() const { return health_score_; }

 private:
  // The ping of the current protocol period.
  struct Ping {
    Endpoint target;
    std::uint32_t sequence = 0;
    Time sent_at{};
    bool acknowledged = false;
    bool helpers_asked = false;
  };
  // A ping made on behalf of another member.
  struct RelayedPing {
    Endpoint requester;
    Endpoint target;
    std::uint32_t sequence = 0;  // the requester's
    Time sent_at{};
  };
  struct Suspicion {
    Time since{};
    bool confirmed_here = false;  // a ping of this member had no ack
  };

  void resume_after_pause(Time now);
  void ask_helpers_if_late(Time now);
  void expire_suspicions(Time now);
  void send_gossip_if_due(Time now);
  void begin_period(Time now);
  void end_period(Time now);
  void suspect_unacknowledged(Time now, const Ping& ping);
  void ping_suspects(const Endpoint& already_pinged);
  std::optional<Endpoint> next_to_ping();
  std::optional<Endpoint> next_in_round();

  void apply(Time now, const Entry& update);
  void apply_about_self(const Entry& update);
  void set(Time now, const Entry& update);
  bool make_room();

  void handle(Time now, const Endpoint& from, const MembershipDatagram& datagram);
  void apply_updates(Time now, const Endpoint& from, const MembershipDatagram& datagram);
  void relay_ping(Time now, const Endpoint& from, const MembershipDatagram& datagram);
  void handle_ack(Time now, const Endpoint& from, const MembershipDatagram& datagram);
  void answer_compare(Time now, const Endpoint& from, const PartDigests& digests);

  // Sends a datagram with the most urgent gossip for the receiver.
  void send_with_gossip(const Endpoint& to, DatagramKind kind, std::uint32_t sequence = 0,
                        const Endpoint& target = {});
  void send(const Endpoint& to, MembershipDatagram datagram);
  std::vector<Entry> gossip_for(const Endpoint& to);
  Entry update_of(const Endpoint& who) const;

  const Endpoint& random_of(const std::vector<Endpoint>& members);
  double log_size() const;
  Duration suspicion_timeout() const;
  int max_sends_of_update() const;

  Options options_;
  Send send_;
  Changed changed_;
  std::mt19937_64 random_;
  MembershipTable table_;
  GossipQueue gossip_;
  std::map<Endpoint, Suspicion> suspicions_;
  std::vector<Endpoint> round_;  // members still to be pinged in this round, in random order
  std::optional<Ping> ping_;
  std::map<std::uint32_t, RelayedPing> relayed_pings_;  // by the sequence number used here
  std::uint32_t sequence_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t dropped_ = 0;
  Time period_began_{};
  Time last_tick_{};
  Time last_gossip_{};
  Time last_received_{};
  Time last_compare_answer_{Duration(-1e12)};
  int health_score_ = 0;               // 0: healthy
  bool last_digest_differed_ = false;  // of the datagram received last
  bool left_ = false;
};

}  // namespace dispatcher::fleet

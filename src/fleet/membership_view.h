// One member's view of the fleet: SWIM failure detection and membership with Lifeguard's local
// health. In each protocol period one member is pinged; without an ack in time, others are asked to
// ping it (ping-req); without any ack it becomes suspect, and then dead unless it refutes that with
// a higher incarnation. Updates are gossiped in these datagrams; comparing digests finds updates
// that gossip missed. Serves operators and saves messages; no scheduling decision depends on it.
// docs/design/fleet-view.md compares the alternatives.
//
// Does no I/O: the caller passes in the time and received bytes and is called back with datagrams
// to send and with events. Not thread-safe.
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
  using Update = MemberUpdate;
  struct Options {
    Endpoint self;
    std::vector<Endpoint> configured_members;  // all members or some seeds; never removed
    std::uint32_t incarnation = 1;             // must be higher than at the previous start
    std::vector<Update> inherited_members;     // table of the outgoing process
    std::uint64_t seed = 0;                    // of the random numbers
    Duration period{1000};               // protocol period; call tick() at least ten times in it
    Duration ack_timeout{300};           // then other members are asked to ping
    Duration gone_retention{3'600'000};  // then a gone member is removed, unless it is configured
    std::size_t max_datagram_bytes = kMaxDatagramBytes;  // of a datagram that is sent
    bool local_health = true;                            // off only to measure its effect
    // Returns the payload for a datagram to this member, at most `max_bytes` bytes.
    std::function<std::string(const Endpoint& to, std::size_t max_bytes)> payload_for{};
    // Receives the payload of a datagram from this member.
    std::function<void(const Endpoint& from, std::string_view bytes)> on_payload{};
  };
  using SendCallback = std::function<void(const Endpoint& to, const std::string& bytes)>;
  // `state_changed`: false if only the incarnation rose.
  using ChangeCallback = std::function<void(const Endpoint& member, MemberState state,
                                            std::uint32_t incarnation, bool state_changed)>;

  MembershipView(Options options, Time now, SendCallback send, ChangeCallback changed);

  void tick(Time now);
  // Handles a received datagram. Returns false if it is invalid and was ignored.
  bool handle_datagram(Time now, const Endpoint& from, std::string_view bytes);
  // Announces that this member leaves. Nothing is sent or handled afterwards.
  void leave(Time now);

  std::uint64_t digest() const { return table_.digest(); }
  std::uint32_t incarnation() const { return table_.incarnation(); }
  const Endpoint& self() const { return table_.self(); }
  // members() and count() leave out this member itself.
  const std::map<Endpoint, Member>& members() const { return table_.members(); }
  std::size_t count(MemberState state) const { return table_.count(state); }
  // True if the member changed from dead to alive too often recently to be relied on.
  bool damped(Time now, const Endpoint& endpoint) const { return table_.damped(now, endpoint); }
  std::uint64_t sent() const { return sent_; }        // datagrams
  std::uint64_t dropped() const { return dropped_; }  // invalid datagrams
  // Local health: pings during which nothing at all was received, minus those acknowledged.
  int health_score() const { return health_score_; }

 private:
  // The ping of the current protocol period.
  struct Ping {
    Endpoint target;
    std::uint32_t sequence = 0;
    Time sent_at{};
    bool acknowledged = false;
    bool relays_asked = false;
  };
  // A ping sent on behalf of another member.
  struct RelayedPing {
    Endpoint requester;
    Endpoint target;
    std::uint32_t sequence = 0;  // the requester's
    Time sent_at{};
  };
  struct Suspicion {
    Time since{};
    bool confirmed_locally = false;  // a ping sent by this member had no ack
  };

  void resume_after_pause(Time now);
  void ask_relays_if_late(Time now);
  void expire_suspicions(Time now);
  void send_gossip_if_due(Time now);
  void begin_period(Time now);
  void end_period(Time now);
  void suspect_unacknowledged(Time now, const Ping& ping);
  void ping_suspects(const Endpoint& already_pinged);
  std::optional<Endpoint> next_to_ping();
  std::optional<Endpoint> next_in_round();

  void apply(Time now, const Update& update);
  void apply_about_self(const Update& update);
  void set(Time now, const Update& update);
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
  std::vector<Update> gossip_for(const Endpoint& to);
  Update update_of(const Endpoint& endpoint) const;

  const Endpoint& random_member(const std::vector<Endpoint>& members);
  double log_size() const;
  Duration suspicion_timeout() const;
  int max_sends_of_update() const;

  Options options_;
  SendCallback send_;
  ChangeCallback changed_;
  std::mt19937_64 random_;
  MembershipTable table_;
  GossipQueue gossip_;
  std::map<Endpoint, Suspicion> suspicions_;
  std::vector<Endpoint> round_;  // members still to be pinged in this round, in random order
  std::optional<Ping> ping_;
  std::map<std::uint32_t, RelayedPing> relayed_pings_;  // by this member's sequence number
  std::uint32_t sequence_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t dropped_ = 0;
  Time period_started_at_{};
  Time last_tick_at_{};
  Time last_gossip_at_{};
  Time last_received_at_{};
  Time last_compare_answer_at_{Duration(-1e12)};
  int health_score_ = 0;               // 0: healthy
  bool last_digest_differed_ = false;  // of the datagram received last
  bool left_ = false;
};

}  // namespace dispatcher::fleet

#include "fleet/membership_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dispatcher::fleet {
namespace {

constexpr int kMaxHealthScore = 8;
constexpr int kPauseHealthPenalty = 2;
constexpr double kHealthPerSuspicionTimeout = 8;     // this score doubles the suspicion timeout
constexpr double kHealthPerAckTimeout = 4;           // this score doubles the ack timeout
constexpr std::size_t kMaxRelays = 3;                // members asked by ping-req for one ping
constexpr std::uint64_t kSuspectPingsPerPeriod = 3;  // expected number
// Factor on the timeout of suspicions learned from others: the member whose ping had no ack
// declares the suspect dead.
constexpr int kIndirectSuspicionFactor = 3;
constexpr std::uint32_t kDeadPingInterval = 4;  // one in this many pings goes to a dead member
constexpr std::size_t kMaxLeaveNotices = 8;
constexpr int kFlapHalfLifePeriods = 60;
constexpr int kMaxGossipPerPeriod = 10;  // datagrams besides pings and acks

}  // namespace

MembershipView::MembershipView(Options options, Time now, SendCallback send, ChangeCallback changed)
    : options_(std::move(options)),
      send_(std::move(send)),
      changed_(std::move(changed)),
      random_(options_.seed),
      table_(options_.self, options_.incarnation, options_.period * kFlapHalfLifePeriods),
      last_tick_at_(now) {
  for (const Endpoint& other : options_.configured_members)
    table_.add_configured(other, now);
  gossip_.restart(self());
  for (const Update& known : options_.inherited_members) {
    if (table_.contains(known.endpoint) || known.endpoint == self()) {
      apply(now, known);
    } else {
      set(now, known);  // gone members too, which apply() would not add
    }
  }
  // A random phase, so that members that start together do not ping in lockstep.
  std::uniform_real_distribution<double> phase(0, 1);
  period_started_at_ = now - options_.period * phase(random_);
}

const Endpoint& MembershipView::random_member(const std::vector<Endpoint>& members) {
  return members[random_() % members.size()];
}

double MembershipView::log_size() const {
  return std::log2(static_cast<double>(members().size()) + 2);
}

// Enough for an update to reach nearly all members; the rest receive it after comparing digests.
int MembershipView::max_sends_of_update() const {
  return static_cast<int>(std::ceil(log_size()));
}

// Time for the suspicion and then its refutation to reach all members; longer if this member's own
// health is poor.
Duration MembershipView::suspicion_timeout() const {
  return options_.period * (log_size() / 2 + 1) * (1 + health_score_ / kHealthPerSuspicionTimeout);
}

void MembershipView::tick(Time now) {
  if (left_)
    return;
  bool paused = now - last_tick_at_ > options_.period;
  last_tick_at_ = now;
  if (paused) {
    resume_after_pause(now);
    return;
  }
  ask_relays_if_late(now);
  expire_suspicions(now);
  send_gossip_if_due(now);
  if (now - period_started_at_ < options_.period)
    return;
  period_started_at_ += options_.period;
  end_period(now);
  begin_period(now);
}

// This process was stopped for a while, so missing acks say nothing about the other members.
void MembershipView::resume_after_pause(Time now) {
  if (options_.local_health)
    health_score_ = std::min(kMaxHealthScore, health_score_ + kPauseHealthPenalty);
  ping_.reset();
  for (auto& [endpoint, suspicion] : suspicions_)
    suspicion.since = now;
  period_started_at_ = now;
  begin_period(now);
}

void MembershipView::ask_relays_if_late(Time now) {
  Duration timeout = options_.ack_timeout * (1 + health_score_ / kHealthPerAckTimeout);
  if (!ping_ || ping_->acknowledged || ping_->relays_asked || now - ping_->sent_at < timeout)
    return;
  ping_->relays_asked = true;
  std::vector<Endpoint> relays = table_.in_state(MemberState::Alive);
  std::erase(relays, ping_->target);
  std::ranges::shuffle(relays, random_);
  relays.resize(std::min(relays.size(), kMaxRelays));
  // The first ping may have been lost.
  send_with_gossip(ping_->target, DatagramKind::Ping, ping_->sequence);
  for (const Endpoint& relay : relays)
    send_with_gossip(relay, DatagramKind::PingRequest, ping_->sequence, ping_->target);
}

void MembershipView::expire_suspicions(Time now) {
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    auto [endpoint, suspicion] = *it;
    const Member* member = table_.find(endpoint);
    Duration timeout =
        suspicion_timeout() * (suspicion.confirmed_locally ? 1 : kIndirectSuspicionFactor);
    bool suspect = member != nullptr && member->state == MemberState::Suspect;
    bool expired = now - suspicion.since >= timeout;
    if (suspect && !expired) {
      ++it;
      continue;
    }
    it = suspicions_.erase(it);
    if (suspect)
      set(now, {endpoint, MemberState::Dead, member->incarnation});
  }
}

// Sends gossip in addition to pings while updates are queued, each of which is sent only a few
// times, or while the last received digest differs from that of this member.
void MembershipView::send_gossip_if_due(Time now) {
  if (gossip_.empty() && !last_digest_differed_)
    return;
  if (now - last_gossip_at_ < options_.period / kMaxGossipPerPeriod)
    return;
  last_gossip_at_ = now;
  std::vector<Endpoint> alive = table_.in_state(MemberState::Alive);
  if (alive.empty())
    return;
  // Updates about flapping members are sent only with pings.
  if (gossip_.contains_any([&](const Endpoint& endpoint) { return !damped(now, endpoint); })) {
    send_with_gossip(random_member(alive), DatagramKind::Gossip);
  } else if (last_digest_differed_) {
    const Endpoint& receiver = random_member(alive);
    send(receiver, {.kind = DatagramKind::Compare, .part_digests = table_.part_digests()});
  }
}

void MembershipView::end_period(Time now) {
  for (const Endpoint& removed : table_.remove_gone(now, options_.gone_retention))
    gossip_.remove(removed);
  std::erase_if(relayed_pings_, [&](const auto& relayed) {
    return now - relayed.second.sent_at > options_.period;
  });
  auto ping = std::exchange(ping_, std::nullopt);
  if (ping && !ping->acknowledged)
    suspect_unacknowledged(now, *ping);
}

void MembershipView::suspect_unacknowledged(Time now, const Ping& ping) {
  // If other members were heard from meanwhile, the fault is not on this side.
  if (last_received_at_ < ping.sent_at) {
    if (options_.local_health)
      health_score_ = std::min(kMaxHealthScore, health_score_ + 1);
  } else {
    period_started_at_ -= options_.period / 2;  // many may be gone: the next ping follows sooner
  }
  const Member* member = table_.find(ping.target);
  if (member != nullptr && member->state == MemberState::Alive)
    set(now, {ping.target, MemberState::Suspect, member->incarnation});
  if (auto it = suspicions_.find(ping.target); it != suspicions_.end())
    it->second.confirmed_locally = true;
}

void MembershipView::begin_period(Time now) {
  std::optional<Endpoint> target = next_to_ping();
  if (!target)
    return;
  MemberState state = table_.find(*target)->state;
  ++sequence_;
  // No ack is expected from a dead member.
  ping_ = Ping{.target = *target,
               .sequence = sequence_,
               .sent_at = now,
               .acknowledged = state == MemberState::Dead};
  // The target must learn of its reported state to refute it.
  if (state != MemberState::Alive)
    gossip_.add(*target);
  send_with_gossip(*target, DatagramKind::Ping, sequence_);
  ping_suspects(*target);
}

// Pings suspects again in each period and tells them of the suspicion: under message loss most
// suspicions are false, and a single refutation could be lost as well.
void MembershipView::ping_suspects(const Endpoint& already_pinged) {
  auto confirmed = static_cast<std::uint64_t>(std::ranges::count_if(
      suspicions_, [](const auto& entry) { return entry.second.confirmed_locally; }));
  for (const auto& [endpoint, suspicion] : suspicions_) {
    if (!suspicion.confirmed_locally || endpoint == already_pinged)
      continue;
    if (random_() % confirmed < kSuspectPingsPerPeriod) {
      send(endpoint,
           {.kind = DatagramKind::Ping, .sequence = sequence_, .updates = {update_of(endpoint)}});
    }
  }
}

// Returns a dead member from time to time: after a partition, these pings reconnect the two sides.
std::optional<Endpoint> MembershipView::next_to_ping() {
  bool ping_dead = sequence_ % kDeadPingInterval == kDeadPingInterval - 1;
  if (ping_dead || count(MemberState::Alive) + count(MemberState::Suspect) == 0) {
    std::vector<Endpoint> dead = table_.in_state(MemberState::Dead);
    if (!dead.empty())
      return random_member(dead);
  }
  return next_in_round();
}

// Returns every member once per round, in random order.
std::optional<Endpoint> MembershipView::next_in_round() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      Endpoint endpoint = round_.back();
      round_.pop_back();
      const Member* member = table_.find(endpoint);
      if (member != nullptr && !is_gone(member->state))
        return endpoint;
    }
    for (const auto& [endpoint, member] : members())
      round_.push_back(endpoint);
    std::ranges::shuffle(round_, random_);
  }
  return std::nullopt;
}

void MembershipView::set(Time now, const Update& update) {
  MembershipTable::Change change = table_.set(now, update);
  gossip_.restart(update.endpoint);
  if (update.state == MemberState::Suspect) {
    suspicions_.try_emplace(update.endpoint, Suspicion{.since = now});
  } else {
    suspicions_.erase(update.endpoint);
  }
  if (change.state_changed || change.incarnation_rose)
    changed_(update.endpoint, update.state, update.incarnation, change.state_changed);
}

std::vector<MembershipView::Update> MembershipView::gossip_for(const Endpoint& to) {
  std::vector<Update> updates;
  for (const Endpoint& endpoint :
       gossip_.take(to, max_updates(options_.max_datagram_bytes), max_sends_of_update(), random_))
    updates.push_back(update_of(endpoint));
  return updates;
}

MembershipView::Update MembershipView::update_of(const Endpoint& endpoint) const {
  if (endpoint == self())
    return {endpoint, left_ ? MemberState::Left : MemberState::Alive, incarnation()};
  const Member& member = members().at(endpoint);
  return {endpoint, member.state, member.incarnation};
}

void MembershipView::send_with_gossip(const Endpoint& to, DatagramKind kind, std::uint32_t sequence,
                                      const Endpoint& target) {
  send(to, {.kind = kind, .sequence = sequence, .target = target, .updates = gossip_for(to)});
}

// Adds this member's incarnation, its digest and the payload to the datagram.
void MembershipView::send(const Endpoint& to, MembershipDatagram datagram) {
  datagram.incarnation = incarnation();
  datagram.digest = digest();
  std::string payload;
  if (options_.payload_for) {
    payload = options_.payload_for(to, payload_capacity(datagram, options_.max_datagram_bytes));
    datagram.payload = payload;
  }
  ++sent_;
  send_(to, encode(datagram));
}

void MembershipView::leave(Time) {
  if (std::exchange(left_, true))
    return;
  std::vector<Endpoint> receivers = table_.in_state(MemberState::Alive);
  std::ranges::shuffle(receivers, random_);
  receivers.resize(std::min(receivers.size(), kMaxLeaveNotices));
  for (const Endpoint& receiver : receivers) {
    gossip_.restart(self());
    send_with_gossip(receiver, DatagramKind::Gossip);
  }
}

}  // namespace dispatcher::fleet

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
constexpr std::size_t kHelpers = 3;                  // members asked by ping-req
constexpr std::uint64_t kSuspectPingsPerPeriod = 3;  // expected number
// Suspicions heard from others take so much longer: whoever pinged in vain announces the end.
constexpr int kIndirectSuspicionFactor = 3;
constexpr std::uint32_t kDeadPingInterval = 4;  // every so many pings one goes to a dead member
constexpr std::size_t kMaxFarewells = 8;
constexpr int kFlapHalfLifePeriods = 60;
constexpr int kMaxGossipPerPeriod = 10;  // datagrams besides pings and acks

}  // namespace

MembershipView::MembershipView(Options options, Time now, Send send, Changed changed)
    : options_(std::move(options)),
      send_(std::move(send)),
      changed_(std::move(changed)),
      random_(options_.seed),
      table_(options_.self, options_.incarnation, options_.period * kFlapHalfLifePeriods),
      last_tick_(now) {
  for (const Endpoint& other : options_.others)
    table_.add_configured(other, now);
  gossip_.restart(self());
  for (const Entry& known : options_.known) {
    if (table_.contains(known.who) || known.who == self()) {
      apply(now, known);
    } else {
      set(now, known);  // gone members too, which apply() would not add
    }
  }
  // Members that start together must not ping in step.
  std::uniform_real_distribution<double> phase(0, 1);
  period_began_ = now - options_.period * phase(random_);
}

const Endpoint& MembershipView::random_of(const std::vector<Endpoint>& members) {
  return members[random_() % members.size()];
}

double MembershipView::log_size() const {
  return std::log2(static_cast<double>(members().size()) + 2);
}

// Enough for an update to reach nearly all members; digests bring it to the rest.
int MembershipView::max_sends_of_update() const {
  return static_cast<int>(std::ceil(log_size()));
}

// Time for the suspicion and then its refutation to reach all members, longer where this member's
// own health is poor.
Duration MembershipView::suspicion_timeout() const {
  return options_.period * (log_size() / 2 + 1) * (1 + health_score_ / kHealthPerSuspicionTimeout);
}

void MembershipView::tick(Time now) {
  if (left_)
    return;
  bool paused = now - last_tick_ > options_.period;
  last_tick_ = now;
  if (paused) {
    resume_after_pause(now);
    return;
  }
  ask_helpers_if_late(now);
  expire_suspicions(now);
  send_gossip_if_due(now);
  if (now - period_began_ < options_.period)
    return;
  period_began_ += options_.period;
  end_period(now);
  begin_period(now);
}

// This process was stopped for a while: the missing acks say nothing about the other members.
void MembershipView::resume_after_pause(Time now) {
  if (options_.local_health)
    health_score_ = std::min(kMaxHealthScore, health_score_ + kPauseHealthPenalty);
  ping_.reset();
  for (auto& [who, suspicion] : suspicions_)
    suspicion.since = now;
  period_began_ = now;
  begin_period(now);
}

void MembershipView::ask_helpers_if_late(Time now) {
  Duration ack_timeout = options_.answer_in * (1 + health_score_ / kHealthPerAckTimeout);
  if (!ping_ || ping_->acknowledged || ping_->helpers_asked || now - ping_->sent_at < ack_timeout)
    return;
  ping_->helpers_asked = true;
  std::vector<Endpoint> helpers = table_.in_state(State::Alive);
  std::erase(helpers, ping_->target);
  std::ranges::shuffle(helpers, random_);
  helpers.resize(std::min(helpers.size(), kHelpers));
  send_with_gossip(ping_->target, DatagramKind::Ping, ping_->sequence);  // the first may be lost
  for (const Endpoint& helper : helpers)
    send_with_gossip(helper, DatagramKind::PingRequest, ping_->sequence, ping_->target);
}

void MembershipView::expire_suspicions(Time now) {
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    auto [who, suspicion] = *it;
    const Member* member = table_.find(who);
    Duration timeout =
        suspicion_timeout() * (suspicion.confirmed_here ? 1 : kIndirectSuspicionFactor);
    bool suspect = member != nullptr && member->state == State::Suspect;
    bool expired = now - suspicion.since >= timeout;
    if (suspect && !expired) {
      ++it;
      continue;
    }
    it = suspicions_.erase(it);
    if (suspect)
      set(now, {who, State::Dead, member->incarnation});
  }
}

// Gossip beside the pings: while updates are queued, each of which is sent a few times only, and
// while the digest received last differs from that of this member.
void MembershipView::send_gossip_if_due(Time now) {
  if (gossip_.empty() && !last_digest_differed_)
    return;
  if (now - last_gossip_ < options_.period / kMaxGossipPerPeriod)
    return;
  last_gossip_ = now;
  std::vector<Endpoint> alive = table_.in_state(State::Alive);
  if (alive.empty())
    return;
  // Updates on flapping members travel with pings only.
  if (gossip_.contains_any([&](const Endpoint& who) { return !damped(now, who); })) {
    send_with_gossip(random_of(alive), DatagramKind::Gossip);
  } else if (last_digest_differed_) {
    const Endpoint& receiver = random_of(alive);
    send(receiver, {.kind = DatagramKind::Compare, .part_digests = table_.part_digests()});
  }
}

void MembershipView::end_period(Time now) {
  for (const Endpoint& removed : table_.remove_gone(now, options_.forget))
    gossip_.remove(removed);
  std::erase_if(relayed_pings_, [&](const auto& relayed) {
    return now - relayed.second.sent_at > options_.period;
  });
  auto ping = std::exchange(ping_, std::nullopt);
  if (ping && !ping->acknowledged)
    suspect_unacknowledged(now, *ping);
}

void MembershipView::suspect_unacknowledged(Time now, const Ping& ping) {
  // Where others were heard meanwhile, the fault is not on this side.
  if (last_received_ < ping.sent_at) {
    if (options_.local_health)
      health_score_ = std::min(kMaxHealthScore, health_score_ + 1);
  } else {
    period_began_ -= options_.period / 2;  // many may be gone: the next ping follows sooner
  }
  const Member* member = table_.find(ping.target);
  if (member != nullptr && member->state == State::Alive)
    set(now, {ping.target, State::Suspect, member->incarnation});
  if (auto it = suspicions_.find(ping.target); it != suspicions_.end())
    it->second.confirmed_here = true;
}

void MembershipView::begin_period(Time now) {
  std::optional<Endpoint> target = next_to_ping();
  if (!target)
    return;
  State state = table_.find(*target)->state;
  ++sequence_;
  // No ack is expected of a dead member.
  ping_ = Ping{.target = *target,
               .sequence = sequence_,
               .sent_at = now,
               .acknowledged = state == State::Dead};
  // The target must learn what is said of it, to refute it.
  if (state != State::Alive)
    gossip_.add(*target);
  send_with_gossip(*target, DatagramKind::Ping, sequence_);
  ping_suspects(*target);
}

// Pings suspects again in each period and tells them of the suspicion. Under message loss most
// suspicions are false, and their refutation must not be lost as well.
void MembershipView::ping_suspects(const Endpoint& already_pinged) {
  auto confirmed = static_cast<std::uint64_t>(std::ranges::count_if(
      suspicions_, [](const auto& entry) { return entry.second.confirmed_here; }));
  for (const auto& [who, suspicion] : suspicions_) {
    if (!suspicion.confirmed_here || who == already_pinged)
      continue;
    if (random_() % confirmed < kSuspectPingsPerPeriod)
      send(who, {.kind = DatagramKind::Ping, .sequence = sequence_, .updates = {update_of(who)}});
  }
}

// Now and then a dead member: after a partition the two sides find each other by these pings.
std::optional<Endpoint> MembershipView::next_to_ping() {
  bool turn_of_dead = sequence_ % kDeadPingInterval == kDeadPingInterval - 1;
  if (turn_of_dead || count(State::Alive) + count(State::Suspect) == 0) {
    std::vector<Endpoint> dead = table_.in_state(State::Dead);
    if (!dead.empty())
      return random_of(dead);
  }
  return next_in_round();
}

// Every member once in a round, in random order.
std::optional<Endpoint> MembershipView::next_in_round() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      Endpoint who = round_.back();
      round_.pop_back();
      const Member* member = table_.find(who);
      if (member != nullptr && !is_gone(member->state))
        return who;
    }
    for (const auto& [who, member] : members())
      round_.push_back(who);
    std::ranges::shuffle(round_, random_);
  }
  return std::nullopt;
}

void MembershipView::set(Time now, const Entry& update) {
  MembershipTable::Change change = table_.set(now, update);
  gossip_.restart(update.who);
  if (update.state == State::Suspect) {
    suspicions_.try_emplace(update.who, Suspicion{.since = now});
  } else {
    suspicions_.erase(update.who);
  }
  if (change.state_changed || change.incarnation_rose)
    changed_(update.who, update.state, update.incarnation, change.state_changed);
}

std::vector<MembershipView::Entry> MembershipView::gossip_for(const Endpoint& to) {
  std::vector<Entry> updates;
  for (const Endpoint& who :
       gossip_.take(to, max_updates(options_.longest), max_sends_of_update(), random_))
    updates.push_back(update_of(who));
  return updates;
}

MembershipView::Entry MembershipView::update_of(const Endpoint& who) const {
  if (who == self())
    return {who, left_ ? State::Left : State::Alive, incarnation()};
  const Member& member = members().at(who);
  return {who, member.state, member.incarnation};
}

void MembershipView::send_with_gossip(const Endpoint& to, DatagramKind kind, std::uint32_t sequence,
                                      const Endpoint& target) {
  send(to, {.kind = kind, .sequence = sequence, .target = target, .updates = gossip_for(to)});
}

// Completes the datagram with the sender's state and the payload.
void MembershipView::send(const Endpoint& to, MembershipDatagram datagram) {
  datagram.incarnation = incarnation();
  datagram.digest = digest();
  std::string payload;
  if (options_.riding) {
    payload = options_.riding(to, payload_capacity(datagram, options_.longest));
    datagram.payload = payload;
  }
  ++sent_;
  send_(to, encode(datagram));
}

void MembershipView::leave(Time) {
  if (std::exchange(left_, true))
    return;
  std::vector<Endpoint> receivers = table_.in_state(State::Alive);
  std::ranges::shuffle(receivers, random_);
  receivers.resize(std::min(receivers.size(), kMaxFarewells));
  for (const Endpoint& receiver : receivers) {
    gossip_.restart(self());
    send_with_gossip(receiver, DatagramKind::Gossip);
  }
}

}  // namespace dispatcher::fleet

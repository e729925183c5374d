// The receiving side of MembershipView: what datagrams and their updates change, and the answers.
#include <algorithm>
#include <span>

#include "fleet/membership_view.h"

namespace dispatcher::fleet {
namespace {

constexpr std::size_t kMaxCompareReplies = 4;  // datagrams for one compare datagram
constexpr int kMaxCompareAnswersPerPeriod = 40;
constexpr std::size_t kMaxRelayedPings = 256;

}  // namespace

// Removes a gone member where the table is full. False: there is no room for another one.
bool MembershipView::make_room() {
  if (!table_.full())
    return true;
  auto evicted = table_.evict_oldest_gone();
  if (!evicted)
    return false;
  gossip_.remove(*evicted);
  return true;
}

// The higher incarnation wins; within one incarnation the graver state. The result does not depend
// on the order in which updates arrive.
void MembershipView::apply(Time now, const Entry& update) {
  if (update.who == self()) {
    apply_about_self(update);
    return;
  }
  const Member* member = table_.find(update.who);
  if (member == nullptr) {
    // An unknown gone member was forgotten here, and stays so.
    if (!is_gone(update.state) && make_room())
      set(now, update);
    return;
  }
  bool newer = update.incarnation > member->incarnation ||
               (update.incarnation == member->incarnation && update.state > member->state);
  if (newer)
    set(now, update);
}

// Refutes what is said of this member, also by an earlier process of it.
void MembershipView::apply_about_self(const Entry& update) {
  bool accused = update.state != State::Alive && update.incarnation == incarnation();
  if (!accused && update.incarnation <= incarnation())
    return;
  table_.set_incarnation(update.incarnation + 1);
  gossip_.restart(self());
}

bool MembershipView::take(Time now, const Endpoint& from, std::string_view bytes) {
  auto datagram = decode_membership_datagram(bytes);
  if (!datagram || from == self()) {
    ++dropped_;
    return false;
  }
  if (!left_)
    handle(now, from, *datagram);
  return true;
}

void MembershipView::handle(Time now, const Endpoint& from, const MembershipDatagram& datagram) {
  last_received_ = now;
  if (!datagram.payload.empty() && options_.carried)
    options_.carried(from, datagram.payload);
  apply_updates(now, from, datagram);
  switch (datagram.kind) {
    case DatagramKind::Ping:
      send_with_gossip(from, DatagramKind::Ack, datagram.sequence, self());
      break;
    case DatagramKind::Ack:
      handle_ack(now, from, datagram);
      break;
    case DatagramKind::PingRequest:
      relay_ping(now, from, datagram);
      break;
    case DatagramKind::Gossip:
      break;
    case DatagramKind::Compare:
      answer_compare(now, from, datagram.part_digests);
      break;
  }
}

void MembershipView::apply_updates(Time now, const Endpoint& from,
                                   const MembershipDatagram& datagram) {
  bool leaves = std::ranges::any_of(datagram.updates, [&](const Entry& update) {
    return update.who == from && update.state == State::Left;
  });
  if (!leaves)
    apply(now, {from, State::Alive, datagram.incarnation});
  for (const Entry& update : datagram.updates)
    apply(now, update);
  last_digest_differed_ = datagram.digest != digest();
  // A sender that is suspect or dead in this very incarnation is told so, to refute it.
  const Member* sender = table_.find(from);
  if (sender != nullptr && sender->state != State::Alive && !leaves)
    gossip_.restart(from);
}

void MembershipView::relay_ping(Time now, const Endpoint& from,
                                const MembershipDatagram& datagram) {
  if (relayed_pings_.size() >= kMaxRelayedPings)
    return;
  ++sequence_;
  relayed_pings_[sequence_] = {
      .requester = from, .target = datagram.target, .sequence = datagram.sequence, .sent_at = now};
  if (table_.contains(datagram.target))
    send_with_gossip(datagram.target, DatagramKind::Ping, sequence_);
}

void MembershipView::handle_ack(Time now, const Endpoint& from,
                                const MembershipDatagram& datagram) {
  auto relayed = relayed_pings_.find(datagram.sequence);
  if (relayed != relayed_pings_.end() && relayed->second.target == from) {
    send_with_gossip(relayed->second.requester, DatagramKind::Ack, relayed->second.sequence, from);
    relayed_pings_.erase(relayed);
  }
  if (!ping_ || ping_->sequence != datagram.sequence || ping_->target != datagram.target)
    return;
  if (from == ping_->target)
    table_.set_round_trip(from, now - ping_->sent_at);
  if (!ping_->acknowledged)
    health_score_ = std::max(0, health_score_ - 1);
  ping_->acknowledged = true;
}

// Sends the members of the parts whose digests differ: a few datagrams, however large the table is.
void MembershipView::answer_compare(Time now, const Endpoint& from, const PartDigests& digests) {
  // Bounds what a flood of such datagrams can make this member send.
  Duration min_interval = options_.period / kMaxCompareAnswersPerPeriod;
  if (!last_digest_differed_ || now - last_compare_answer_ < min_interval)
    return;
  last_compare_answer_ = now;
  std::vector<Entry> updates = table_.differing_updates(digests, update_of(self()).state);
  std::ranges::shuffle(updates, random_);  // where they are too many, other members send the rest
  std::span<const Entry> unsent(updates);
  std::size_t per_datagram = max_updates(options_.longest);
  for (std::size_t replies = 0; replies < kMaxCompareReplies && !unsent.empty(); ++replies) {
    auto batch = unsent.first(std::min(per_datagram, unsent.size()));
    send(from, {.kind = DatagramKind::Gossip, .updates = {batch.begin(), batch.end()}});
    unsent = unsent.subspan(batch.size());
  }
}

}  // namespace dispatcher::fleet

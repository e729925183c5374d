// The receiving side of MembershipView: applies datagrams and their updates, and answers them.
#include <algorithm>
#include <span>

#include "fleet/membership_view.h"

namespace dispatcher::fleet {
namespace {

constexpr std::size_t kMaxDatagramsPerCompareAnswer = 4;
constexpr int kMaxCompareAnswersPerPeriod = 40;
constexpr std::size_t kMaxRelayedPings = 256;

}  // namespace

// Evicts a gone member if the table is full. Returns false if there is still no room for another.
bool MembershipView::make_room() {
  if (!table_.full())
    return true;
  auto evicted = table_.evict_oldest_gone();
  if (!evicted)
    return false;
  gossip_.remove(*evicted);
  return true;
}

// The higher incarnation wins; within one incarnation the more severe state. The result does not
// depend on the order in which updates arrive.
void MembershipView::apply(Time now, const Update& update) {
  if (update.endpoint == self()) {
    apply_about_self(update);
    return;
  }
  const Member* member = table_.find(update.endpoint);
  if (member == nullptr) {
    // A gone member that is not in the table has been removed from it and is not added again.
    if (!is_gone(update.state) && make_room())
      set(now, update);
    return;
  }
  bool newer = update.incarnation > member->incarnation ||
               (update.incarnation == member->incarnation && update.state > member->state);
  if (newer)
    set(now, update);
}

// Refutes a report by taking the next incarnation, if the report says that this member is not alive
// or carries a higher incarnation, which an earlier process of this member had.
void MembershipView::apply_about_self(const Update& update) {
  bool needs_refutation = update.state != MemberState::Alive && update.incarnation == incarnation();
  if (!needs_refutation && update.incarnation <= incarnation())
    return;
  table_.set_incarnation(update.incarnation + 1);
  gossip_.restart(self());
}

bool MembershipView::handle_datagram(Time now, const Endpoint& from, std::string_view bytes) {
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
  last_received_at_ = now;
  if (!datagram.payload.empty() && options_.on_payload)
    options_.on_payload(from, datagram.payload);
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
  bool leaves = std::ranges::any_of(datagram.updates, [&](const Update& update) {
    return update.endpoint == from && update.state == MemberState::Left;
  });
  if (!leaves)
    apply(now, {from, MemberState::Alive, datagram.incarnation});
  for (const Update& update : datagram.updates)
    apply(now, update);
  last_digest_differed_ = datagram.digest != digest();
  // If the sender is recorded as suspect or dead in its current incarnation, tells it so, so that
  // it can refute that.
  const Member* sender = table_.find(from);
  if (sender != nullptr && sender->state != MemberState::Alive && !leaves)
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

// Sends the members of the parts whose digests differ, in a few datagrams at most, however large
// the table is.
void MembershipView::answer_compare(Time now, const Endpoint& from, const PartDigests& digests) {
  // Limits what a flood of compare datagrams can make this member send.
  Duration min_interval = options_.period / kMaxCompareAnswersPerPeriod;
  if (!last_digest_differed_ || now - last_compare_answer_at_ < min_interval)
    return;
  last_compare_answer_at_ = now;
  std::vector<Update> updates = table_.differing_updates(digests, update_of(self()).state);
  std::ranges::shuffle(updates, random_);  // if there are too many, other members send the rest
  std::span<const Update> unsent(updates);
  std::size_t per_datagram = max_updates(options_.max_datagram_bytes);
  for (std::size_t datagram_count = 0;
       datagram_count < kMaxDatagramsPerCompareAnswer && !unsent.empty(); ++datagram_count) {
    auto batch = unsent.first(std::min(per_datagram, unsent.size()));
    send(from, {.kind = DatagramKind::Gossip, .updates = {batch.begin(), batch.end()}});
    unsent = unsent.subspan(batch.size());
  }
}

}  // namespace dispatcher::fleet

// Simulated load gossip between the dispatchers, over a network that loses messages.
#include <utility>

#include "testbed/simulation/fleet_simulation.h"
#include "testbed/simulation/model_constants.h"

namespace dispatcher::testbed {

void FleetSimulation::change_open_attempts(int dispatcher, std::size_t worker, int change) {
  Node& owner = node(dispatcher);
  int open = owner.open_attempts[worker] += change;
  if (!owner.gossip)
    return;
  owner.gossip->announce(events_.now(), workers_[worker].id, open);
  send_gossip(dispatcher);
}

void FleetSimulation::send_gossip(int dispatcher) {
  Node& sender = node(dispatcher);
  if (!sender.gossip)
    return;
  for (const fleet::LoadGossip::Message& message : sender.gossip->due_messages(events_.now())) {
    if (sender.isolated || node(message.to).isolated ||
        std::bernoulli_distribution(options_.message_loss)(random_))
      continue;
    transmit(dispatcher, message);
  }
  if (sender.gossip->has_pending() && !std::exchange(sender.gossip_scheduled, true))
    schedule_gossip(dispatcher);
}

void FleetSimulation::transmit(int from, const fleet::LoadGossip::Message& message) {
  ++counts_.messages;
  counts_.message_bytes += static_cast<long>(message.bytes.size());
  schedule_in(2 * kOneWayLatencyMs, [this, from, message] {
    Node& receiver = node(message.to);
    if (!receiver.gossip)
      return;
    receiver.gossip->handle_message(events_.now(), static_cast<std::size_t>(from), message.bytes,
                                    [&](const std::string& worker, int jobs) {
                                      feed(message.to, [&](auto& scheduler, auto& actions) {
                                        scheduler.on_load_gossip(events_.now(), worker, jobs,
                                                                 actions);
                                      });
                                    });
  });
}

// Decreased counts are sent together, after a delay.
void FleetSimulation::schedule_gossip(int dispatcher) {
  std::uint64_t incarnation = node(dispatcher).incarnation;
  schedule_in(fleet::kMaxDecreaseDelay.count(), [this, dispatcher, incarnation] {
    if (!is_current(dispatcher, incarnation))
      return;
    node(dispatcher).gossip_scheduled = false;
    send_gossip(dispatcher);
  });
}

}  // namespace dispatcher::testbed

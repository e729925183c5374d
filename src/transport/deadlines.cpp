#include "transport/deadlines.h"

namespace dispatcher::transport {

Deadlines::Handle Deadlines::add(Time at, std::function<void()> fire) {
  ++last_sequence_;
  pending_.emplace(std::pair(at, last_sequence_), std::move(fire));
  return {.at = at, .sequence = last_sequence_};
}

void Deadlines::disarm(Handle& handle) {
  if (handle.is_set())
    pending_.erase({handle.at, handle.sequence});
  handle = {};
}

void Deadlines::fire_expired(Time now) {
  // Deadlines added by the calls wait for the next turn; otherwise they could keep the event loop
  // from serving its sockets.
  const std::uint64_t last_sequence = last_sequence_;
  for (auto it = pending_.begin(); it != pending_.end() && it->first.first <= now;) {
    if (it->first.second > last_sequence) {
      ++it;
      continue;
    }
    std::function<void()> fire = std::move(it->second);
    pending_.erase(it);
    fire();
    it = pending_.begin();  // the call may have added or disarmed any deadline
  }
}

std::optional<Time> Deadlines::earliest() const {
  if (pending_.empty())
    return std::nullopt;
  return pending_.begin()->first.first;
}

}  // namespace dispatcher::transport

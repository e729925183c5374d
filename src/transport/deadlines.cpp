#include "transport/deadlines.h"

namespace dispatcher::transport {

Deadlines::Handle Deadlines::add(Time at, std::function<void()> fire) {
  ++last_order_;
  pending_.emplace(std::pair(at, last_order_), std::move(fire));
  return {.at = at, .order = last_order_};
}

void Deadlines::drop(Handle& handle) {
  if (handle.is_set())
    pending_.erase({handle.at, handle.order});
  handle = {};
}

void Deadlines::sweep(Time now) {
  // Deadlines added during the sweep wait, so that they cannot keep the loop from its sockets.
  const std::uint64_t last_order = last_order_;
  for (auto it = pending_.begin(); it != pending_.end() && it->first.first <= now;) {
    if (it->first.second > last_order) {
      ++it;
      continue;
    }
    std::function<void()> fire = std::move(it->second);
    pending_.erase(it);
    fire();
    it = pending_.begin();  // the call may have added or dropped any of them
  }
}

std::optional<Time> Deadlines::next() const {
  if (pending_.empty())
    return std::nullopt;
  return pending_.begin()->first.first;
}

}  // namespace dispatcher::transport

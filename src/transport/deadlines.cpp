#include "transport/deadlines.h"

namespace dispatcher::transport {

Deadlines::Handle Deadlines::add(Time at, std::function<void()> fire) {
  due_.emplace(std::pair(at, ++order_), std::move(fire));
  return {at, order_};
}

void Deadlines::drop(Handle& handle) {
  if (handle.order != 0)
    due_.erase({handle.at, handle.order});
  handle = {};
}

void Deadlines::sweep(Time now) {
  // What a deadline adds at this same moment must not keep the sweep going for ever: sockets wait
  // meanwhile.
  std::uint64_t last = order_;
  for (auto it = due_.begin(); it != due_.end() && it->first.first <= now;) {
    if (it->first.second > last) {
      ++it;
      continue;
    }
    auto fire = std::move(it->second);
    due_.erase(it);
    fire();
    it = due_.begin();  // the call may have added or dropped any of them
  }
}

std::optional<Time> Deadlines::next() const {
  if (due_.empty())
    return std::nullopt;
  return due_.begin()->first.first;
}

}  // namespace dispatcher::transport

// A timer queue for all deadlines of the program, checked once per turn of the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "transport/clock.h"

namespace dispatcher::transport {

// Not thread-safe. Deadlines with equal times fire in the order in which they were added.
class Deadlines {
 public:
  // Identifies a deadline. The handle stays set after the deadline has fired; disarm() then only
  // clears it.
  struct Handle {
    Time at{};
    std::uint64_t sequence = 0;  // 0: no deadline
    bool is_set() const { return sequence != 0; }
  };

  // fire_expired() calls `fire` once, unless the deadline is disarmed before.
  Handle add(Time at, std::function<void()> fire);
  // Cancels the deadline and clears the handle. Does nothing else if the deadline has already fired
  // or the handle is not set.
  void disarm(Handle& handle);
  // Fires all expired deadlines. One that is added meanwhile waits for the next call.
  void fire_expired(Time now);
  std::optional<Time> earliest() const;
  std::size_t size() const { return pending_.size(); }

 private:
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> pending_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace dispatcher::transport

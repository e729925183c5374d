// All deadlines of the program in one ordered structure, swept once each turn of the loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "transport/clock.h"

namespace dispatcher::transport {

// Not thread-safe. Deadlines of the same time fire in the order of their creation.
class Deadlines {
 public:
  // Names a deadline. A copy that is kept after the deadline has fired stays set, but drop() of it
  // does nothing.
  struct Handle {
    Time at{};
    std::uint64_t order = 0;  // 0: none
    bool is_set() const { return order != 0; }
  };

  // Calls `fire` once, from sweep(), unless it is dropped before.
  Handle add(Time at, std::function<void()> fire);
  // Cancels the deadline and clears the handle. Harmless for one that has fired or was never set.
  void drop(Handle& handle);
  // Fires what has expired. A deadline added meanwhile waits for the next sweep.
  void sweep(Time now);
  // The earliest one.
  std::optional<Time> next() const;
  std::size_t size() const { return pending_.size(); }

 private:
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> pending_;
  std::uint64_t last_order_ = 0;
};

}  // namespace dispatcher::transport

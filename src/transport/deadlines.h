// All deadlines of the program in one ordered structure, swept once each turn of the loop.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "transport/clock.h"

namespace dispatcher::transport {

class Deadlines {
 public:
  struct Handle {
    Time at{};
    std::uint64_t order = 0;  // 0: none
  };

  Handle add(Time at, std::function<void()> fire);
  void drop(Handle& handle);  // harmless for one that has fired or was never set
  void sweep(Time now);       // fires what is due; what that adds waits for the next turn
  std::optional<Time> next() const;
  std::size_t size() const { return due_.size(); }

 private:
  std::map<std::pair<Time, std::uint64_t>, std::function<void()>> due_;
  std::uint64_t order_ = 0;
};

}  // namespace dispatcher::transport

// Replay protection: accepts each counter of one sender's session once, out of order within a
// window.
#pragma once

#include <cstdint>

namespace dispatcher::fleet {

class ReplayWindow {
 public:
  // Counters this far below the highest one are still accepted.
  static constexpr std::uint32_t kSize = 64;

  // `session`: start time of the sender's session; a later one restarts the window, an earlier one
  // is rejected. Returns false if the message is a replay or too old to tell.
  bool accept(std::uint64_t session, std::uint32_t counter);
  std::uint64_t session() const { return session_; }

 private:
  void advance(std::uint32_t counter);

  std::uint64_t session_ = 0;
  std::uint32_t highest_ = 0;
  std::uint64_t accepted_below_ = 0;  // bit i: the counter highest_ - 1 - i was accepted
};

}  // namespace dispatcher::fleet

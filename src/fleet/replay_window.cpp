#include "fleet/replay_window.h"

namespace dispatcher::fleet {
namespace {

std::uint64_t bit_of_distance(std::uint32_t distance) {
  return std::uint64_t{1} << (distance - 1);
}

}  // namespace

bool ReplayWindow::accept(std::uint64_t session, std::uint32_t counter) {
  if (session < session_)
    return false;
  if (session > session_) {
    *this = ReplayWindow();
    session_ = session;
  }
  if (counter > highest_) {
    advance(counter);
    return true;
  }
  std::uint32_t distance = highest_ - counter;
  if (distance == 0 || distance > kSize)
    return false;
  std::uint64_t bit = bit_of_distance(distance);
  if ((accepted_below_ & bit) != 0)
    return false;
  accepted_below_ |= bit;
  return true;
}

void ReplayWindow::advance(std::uint32_t counter) {
  std::uint32_t distance = counter - highest_;
  // A shift by the width of the type is undefined.
  accepted_below_ = distance < kSize ? accepted_below_ << distance : 0;
  if (distance <= kSize)
    accepted_below_ |= bit_of_distance(distance);
  highest_ = counter;
}

}  // namespace dispatcher::fleet

#include "streaming/memory_budget.h"

#include <algorithm>

namespace dispatcher::streaming {

MemoryBudget::MemoryBudget(std::size_t ceiling, std::size_t window)
    : total_(std::max<std::size_t>(1, ceiling / kChunkBytes)),
      window_(std::max<std::size_t>(1, window / kChunkBytes)) {}

void MemoryBudget::use(std::size_t chunks) {
  used_ += chunks;
  peak_used_ = std::max(peak_used_, used_);
}

std::optional<MemoryBudget::Reservation> MemoryBudget::reserve() {
  if (!can_reserve(1))
    return std::nullopt;
  use(1);
  return Reservation(*this);
}

MemoryBudget::Reservation::~Reservation() {
  if (budget_)
    budget_->used_ -= std::max<std::size_t>(held_, 1);
}

// With h chunks held and f free, one more is allowed while h < f. Each added chunk leaves one less
// free, so the result is the largest k for which h + k - 1 < f - (k - 1).
std::size_t MemoryBudget::Reservation::available_chunks() const {
  std::size_t first = held_ == 0 ? 1 : 0;  // the chunk owned since reserve()
  std::size_t held_chunks = held_ + first;
  std::size_t free = budget_->total_ - std::min(budget_->total_, budget_->used_);
  std::size_t shared = free > held_chunks ? (free - held_chunks + 1) / 2 : 0;
  std::size_t left_in_window = budget_->window_ - std::min(budget_->window_, held_chunks);
  return first + std::min(shared, left_in_window);
}

void MemoryBudget::Reservation::add_chunk() {
  if (held_ > 0)
    budget_->use(1);
  ++held_;
}

void MemoryBudget::Reservation::release_chunk() {
  --held_;
  if (held_ > 0)
    --budget_->used_;
}

}  // namespace dispatcher::streaming

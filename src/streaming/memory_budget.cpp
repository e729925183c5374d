#include "streaming/memory_budget.h"

#include <algorithm>

namespace dispatcher::streaming {

MemoryBudget::MemoryBudget(std::size_t ceiling, std::size_t window)
    : total_(std::max<std::size_t>(1, ceiling / kChunkBytes)),
      window_(std::max<std::size_t>(1, window / kChunkBytes)) {}

void MemoryBudget::use(std::size_t chunks) {
  used_ += chunks;
  most_used_ = std::max(most_used_, used_);
}

std::optional<MemoryBudget::Lane> MemoryBudget::open() {
  if (!can_open(1))
    return std::nullopt;
  use(1);
  return Lane(*this);
}

MemoryBudget::Lane::~Lane() {
  if (budget_)
    budget_->used_ -= std::max<std::size_t>(held_, 1);
}

// With h held and f free, one more is allowed while h is less than f. For several at once, the
// answer is the largest k for which h + k - 1 < f - (k - 1): each one taken leaves one less free.
std::size_t MemoryBudget::Lane::may_take() const {
  std::size_t first = held_ == 0 ? 1 : 0;  // owned since the lane was opened
  std::size_t held = held_ + first;
  std::size_t free = budget_->total_ - std::min(budget_->total_, budget_->used_);
  std::size_t shared = free > held ? (free - held + 1) / 2 : 0;
  std::size_t left_of_window = budget_->window_ - std::min(budget_->window_, held);
  return first + std::min(shared, left_of_window);
}

void MemoryBudget::Lane::take() {
  if (held_ > 0)
    budget_->use(1);
  ++held_;
}

void MemoryBudget::Lane::give() {
  --held_;
  if (held_ > 0)
    --budget_->used_;
}

}  // namespace dispatcher::streaming

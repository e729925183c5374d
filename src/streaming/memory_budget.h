// The memory that bodies may hold on their way through, shared by all of them. Pure: no sockets, no
// clock.
//
// It is counted in chunks. A lane (one direction of one body) owns one chunk from its opening to
// its end, so that whatever has begun can always go on: nothing waits for memory that another
// holds, and there is no deadlock. Beyond that first chunk it may hold at most as much as is free
// at the moment (a dynamic threshold, after Choudhury and Hahne's rule for shared buffers): n lanes
// that take all they can get leave an n+1st part of what is shared free, so that a newcomer finds
// some, and what one leaves unused the others may have.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>

namespace dispatcher::streaming {

constexpr std::size_t kChunk = 16 << 10;  // bytes

class Budget {
 public:
  // `ceiling`: bytes of all lanes; `window`: the most bytes of one. Each is at least one chunk.
  Budget(std::size_t ceiling, std::size_t window);
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  class Lane {  // returns what it holds when it goes
   public:
    Lane(Lane&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), held_(std::exchange(other.held_, 0)) {}
    Lane& operator=(Lane&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(held_, other.held_);
      return *this;
    }
    ~Lane();
    std::size_t held() const { return held_; }  // chunks
    std::size_t may_take() const;               // chunks, beyond those held
    void
    take();  // one; also past may_take(), for what has been read already: the caller bounds that
    void give();  // one of those held

   private:
    friend class Budget;
    explicit Lane(Budget& budget) : budget_(&budget) {}
    Budget* budget_;
    std::size_t held_ = 0;
  };

  // Nothing: not one chunk is left. The newcomer must be refused.
  std::optional<Lane> open();
  // Whether `lanes` could be opened now.
  bool spare(std::size_t lanes) const { return used_ + lanes <= total_; }

  std::size_t used() const { return used_; }    // chunks, those owned and not yet filled among them
  std::size_t total() const { return total_; }  // chunks
  std::size_t most_used() const { return most_used_; }

 private:
  void use(std::size_t chunks);

  std::size_t total_;
  std::size_t window_;
  std::size_t used_ = 0;
  std::size_t most_used_ = 0;
};

}  // namespace dispatcher::streaming

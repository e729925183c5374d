// The memory that relayed bodies may hold, shared by all of them. No sockets, no clock.
//
// It is counted in chunks. A lane (one direction of one body) owns one chunk from its opening to
// its end, so that whatever has begun can always go on: nothing waits for memory that another
// holds, and there is no deadlock. Beyond that first chunk it may hold at most as much as is free
// at the moment (a dynamic threshold, after Choudhury and Hahne's rule for shared buffers): n lanes
// that take all they can get leave an n+1st part of what is shared free, so that a new one finds
// some, and the others may have what one leaves unused.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>

namespace dispatcher::streaming {

constexpr std::size_t kChunkBytes = 16 << 10;

// Not thread-safe. Outlives its lanes.
class MemoryBudget {
 public:
  // `ceiling`: bytes of all lanes; `window`: maximum bytes of one. Each is at least one chunk.
  MemoryBudget(std::size_t ceiling, std::size_t window);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Returns what it holds when it is destroyed. All counts are in chunks.
  class Lane {
   public:
    Lane(Lane&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), held_(std::exchange(other.held_, 0)) {}
    Lane& operator=(Lane&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(held_, other.held_);
      return *this;
    }
    ~Lane();
    std::size_t held() const { return held_; }
    // How many more it may take now.
    std::size_t may_take() const;
    // Takes one. Also allowed beyond may_take(), for bytes that have been read already: the caller
    // bounds those.
    void take();
    // Gives one back.
    void give();

   private:
    friend class MemoryBudget;
    explicit Lane(MemoryBudget& budget) : budget_(&budget) {}
    MemoryBudget* budget_;
    std::size_t held_ = 0;
  };

  // Nothing: not one chunk is left, and the body must be rejected.
  std::optional<Lane> open();
  // Whether so many lanes could be opened now.
  bool can_open(std::size_t lanes) const { return used_ + lanes <= total_; }

  // Chunks, including those owned by lanes and not filled yet.
  std::size_t used() const { return used_; }
  std::size_t total() const { return total_; }
  std::size_t peak_used() const { return most_used_; }

 private:
  void use(std::size_t chunks);

  std::size_t total_;
  std::size_t window_;
  std::size_t used_ = 0;
  std::size_t most_used_ = 0;
};

}  // namespace dispatcher::streaming

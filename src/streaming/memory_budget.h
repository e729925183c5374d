// The memory budget shared by all relayed bodies. Uses no sockets and no clock.
//
// The budget is counted in chunks. Each direction of a relayed body has a reservation, which owns
// one chunk for its whole lifetime. A body that has started can therefore always make progress: it
// never waits for memory that another body holds, so bodies cannot deadlock.
//
// Beyond its first chunk, a reservation may hold at most as many chunks as are currently free. This
// follows the dynamic threshold of Choudhury and Hahne for shared buffers. If n reservations take
// all that they may, 1/(n+1) of the shared memory stays free for a new reservation. Memory that one
// reservation does not use is available to the others.
#pragma once

#include <cstddef>
#include <optional>
#include <utility>

namespace dispatcher::streaming {

constexpr std::size_t kChunkBytes = 16 << 10;

// Not thread-safe. Must outlive its reservations.
class MemoryBudget {
 public:
  // `ceiling` is the limit for all reservations together and `window` the limit for each of them,
  // in bytes. Both are at least one chunk.
  MemoryBudget(std::size_t ceiling, std::size_t window);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Releases all its chunks when it is destroyed. All counts are in chunks.
  class Reservation {
   public:
    Reservation(Reservation&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), held_(std::exchange(other.held_, 0)) {}
    Reservation& operator=(Reservation&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(held_, other.held_);
      return *this;
    }
    ~Reservation();
    std::size_t held_chunks() const { return held_; }
    // How many more chunks it may add now.
    std::size_t available_chunks() const;
    // May exceed available_chunks() for bytes that have already been read; the caller bounds those.
    void add_chunk();
    void release_chunk();

   private:
    friend class MemoryBudget;
    explicit Reservation(MemoryBudget& budget) : budget_(&budget) {}
    MemoryBudget* budget_;
    std::size_t held_ = 0;
  };

  // Returns nullopt if no chunk is left; the body must be rejected then.
  std::optional<Reservation> reserve();
  // Whether reserve() would succeed `count` times now.
  bool can_reserve(std::size_t count) const { return used_ + count <= total_; }

  // In chunks, including each reservation's first chunk while that is still empty.
  std::size_t used() const { return used_; }
  std::size_t total() const { return total_; }
  std::size_t peak_used() const { return peak_used_; }

 private:
  void use(std::size_t chunks);

  std::size_t total_;
  std::size_t window_;
  std::size_t used_ = 0;
  std::size_t peak_used_ = 0;
};

}  // namespace dispatcher::streaming

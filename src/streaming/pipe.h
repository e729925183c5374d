// A buffer for one direction of a relayed body: a source appends bytes as they arrive, and a sink
// takes bytes when it can send them. The two sides notify each other through callbacks. Uses no
// sockets and no clock.
//
// The pipe can retain the bytes that have been written, so that the sink can send the body again
// from its start to another receiver. It releases them once the body is longer than `replay_bytes`,
// or when they fill all available memory. From then on, the body cannot be replayed.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>

#include "streaming/memory_budget.h"
#include "transport/buffer.h"

namespace dispatcher::streaming {

// Not thread-safe. A callback may destroy the source or the sink, and may set another callback.
class Pipe {
 public:
  explicit Pipe(MemoryBudget::Reservation reservation, std::size_t replay_bytes = 0);

  // ---- Source ----
  // The maximum number of bytes that the source should append now.
  std::size_t capacity();
  // Also accepts more than capacity(), since the source has those bytes in memory anyway.
  void append(std::string_view bytes);
  // Marks the body as complete.
  void finish();
  // The body will never be complete; discards the buffered bytes.
  void abort();

  // ---- Sink ----
  // Returns the next bytes, at most `max_bytes`, or an empty slice if there are none now. The slice
  // is valid at least until its bytes are marked as written.
  transport::Slice take(std::size_t max_bytes);
  // `total` is how many of the bytes returned by take() have been written so far.
  void mark_written(std::uint64_t total);
  // The sink has a receiver now; notifies a source that waits for one.
  void start();
  // Starts over with the first byte. Returns false if it has been released.
  bool rewind();
  // There is no receiver any more; discards the buffered bytes and all that arrive from now on.
  void abandon();

  bool started() const { return started_; }
  bool complete() const { return end_ == End::Complete; }
  bool aborted() const { return end_ == End::Aborted; }
  bool abandoned() const { return abandoned_; }
  bool taken_all() const { return complete() && taken_ == appended_; }
  // Whether the body can still be sent to another receiver from its first byte.
  bool replayable() const { return first_offset_ == 0 && !aborted() && !abandoned_; }
  std::uint64_t appended_bytes() const { return appended_; }
  std::uint64_t taken_bytes() const { return taken_; }
  // Memory in use by the buffered bytes.
  std::size_t held_bytes() const { return chunks_.size() * kChunkBytes; }

  // Set by the source. Called when there is capacity again, and when the sink has started or has
  // abandoned the body.
  std::function<void()> on_capacity;
  // Set by the sink. Called when more bytes have arrived, and when the body is complete or aborted.
  std::function<void()> on_data;

 private:
  enum class End { Open, Complete, Aborted };
  using Chunk = std::array<char, kChunkBytes>;

  std::size_t free_bytes() const;
  void discard_all();
  void stop_retaining();
  void release_written();
  static void notify(const std::function<void()>& callback);

  MemoryBudget::Reservation reservation_;
  std::size_t replay_bytes_;
  std::deque<std::shared_ptr<Chunk>> chunks_;
  // Offsets in the body, in bytes.
  std::uint64_t first_offset_ = 0;  // of the first chunk; a multiple of kChunkBytes
  std::uint64_t appended_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t written_ = 0;
  bool started_ = false;
  bool retains_written_ = false;  // for rewind()
  bool abandoned_ = false;
  End end_ = End::Open;
};

}  // namespace dispatcher::streaming

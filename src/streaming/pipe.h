// One direction of one relayed body: a source appends what has arrived, a sink takes it as it can
// be sent. No sockets, no clock; the two sides notify each other through callbacks.
//
// The first bytes may be kept after they were written, so that the sink can begin again with
// another receiver. They are released once the body is longer than `replay_bytes`, or when there is
// no other memory to go on with; from then on the body cannot be sent a second time.
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

// Not thread-safe. A callback may end the source or the sink, and may set another callback.
class Pipe {
 public:
  explicit Pipe(MemoryBudget::Lane lane, std::size_t replay_bytes = 0);

  // ---- Source ----
  // How many bytes append() should bring at most, for now.
  std::size_t capacity();
  // More than capacity() is accepted too, as the source has it in memory anyhow.
  void append(std::string_view bytes);
  // The body is complete.
  void finish();
  // The body will never be complete: what waits here is discarded.
  void abort();

  // ---- Sink ----
  // The next bytes, at most `maximum`; empty: none for now. The slice is valid at least until its
  // bytes are marked as written.
  transport::Slice take(std::size_t maximum);
  // Of the bytes returned by take(), so many have been written by now, in all.
  void mark_written(std::uint64_t total);
  // There is a receiver; a source that waits for one goes on.
  void start();
  // Begins again with the first byte; false: it has been released.
  bool rewind();
  // There is no receiver any more: what arrives from now on is discarded.
  void abandon();

  bool started() const { return started_; }
  bool complete() const { return end_ == End::Complete; }
  bool aborted() const { return end_ == End::Aborted; }
  bool abandoned() const { return abandoned_; }
  bool taken_all() const { return complete() && taken_ == appended_; }
  // The body can still be sent to another receiver from its first byte.
  bool replayable() const { return first_offset_ == 0 && !aborted() && !abandoned_; }
  std::uint64_t appended_bytes() const { return appended_; }
  std::uint64_t taken_bytes() const { return taken_; }
  // Memory in use.
  std::size_t held_bytes() const { return chunks_.size() * kChunkBytes; }

  // Set by the source: there is capacity again, the sink has started, or it has abandoned the body.
  std::function<void()> on_capacity;
  // Set by the sink: more has arrived, or the end.
  std::function<void()> on_data;

 private:
  enum class End { Open, Complete, Aborted };
  using Chunk = std::array<char, kChunkBytes>;

  std::size_t free_bytes() const;
  void discard_all();
  void stop_keeping();
  void release_written();
  static void notify(const std::function<void()>& callback);

  MemoryBudget::Lane lane_;
  std::size_t replay_bytes_;
  std::deque<std::shared_ptr<Chunk>> chunks_;
  // Offsets in the body, bytes.
  std::uint64_t first_offset_ = 0;  // of the first chunk; a multiple of kChunkBytes
  std::uint64_t appended_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t written_ = 0;
  bool started_ = false;
  bool keeps_written_ = false;  // for a replay
  bool abandoned_ = false;
  End end_ = End::Open;
};

}  // namespace dispatcher::streaming

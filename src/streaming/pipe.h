// One direction of one body: its source appends what has come, its sink takes it as it can be
// passed on. Pure: no sockets, no clock; the two sides tell each other through calls that each may
// set.
//
// The first bytes may be kept after they have gone out, so that the sink can begin again with
// another receiver. They are let go once the body is longer than `replay_bytes`, or when there is
// no other memory to go on with; from then on the body cannot be sent a second time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>

#include "streaming/memory_budget.h"
#include "transport/buffer.h"

namespace dispatcher::streaming {

class Pipe {
 public:
  explicit Pipe(Budget::Lane lane, std::size_t replay_bytes = 0);

  // ---- Source ----
  std::size_t room();                   // how many bytes append() should bring at most, for now
  void append(std::string_view bytes);  // more than room() is taken too: the source has it anyhow
  void finish();                        // the body is whole
  void break_off();                     // it will never be: what waits here is not passed on

  // ---- Sink ----
  // What comes next, at most `most` bytes of it; empty: nothing for now. The slice stays good until
  // its bytes are told as written, at least.
  transport::Slice next(std::size_t most);
  void written(std::uint64_t all);  // bytes taken by next() that have gone out by now, in all
  void begin();                     // a receiver is there; a source that waits for that goes on
  bool rewind();                    // begin again from the first byte; false: it has been let go
  void abandon();                   // nobody takes any more: what comes from now on is thrown away

  bool wanted() const { return wanted_; }
  bool whole() const { return end_ == End::Whole; }
  bool broken() const { return end_ == End::Broken; }
  bool abandoned() const { return abandoned_; }
  bool taken_all() const { return whole() && taken_ == appended_; }
  // Nothing of it is gone: it can be sent to another receiver from its first byte.
  bool replayable() const { return base_ == 0 && !broken() && !abandoned_; }
  std::uint64_t appended() const { return appended_; }  // bytes
  std::uint64_t taken() const { return taken_; }
  std::size_t held() const { return chunks_.size() * kChunk; }  // bytes of memory

  // Set by the source: there is room again, the sink has begun, or nobody wants the rest.
  std::function<void()> on_room;
  // Set by the sink: more has come, or the end.
  std::function<void()> on_data;

 private:
  enum class End { Open, Whole, Broken };
  struct Chunk {
    char bytes[kChunk];
  };

  void let_go();
  void free_written();
  void tell(const std::function<void()>& call);

  Budget::Lane lane_;
  std::size_t replay_bytes_;
  std::deque<std::shared_ptr<Chunk>> chunks_;
  std::uint64_t base_ = 0;  // of the first chunk's first byte; a multiple of kChunk
  std::uint64_t appended_ = 0;
  std::uint64_t taken_ = 0;
  std::uint64_t written_ = 0;
  bool wanted_ = false;
  bool let_go_ = false;
  bool abandoned_ = false;
  End end_ = End::Open;
};

}  // namespace dispatcher::streaming

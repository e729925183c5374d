#include "streaming/pipe.h"

#include <algorithm>
#include <cstring>

namespace dispatcher::streaming {

Pipe::Pipe(MemoryBudget::Reservation reservation, std::size_t replay_bytes)
    : reservation_(std::move(reservation)),
      replay_bytes_(replay_bytes),
      retains_written_(replay_bytes > 0) {}

// Calls a copy, because the callback may replace itself.
void Pipe::notify(const std::function<void()>& callback) {
  if (auto copy = callback)
    copy();
}

std::size_t Pipe::free_bytes() const {
  auto used = static_cast<std::size_t>(appended_ - first_offset_);
  std::size_t free_in_last_chunk = chunks_.size() * kChunkBytes - used;
  return free_in_last_chunk + reservation_.available_chunks() * kChunkBytes;
}

std::size_t Pipe::capacity() {
  if (abandoned_ || end_ != End::Open)
    return 0;
  // Avoids a deadlock when the bytes retained for a replay fill all available memory.
  if (free_bytes() == 0 && retains_written_ && written_ == appended_)
    stop_retaining();
  return free_bytes();
}

void Pipe::append(std::string_view bytes) {
  if (abandoned_ || end_ != End::Open)
    return;
  while (!bytes.empty()) {
    std::size_t full_chunks = chunks_.empty() ? 0 : chunks_.size() - 1;
    std::size_t position =
        static_cast<std::size_t>(appended_ - first_offset_) - full_chunks * kChunkBytes;
    if (chunks_.empty() || position == kChunkBytes) {
      reservation_.add_chunk();
      chunks_.push_back(std::make_shared<Chunk>());
      position = 0;
    }
    std::size_t count = std::min(bytes.size(), kChunkBytes - position);
    std::memcpy(chunks_.back()->data() + position, bytes.data(), count);
    appended_ += count;
    bytes.remove_prefix(count);
  }
  if (retains_written_ && appended_ > replay_bytes_)
    stop_retaining();
  notify(on_data);
}

void Pipe::finish() {
  if (end_ != End::Open)
    return;
  end_ = End::Complete;
  notify(on_data);
}

void Pipe::abort() {
  if (end_ != End::Open)
    return;
  end_ = End::Aborted;
  discard_all();
  notify(on_data);
}

void Pipe::abandon() {
  if (abandoned_)
    return;
  abandoned_ = true;
  discard_all();
  notify(on_capacity);
}

void Pipe::discard_all() {
  taken_ = appended_;
  written_ = appended_;
  stop_retaining();
}

transport::Slice Pipe::take(std::size_t max_bytes) {
  if (abandoned_ || aborted() || taken_ == appended_)
    return {};
  auto from = static_cast<std::size_t>(taken_ - first_offset_);
  const std::shared_ptr<Chunk>& chunk = chunks_[from / kChunkBytes];
  std::size_t position = from % kChunkBytes;
  auto available = static_cast<std::size_t>(appended_ - taken_);
  std::size_t count = std::min({max_bytes, kChunkBytes - position, available});
  taken_ += count;
  return {chunk, std::string_view(chunk->data() + position, count)};
}

void Pipe::mark_written(std::uint64_t total) {
  if (abandoned_ || total <= written_)
    return;
  written_ = std::min(total, taken_);
  release_written();
  notify(on_capacity);
}

void Pipe::start() {
  started_ = true;
  notify(on_capacity);
}

bool Pipe::rewind() {
  if (!replayable())
    return false;
  taken_ = 0;
  written_ = 0;
  return true;
}

void Pipe::stop_retaining() {
  retains_written_ = false;
  release_written();
}

// Does not release the last chunk while more bytes may be appended to it.
void Pipe::release_written() {
  if (retains_written_)
    return;
  bool ended = end_ != End::Open || abandoned_;
  while (!chunks_.empty()) {
    bool chunk_written = first_offset_ + kChunkBytes <= written_;
    bool all_written = ended && written_ == appended_;
    if (!chunk_written && !all_written)
      return;
    chunks_.pop_front();
    reservation_.release_chunk();
    first_offset_ += kChunkBytes;
  }
}

}  // namespace dispatcher::streaming

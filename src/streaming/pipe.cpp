#include "streaming/pipe.h"

#include <algorithm>
#include <cstring>

namespace dispatcher::streaming {

Pipe::Pipe(Budget::Lane lane, std::size_t replay_bytes)
    : lane_(std::move(lane)), replay_bytes_(replay_bytes), let_go_(replay_bytes == 0) {}

// A copy: what is called may set another one, or none.
void Pipe::tell(const std::function<void()>& call) {
  if (auto copy = call)
    copy();
}

std::size_t Pipe::room() {
  if (abandoned_ || end_ != End::Open)
    return 0;
  auto free = [this] {
    std::size_t tail = chunks_.size() * kChunk - static_cast<std::size_t>(appended_ - base_);
    return tail + lane_.may_take() * kChunk;
  };
  // Guards against a deadlock: where the kept bytes fill all the memory there is, going on is worth
  // more than the chance to begin again.
  if (free() == 0 && !let_go_ && written_ == appended_)
    let_go();
  return free();
}

void Pipe::append(std::string_view bytes) {
  if (abandoned_ || end_ != End::Open)
    return;
  while (!bytes.empty()) {
    std::size_t at = static_cast<std::size_t>(appended_ - base_) -
                     (chunks_.empty() ? 0 : (chunks_.size() - 1) * kChunk);
    if (chunks_.empty() || at == kChunk) {
      lane_.take();
      chunks_.push_back(std::make_shared<Chunk>());
      at = 0;
    }
    std::size_t n = std::min(bytes.size(), kChunk - at);
    std::memcpy(chunks_.back()->bytes + at, bytes.data(), n);
    appended_ += n;
    bytes.remove_prefix(n);
  }
  if (!let_go_ && appended_ > replay_bytes_)
    let_go();
  tell(on_data);
}

void Pipe::finish() {
  if (end_ != End::Open)
    return;
  end_ = End::Whole;
  tell(on_data);
}

void Pipe::break_off() {
  if (end_ != End::Open)
    return;
  end_ = End::Broken;
  let_go_ = true;
  written_ = taken_ = appended_;
  free_written();
  tell(on_data);
}

transport::Slice Pipe::next(std::size_t most) {
  if (abandoned_ || broken() || taken_ == appended_)
    return {};
  std::size_t from = static_cast<std::size_t>(taken_ - base_);
  const std::shared_ptr<Chunk>& chunk = chunks_[from / kChunk];
  std::size_t at = from % kChunk;
  std::size_t n = std::min({most, kChunk - at, static_cast<std::size_t>(appended_ - taken_)});
  taken_ += n;
  return {chunk, std::string_view(chunk->bytes + at, n)};
}

void Pipe::written(std::uint64_t all) {
  if (abandoned_ || all <= written_)
    return;
  written_ = std::min(all, taken_);
  free_written();
  tell(on_room);
}

void Pipe::begin() {
  wanted_ = true;
  tell(on_room);
}

bool Pipe::rewind() {
  if (!replayable())
    return false;
  taken_ = written_ = 0;
  return true;
}

void Pipe::abandon() {
  if (std::exchange(abandoned_, true))
    return;
  let_go_ = true;
  written_ = taken_ = appended_;
  free_written();
  tell(on_room);
}

void Pipe::let_go() {
  let_go_ = true;
  free_written();
}

// The last chunk stays while more may come into it: its free part is the source's room.
void Pipe::free_written() {
  if (!let_go_)
    return;
  bool over = end_ != End::Open || abandoned_;
  while (!chunks_.empty() && (base_ + kChunk <= written_ || (over && written_ == appended_))) {
    chunks_.pop_front();
    lane_.give();
    base_ += kChunk;
  }
}

}  // namespace dispatcher::streaming

// A queue of byte slices that wait to be written. Slices may be shared with others, and nothing is
// copied or moved when a part of them has been written.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::transport {

// Bytes together with an owner that keeps them alive. The owner may append more behind them but
// must not move them.
struct Slice {
  std::shared_ptr<const void> owner;
  std::string_view bytes;
};

class OutBuffer {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }  // bytes

  // The first `written` bytes have been written already. Small texts in a row are joined, so that a
  // head and its short body are one write; longer ones are taken over as they are.
  void push(std::string bytes, std::size_t written = 0) {
    std::size_t added = bytes.size() - written;
    if (added == 0)
      return;
    size_ += added;
    if (can_join(added)) {
      Part& last = parts_.back();
      std::size_t unwritten = last.unwritten.size() + added;
      last.text->append(bytes, written);
      last.unwritten = std::string_view(*last.text).substr(last.text->size() - unwritten);
      return;
    }
    auto text = std::make_shared<std::string>(std::move(bytes));
    std::string_view unwritten = std::string_view(*text).substr(written);
    std::string* appendable = text.get();
    parts_.push_back({appendable, std::move(text), unwritten});
  }
  void push(Slice slice) {
    if (slice.bytes.empty())
      return;
    size_ += slice.bytes.size();
    parts_.push_back({nullptr, std::move(slice.owner), slice.bytes});
  }
  // Calls visit(bytes) for the first slices, at most `maximum` of them.
  template <class Visit>
  void first(std::size_t maximum, Visit visit) const {
    for (std::size_t i = first_; i < parts_.size() && i < first_ + maximum; ++i)
      visit(parts_[i].unwritten);
  }
  // The first `count` bytes have been written.
  void drop(std::size_t count) {
    size_ -= count;
    while (count > 0 && count >= parts_[first_].unwritten.size()) {
      count -= parts_[first_].unwritten.size();
      parts_[first_].owner.reset();
      ++first_;
    }
    if (count > 0)
      parts_[first_].unwritten.remove_prefix(count);
    // Erased in batches: erasing each part from the front would move all the others.
    if (first_ == parts_.size() || first_ > kMaximumWrittenParts) {
      parts_.erase(parts_.begin(), parts_.begin() + static_cast<std::ptrdiff_t>(first_));
      first_ = 0;
    }
  }

 private:
  static constexpr std::size_t kMaximumJoinedBytes = 4 << 10;
  static constexpr std::size_t kMaximumWrittenParts = 64;
  struct Part {
    std::string* text;  // that only this buffer holds, and that may be appended to; else null
    std::shared_ptr<const void> owner;
    std::string_view unwritten;
  };

  bool can_join(std::size_t added) const {
    return first_ < parts_.size() && parts_.back().text &&
           parts_.back().text->size() + added <= kMaximumJoinedBytes;
  }

  // A vector: an empty deque allocates memory, and most connections have nothing waiting.
  std::vector<Part> parts_;
  std::size_t first_ = 0;  // index of the first part that is not written
  std::size_t size_ = 0;   // bytes
};

}  // namespace dispatcher::transport

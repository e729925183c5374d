// A queue of byte slices to be written. Slices can share their memory with other owners. A partial
// write copies and moves nothing.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::transport {

// A view of bytes together with an owner that keeps them alive. More bytes may be appended behind
// them, but they must not be moved.
struct Slice {
  std::shared_ptr<const void> owner;
  std::string_view bytes;
};

class OutBuffer {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }  // bytes

  // Appends `bytes` without the first `written` ones. Consecutive small strings are joined, so that
  // a head and its short body need one write; longer ones are moved in without a copy.
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
  // Calls visit(bytes) for the first slices, at most `max_slices` of them.
  template <class Visit>
  void visit_first(std::size_t max_slices, Visit visit) const {
    for (std::size_t i = first_; i < parts_.size() && i < first_ + max_slices; ++i)
      visit(parts_[i].unwritten);
  }
  // Removes the first `count` bytes, which have been written.
  void consume(std::size_t count) {
    size_ -= count;
    while (count > 0 && count >= parts_[first_].unwritten.size()) {
      count -= parts_[first_].unwritten.size();
      parts_[first_].owner.reset();
      ++first_;
    }
    if (count > 0)
      parts_[first_].unwritten.remove_prefix(count);
    // Erases in batches, because each erase from the front moves all remaining parts.
    if (first_ == parts_.size() || first_ > kMaxWrittenParts) {
      parts_.erase(parts_.begin(), parts_.begin() + static_cast<std::ptrdiff_t>(first_));
      first_ = 0;
    }
  }

 private:
  static constexpr std::size_t kMaxJoinedBytes = 4 << 10;
  static constexpr std::size_t kMaxWrittenParts = 64;
  struct Part {
    std::string* text;  // owned by this buffer alone, may be appended to; null for a Slice
    std::shared_ptr<const void> owner;
    std::string_view unwritten;
  };

  bool can_join(std::size_t added) const {
    return first_ < parts_.size() && parts_.back().text &&
           parts_.back().text->size() + added <= kMaxJoinedBytes;
  }

  // Not a deque: an empty deque allocates memory, and most connections have nothing to write.
  std::vector<Part> parts_;
  std::size_t first_ = 0;  // index of the first part that is not fully written
  std::size_t size_ = 0;   // bytes
};

}  // namespace dispatcher::transport

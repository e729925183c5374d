// What waits to be written: a queue of slices of bytes that others may hold too, so that nothing is
// copied or moved when a part of it has gone out.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dispatcher::transport {

// Bytes with an owner that they keep alive. The owner may grow behind them but must not move them.
struct Slice {
  std::shared_ptr<const void> owner;
  std::string_view bytes;
};

class OutBuffer {
 public:
  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

  // Small pieces that follow each other become one, so that a head and its short body are one
  // write. A body of some length is taken over as it is. The first `gone` bytes have gone out
  // already.
  void push(std::string bytes, std::size_t gone = 0) {
    std::size_t more = bytes.size() - gone;
    if (more == 0)
      return;
    size_ += more;
    if (first_ < parts_.size() && parts_.back().text &&
        parts_.back().text->size() + more <= kSmall) {
      Part& last = parts_.back();
      std::size_t rest = last.rest.size() + more;
      last.text->append(bytes, gone);
      last.rest = std::string_view(*last.text).substr(last.text->size() - rest);
      return;
    }
    auto text = std::make_shared<std::string>(std::move(bytes));
    std::string_view rest = std::string_view(*text).substr(gone);
    std::string* grows = text.get();
    parts_.push_back({grows, std::move(text), rest});
  }
  void push(Slice slice) {
    if (slice.bytes.empty())
      return;
    size_ += slice.bytes.size();
    parts_.push_back({nullptr, std::move(slice.owner), slice.bytes});
  }
  // Calls visit(bytes) for the first parts, at most `most` of them.
  template <class Visit>
  void first(std::size_t most, Visit visit) const {
    for (std::size_t i = first_; i < parts_.size() && i < first_ + most; ++i)
      visit(parts_[i].rest);
  }
  void drop(std::size_t n) {  // the first n bytes have gone out
    size_ -= n;
    while (n > 0 && n >= parts_[first_].rest.size()) {
      n -= parts_[first_].rest.size();
      parts_[first_++].owner.reset();
    }
    if (n > 0)
      parts_[first_].rest.remove_prefix(n);
    // What is gone leaves in one step now and then: taking it off the front each time would move
    // all the rest.
    if (first_ == parts_.size() || first_ > kGone) {
      parts_.erase(parts_.begin(), parts_.begin() + static_cast<std::ptrdiff_t>(first_));
      first_ = 0;
    }
  }

 private:
  static constexpr std::size_t kSmall = 4 << 10;
  static constexpr std::size_t kGone = 64;
  struct Part {
    std::string* text;  // one that only this buffer holds, and that may grow; else none
    std::shared_ptr<const void> owner;
    std::string_view rest;
  };
  std::vector<Part>
      parts_;  // no deque: an empty one owns memory, and most connections have nothing waiting
  std::size_t first_ = 0;
  std::size_t size_ = 0;
};

}  // namespace dispatcher::transport

// A slot map: a table of bounded size whose references detect that their entry was erased.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace dispatcher::transport {

// Refers to an entry of a SlotTable. After the entry was erased, find() returns null for it, even
// if the slot is in use again.
struct SlotRef {
  std::uint32_t slot = UINT32_MAX;
  std::uint32_t generation = 0;
  auto operator<=>(const SlotRef&) const = default;
};

template <class T>
class SlotTable {
 public:
  explicit SlotTable(std::size_t capacity) : capacity_(capacity) {}

  // Entries beyond a smaller capacity stay.
  void set_capacity(std::size_t capacity) { capacity_ = capacity; }
  bool full() const { return used_ >= capacity_; }
  std::size_t size() const { return used_; }

  // Returns nullopt if the table is full.
  std::optional<SlotRef> insert(T value) {
    if (full())
      return std::nullopt;
    std::uint32_t slot = take_free_slot();
    entries_[slot].value.emplace(std::move(value));
    ++used_;
    return SlotRef{slot, entries_[slot].generation};
  }
  // Returns null if the entry was erased. The pointer stays valid until the entry is erased.
  T* find(SlotRef ref) {
    if (ref.slot >= entries_.size())
      return nullptr;
    Entry& entry = entries_[ref.slot];
    return entry.generation == ref.generation && entry.value ? &*entry.value : nullptr;
  }
  void erase(SlotRef ref) {
    if (!find(ref))
      return;
    Entry& entry = entries_[ref.slot];
    entry.value.reset();
    ++entry.generation;
    --used_;
    free_slots_.push_back(ref.slot);
  }
  std::vector<SlotRef> refs() const {
    std::vector<SlotRef> all;
    for (std::uint32_t slot = 0; slot < entries_.size(); ++slot) {
      if (entries_[slot].value)
        all.push_back({slot, entries_[slot].generation});
    }
    return all;
  }

 private:
  struct Entry {
    std::uint32_t generation = 0;
    std::optional<T> value;
  };

  std::uint32_t take_free_slot() {
    if (free_slots_.empty()) {
      entries_.emplace_back();
      return static_cast<std::uint32_t>(entries_.size() - 1);
    }
    std::uint32_t slot = free_slots_.back();
    free_slots_.pop_back();
    return slot;
  }

  std::size_t capacity_;
  std::size_t used_ = 0;
  std::deque<Entry> entries_;  // a deque does not move its elements when it grows at the end
  std::vector<std::uint32_t> free_slots_;
};

}  // namespace dispatcher::transport

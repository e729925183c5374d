// A bounded table of numbered slots. A reference carries the slot's generation, so that a number
// kept too long finds nothing instead of the slot's next tenant.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace dispatcher::transport {

struct SlotRef {
  std::uint32_t slot = UINT32_MAX;
  std::uint32_t generation = 0;
  auto operator<=>(const SlotRef&) const = default;
};

template <class T>
class SlotTable {
 public:
  explicit SlotTable(std::size_t capacity) : capacity_(capacity) {}

  bool full() const { return used_ >= capacity_; }
  std::size_t size() const { return used_; }

  std::optional<SlotRef> insert(T value) {
    if (full())
      return std::nullopt;
    std::uint32_t slot;
    if (free_.empty()) {
      slot = static_cast<std::uint32_t>(entries_.size());
      entries_.emplace_back();
    } else {
      slot = free_.back();
      free_.pop_back();
    }
    entries_[slot].value.emplace(std::move(value));
    ++used_;
    return SlotRef{slot, entries_[slot].generation};
  }
  T* find(SlotRef ref) {
    if (ref.slot >= entries_.size())
      return nullptr;
    Entry& e = entries_[ref.slot];
    return e.generation == ref.generation && e.value ? &*e.value : nullptr;
  }
  void erase(SlotRef ref) {
    if (!find(ref))
      return;
    Entry& e = entries_[ref.slot];
    e.value.reset();
    ++e.generation;
    --used_;
    free_.push_back(ref.slot);
  }
  std::vector<SlotRef> refs() const {
    std::vector<SlotRef> all;
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
      {
        {
          {
            {
              {
                {
                  {
                    {
                      {
                        {
                          {
                            if (entries_[i].value)
                              all.push_back({i, entries_[i].generation});
                          }
                        }
                      }
                    }
                  }
                }
              }
            }
          }
        }
      }
    }
    return all;
  }

 private:
  struct Entry {
    std::uint32_t generation = 0;
    std::optional<T> value;
  };
  std::size_t capacity_;
  std::size_t used_ = 0;
  std::deque<Entry>
      entries_;  // a deque: what find() gave stays where it is while others are inserted
  std::vector<std::uint32_t> free_;
};

}  // namespace dispatcher::transport

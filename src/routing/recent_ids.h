// Remembers the newest request ids, up to a limit.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "dispatcher/scheduling/types.h"

namespace dispatcher::routing {

// Forgets the oldest id when one too many is added.
class RecentIds {
 public:
  explicit RecentIds(std::size_t max_ids) : max_ids_(max_ids) {}

  // An id that is already known keeps its place.
  void add(scheduling::RequestId id) {
    if (!known_.insert(id).second)
      return;
    oldest_first_.push_back(id);
    if (oldest_first_.size() <= max_ids_)
      return;
    known_.erase(oldest_first_.front());
    oldest_first_.pop_front();
  }
  bool contains(scheduling::RequestId id) const { return known_.contains(id); }
  const std::deque<scheduling::RequestId>& oldest_first() const { return oldest_first_; }

 private:
  std::size_t max_ids_;
  std::unordered_set<scheduling::RequestId> known_;
  std::deque<scheduling::RequestId> oldest_first_;
};

}  // namespace dispatcher::routing

// The requests that no worker can start soon, ordered by priority.
#pragma once

#include <set>
#include <utility>

#include "dispatcher/scheduling/types.h"
#include "scheduling/request_state.h"

namespace dispatcher::scheduling {

// Orders by priority weight per unit of work, highest first, then by the earliest objective
// deadline. In an overload, requests at the end of the order may never be sent.
class PendingQueue {
 public:
  using Entry = std::pair<QueuePriority, RequestId>;
  using Iterator = std::set<Entry>::const_iterator;

  explicit PendingQueue(const Settings& settings) : settings_(settings) {}

  void add(RequestState& state);
  void remove(RequestState& state);  // does nothing if the request is not pending

  bool empty() const { return entries_.empty(); }
  Iterator begin() const { return entries_.begin(); }
  Iterator end() const { return entries_.end(); }

 private:
  QueuePriority priority(const RequestState& state) const;

  const Settings& settings_;
  std::set<Entry> entries_;
};

}  // namespace dispatcher::scheduling

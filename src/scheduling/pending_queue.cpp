#include "scheduling/pending_queue.h"

#include <optional>

namespace dispatcher::scheduling {

void PendingQueue::add(RequestState& state) {
  state.queue_priority = priority(state);
  entries_.emplace(*state.queue_priority, state.request.id);
}

void PendingQueue::remove(RequestState& state) {
  if (state.queue_priority)
    entries_.erase({*std::exchange(state.queue_priority, std::nullopt), state.request.id});
}

QueuePriority PendingQueue::priority(const RequestState& state) const {
  const ClassSettings& settings = state.class_settings;
  double weight = settings.priority_weight * (state.late ? settings.late_weight : 1);
  if (state.over_quota)
    weight *= settings_.over_quota_weight;
  return {settings_.weight_by_work ? -weight : -weight / state.slot_work(),
          state.objective_deadline};
}

}  // namespace dispatcher::scheduling

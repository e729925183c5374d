#include "routing/request_table.h"

#include <algorithm>

namespace dispatcher::routing {

bool OpenRequest::has_open_attempt() const {
  return std::ranges::any_of(attempts, &Attempt::open);
}

std::optional<int> OpenRequest::open_attempt_at(const std::string& worker) const {
  for (int i = static_cast<int>(attempts.size()) - 1; i >= 0; --i) {
    if (attempts[i].open && attempts[i].worker == worker)
      return i;
  }
  return std::nullopt;
}

bool OpenRequest::has_earlier_attempt_that_may_report(int attempt) const {
  const std::string& worker = attempts[attempt].worker;
  return std::any_of(
      attempts.begin(), attempts.begin() + attempt,
      [&worker](const Attempt& earlier) { return earlier.may_report && earlier.worker == worker; });
}

bool OpenRequest::cannot_be_resent() const {
  return payload && payload->upload && !payload->upload->replayable();
}

bool OpenRequest::may_have_begun() const {
  return std::ranges::any_of(
      attempts, [](const Attempt& attempt) { return attempt.may_have_run || attempt.may_report; });
}

bool OpenRequest::has_unfinished_upload() const {
  return payload && payload->upload && !payload->upload->taken_all();
}

std::optional<RequestRef> RequestTable::insert(OpenRequest request) {
  if (unanswered_count_ >= max_requests_)
    return std::nullopt;
  scheduling::RequestId id = request.id;
  std::optional<RequestRef> ref = slots_.insert(std::move(request));
  if (!ref)
    return std::nullopt;
  by_id_[id] = *ref;
  ++unanswered_count_;
  return ref;
}

std::optional<RequestRef> RequestTable::find_id(scheduling::RequestId id) const {
  auto it = by_id_.find(id);
  if (it == by_id_.end() || !slots_.find(it->second))
    return std::nullopt;
  return it->second;
}

void RequestTable::remove(RequestRef ref) {
  const OpenRequest& request = *slots_.find(ref);
  remember_ended(request.may_have_begun() ? begun_ids_ : not_begun_ids_, request.id);
  slots_.erase(ref);
}

void RequestTable::remember_ended(EndedIds& ended, scheduling::RequestId id) {
  ended.push_back(id);
  if (ended.size() <= kMaxEndedIds)
    return;
  by_id_.erase(ended.front());
  ended.pop_front();
}

void RequestTable::mark_answered(OpenRequest& request) {
  request.answered = true;
  --unanswered_count_;
  // No further attempt follows, and an attempt that is still being sent holds its own reference.
  if (!request.payload->upload)
    request.payload.reset();
}

std::vector<scheduling::RequestId> RequestTable::known_ids() const {
  const std::deque<scheduling::RequestId>& external = external_ids_.oldest_first();
  std::vector<scheduling::RequestId> ids(external.begin(), external.end());
  ids.insert(ids.end(), begun_ids_.begin(), begun_ids_.end());
  for (RequestRef ref : slots_.refs())
    ids.push_back(slots_.find(ref)->id);
  return ids;
}

void RequestTable::add_external_ids(const std::vector<scheduling::RequestId>& ids) {
  for (scheduling::RequestId id : ids)
    external_ids_.add(id);
}

void RequestTable::make_external(scheduling::RequestId id) {
  by_id_.erase(id);
  external_ids_.add(id);
}

std::vector<RequestRef> RequestTable::unanswered() const {
  std::vector<RequestRef> refs;
  for (RequestRef ref : slots_.refs()) {
    if (!slots_.find(ref)->answered)
      refs.push_back(ref);
  }
  return refs;
}

}  // namespace dispatcher::routing

#include "operations/cordon_list.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dispatcher::operations {

using protocol::EndpointUpdate;
using protocol::WorkerEndpoint;
using scheduling::Readiness;
using scheduling::Time;

namespace {

bool started_after(const WorkerEndpoint& worker, Time time) {
  return worker.entry.online_since && *worker.entry.online_since > time;
}

}  // namespace

EndpointUpdate CordonList::apply(const EndpointUpdate& update) {
  if (update.is_snapshot)
    listed_.clear();
  revision_ = update.revision;
  EndpointUpdate out{update.revision, update.is_snapshot, {}};
  for (const WorkerEndpoint& worker : update.entries) {
    if (worker.entry.readiness == Readiness::Removed) {
      listed_.erase(worker.uid);
      out.entries.push_back(worker);
      continue;
    }
    listed_[worker.uid] = worker;
    out.entries.push_back(as_scheduled(worker));
  }
  drop_old_records();
  return out;
}

bool CordonList::cordoned(const std::string& uid) const {
  auto found = cordons_.find(uid);
  return found != cordons_.end() && !found->second.uncordon_time;
}

// A worker that was cordoned may have been removed from the list since.
bool CordonList::is_known(const std::string& uid) const {
  auto found = cordons_.find(uid);
  return listed_.contains(uid) || (found != cordons_.end() && found->second.was_cordoned());
}

// Operators restart a worker while it is cordoned, and discovery may report the restart late or
// never. Until it does, an uncordoned worker counts as started when it was uncordoned, so that it
// goes through slow start.
WorkerEndpoint CordonList::as_scheduled(const WorkerEndpoint& worker) const {
  WorkerEndpoint scheduled = worker;
  auto found = cordons_.find(worker.uid);
  if (found != cordons_.end() && found->second.uncordon_time &&
      !is_settled(worker.uid, found->second))
    scheduled.entry.online_since = found->second.uncordon_time;
  bool excluded = excluded_after_ && started_after(scheduled, *excluded_after_);
  if ((cordoned(worker.uid) || excluded) && scheduled.entry.readiness == Readiness::Ready)
    scheduled.entry.readiness = Readiness::Draining;
  return scheduled;
}

EndpointUpdate CordonList::full_update() const {
  EndpointUpdate update;
  for (const auto& [uid, worker] : listed_)
    update.entries.push_back(as_scheduled(worker));
  return update;
}

EndpointUpdate CordonList::with_shifted_start_times(scheduling::Duration shift) const {
  EndpointUpdate moved{revision_, true, {}};
  for (const auto& [uid, worker] : listed_) {
    moved.entries.push_back(worker);
    std::optional<Time>& online_since = moved.entries.back().entry.online_since;
    if (online_since)
      *online_since += shift;
  }
  return moved;
}

EndpointUpdate CordonList::exclude_warming_up(std::optional<Time> since) {
  excluded_after_ = since;
  return full_update();
}

EndpointUpdate CordonList::replace_cordons(std::map<std::string, Cordon> cordons) {
  cordons_ = std::move(cordons);
  drop_old_records();
  return full_update();
}

std::optional<EndpointUpdate> CordonList::cordon(const std::string& uid, Time now) {
  if (!listed_.contains(uid) && !cordoned(uid))
    return std::nullopt;
  return record_call({.worker = uid, .cordoned = true, .time = now});
}

std::optional<EndpointUpdate> CordonList::uncordon(const std::string& uid, Time now) {
  if (!is_known(uid))
    return std::nullopt;
  return record_call({.worker = uid, .cordoned = false, .time = now});
}

std::optional<EndpointUpdate> CordonList::apply_acknowledged(const CordonChange& change) {
  auto found = cordons_.find(change.worker);
  if (found != cordons_.end() && found->second.latest_call > change.time)
    return std::nullopt;
  EndpointUpdate update = record_call(change);
  drop_old_records();
  return update;
}

// Returns an empty update if an uncordon call changes nothing.
EndpointUpdate CordonList::record_call(const CordonChange& change) {
  bool was_cordoned = cordoned(change.worker);
  Cordon& cordon =
      cordons_.insert({change.worker, {change.time, change.time, change.time}}).first->second;
  cordon.latest_call = change.time;
  if (!change.cordoned && !was_cordoned)
    return {};
  if (!change.cordoned) {
    cordon.uncordon_time = change.time;
  } else if (!was_cordoned) {
    cordon = {change.time, std::nullopt, change.time};
  }
  return update_of(change.worker);
}

EndpointUpdate CordonList::update_of(const std::string& uid) const {
  EndpointUpdate update;
  auto worker = listed_.find(uid);
  if (worker != listed_.end())
    update.entries.push_back(as_scheduled(worker->second));
  return update;
}

// Discovery has reported a restart since the cordon, or there was no cordon.
bool CordonList::is_settled(const std::string& uid, const Cordon& cordon) const {
  if (!cordon.uncordon_time)
    return false;
  auto worker = listed_.find(uid);
  return !cordon.was_cordoned() ||
         (worker != listed_.end() && started_after(worker->second, cordon.cordon_time));
}

void CordonList::drop_old_records() {
  drop_oldest(kMaxSettledRecords, [this](const std::string& uid, const Cordon& cordon) {
    return is_settled(uid, cordon);
  });
  drop_oldest(kMaxUnlistedRecords,
              [this](const std::string& uid, const Cordon&) { return !listed_.contains(uid); });
}

// Drops the oldest records that meet the condition, until at most `max_records` of them are left.
template <class Condition>
void CordonList::drop_oldest(std::size_t max_records, Condition condition) {
  if (cordons_.size() <= max_records)
    return;
  struct Candidate {
    bool cordoned = false;  // false sorts first
    Time latest_call;
    std::string uid;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const auto& [uid, cordon] : cordons_) {
    if (condition(uid, cordon))
      candidates.push_back({!cordon.uncordon_time, cordon.latest_call, uid});
  }
  std::ranges::sort(candidates);
  for (std::size_t i = 0; i + max_records < candidates.size(); ++i) {
    cordons_.erase(candidates[i].uid);
    dropped_cordons_ += candidates[i].cordoned ? 1 : 0;
  }
}

}  // namespace dispatcher::operations

#include "fleet/load_gossip.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace dispatcher::fleet {
namespace {

constexpr unsigned kVersion = 1;
constexpr int kMaxEntryJobs = 15;  // an entry has four bits for it
constexpr std::size_t kEntryBytes = 3;
constexpr std::size_t kNeighborhoodSize = 8;

struct Entry {
  unsigned version = 0;
  int jobs = 0;
  std::uint16_t worker = 0;
};

Entry read_entry(std::string_view message, std::size_t offset) {
  auto byte = [&](std::size_t index) -> unsigned {
    return static_cast<unsigned char>(message[offset + index]);
  };
  return {.version = byte(0) >> 4,
          .jobs = static_cast<int>(byte(0) & 0xf),
          .worker = static_cast<std::uint16_t>(byte(1) << 8 | byte(2))};
}

// Returns nullopt if any part of the message is invalid.
std::optional<std::vector<Entry>> decode(std::string_view message) {
  if (message.empty() || message.size() > kMaxMessageBytes || message.size() % kEntryBytes != 0)
    return std::nullopt;
  std::vector<Entry> entries;
  entries.reserve(message.size() / kEntryBytes);
  for (std::size_t offset = 0; offset < message.size(); offset += kEntryBytes) {
    Entry entry = read_entry(message, offset);
    if (entry.version != kVersion)
      return std::nullopt;
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace

// Rendezvous hashing: the dispatchers with the lowest hashes of worker and index. Neighborhoods of
// different workers overlap in varied ways, so that a burst at one dispatcher spreads over the
// fleet.
std::vector<int> neighborhood_of(std::string_view worker, int dispatchers) {
  struct Candidate {
    std::uint64_t hash = 0;
    int dispatcher = 0;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (int i = 0; i < dispatchers; ++i) {
    XXH64_hash_t seed = static_cast<XXH64_hash_t>(i) + 1;
    candidates.push_back({XXH3_64bits_withSeed(worker.data(), worker.size(), seed), i});
  }
  std::size_t size = std::min(kNeighborhoodSize, candidates.size());
  std::ranges::partial_sort(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(size));
  std::vector<int> neighborhood;
  for (std::size_t i = 0; i < size; ++i)
    neighborhood.push_back(candidates[i].dispatcher);
  return neighborhood;
}

// Every dispatcher computes the same short name. If two workers share one, only the first is
// gossiped about, and jobs at the second count for it; this only distorts the estimate of its load.
LoadGossip::ShortName LoadGossip::short_name(std::string_view worker) {
  return static_cast<ShortName>(XXH3_64bits(worker.data(), worker.size()));
}

int LoadGossip::Worker::claimed_jobs() const {
  int sum = 0;
  for (const auto& [sender, claim] : claims)
    sum += claim.jobs;
  return std::min(sum, kMaxJobsPerWorker);
}

void LoadGossip::set_workers(const std::vector<std::string>& workers, const JobsCallback& changed) {
  std::set<ShortName> listed;
  for (const std::string& worker : workers) {
    ShortName name = short_name(worker);
    listed.insert(name);
    if (!workers_.contains(name))
      add_worker(name, worker, changed);
  }
  std::erase_if(workers_, [&](const auto& entry) { return !listed.contains(entry.first); });
  std::erase_if(pending_, [&](ShortName name) { return !listed.contains(name); });
  rebuild_indexes();
  if (restate_requested_at_ && !workers_.empty())
    restate_counts(*std::exchange(restate_requested_at_, std::nullopt));
}

void LoadGossip::restate_counts(Time now) {
  if (workers_.empty()) {
    restate_requested_at_ = now;
    return;
  }
  for (auto& [name, worker] : neighborhood_) {
    for (auto& [listener, count] : worker->notified)
      count = kUnknownCount;
    if (has_unnotified(*worker) && pending_.insert(name).second)
      worker->pending_since = now;
  }
}

void LoadGossip::add_worker(ShortName name, const std::string& worker,
                            const JobsCallback& changed) {
  Worker& added = workers_[name];
  added.name = worker;
  std::vector<int> neighbors = neighborhood_of(worker, dispatchers_);
  if (std::erase(neighbors, self_) == 0 || neighbors.empty())
    return;
  for (int neighbor : neighbors)
    added.notified[neighbor] = 0;
  changed(worker, 0);
}

void LoadGossip::rebuild_indexes() {
  neighborhood_.clear();
  claimed_by_sender_.clear();
  for (auto& [name, worker] : workers_) {
    if (!worker.notified.empty())
      neighborhood_[name] = &worker;
    for (const auto& [sender, claim] : worker.claims)
      claimed_by_sender_[sender] += claim.jobs;
  }
}

bool LoadGossip::has_unnotified(const Worker& worker) const {
  return std::ranges::any_of(worker.notified, [&](const auto& entry) {
    const auto& [listener, count] = entry;
    return count != worker.announced && !unreachable_.contains(listener);
  });
}

std::string LoadGossip::encode_entry(ShortName name, const Worker& worker) {
  return {static_cast<char>(kVersion << 4 | static_cast<unsigned>(worker.announced)),
          static_cast<char>(name >> 8), static_cast<char>(name & 0xff)};
}

std::vector<int> LoadGossip::listeners(const std::string& worker) const {
  std::vector<int> all;
  if (auto it = workers_.find(short_name(worker)); it != workers_.end()) {
    for (const auto& [listener, count] : it->second.notified)
      all.push_back(listener);
  }
  return all;
}

void LoadGossip::announce(Time now, const std::string& worker, int jobs) {
  ShortName name = short_name(worker);
  auto it = workers_.find(name);
  if (it == workers_.end() || it->second.notified.empty())
    return;
  Worker& entry = it->second;
  if (!pending_.contains(name))
    entry.pending_since = now;
  entry.announced = std::clamp(jobs, 0, kMaxEntryJobs);
  entry.ever_used |= jobs > 0;
  if (has_unnotified(entry)) {
    pending_.insert(name);
  } else {
    pending_.erase(name);  // back at the count that all listeners were sent
  }
}

bool LoadGossip::any_idle() const {
  return std::ranges::any_of(neighborhood_, [](const auto& entry) {
    const Worker& worker = *entry.second;
    return worker.ever_used && worker.announced == 0 && worker.claims.empty();
  });
}

// Resends unchanged counts, since messages may be lost and received entries expire.
void LoadGossip::repeat_unchanged(Time now) {
  if (now - last_repeat_check_ < kMaxDecreaseDelay)
    return;
  last_repeat_check_ = now;
  for (auto& [name, worker] : neighborhood_) {
    if (worker->announced == 0 || now - worker->last_sent < kEntryLifetime / 2)
      continue;
    for (auto& [listener, count] : worker->notified)
      count = 0;
    pending_.insert(name);
  }
}

std::set<int> LoadGossip::listeners_due(Time now) const {
  std::optional<bool> idle;  // computed on first use, since it scans the whole neighborhood
  std::set<int> due;
  for (ShortName name : pending_) {
    const Worker& worker = workers_.at(name);
    bool rose = std::ranges::any_of(
        worker.notified, [&](const auto& entry) { return entry.second < worker.announced; });
    if (!rose && now - worker.pending_since < kMaxDecreaseDelay) {
      if (!idle)
        idle = any_idle();
      if (*idle)
        continue;
    }
    for (const auto& [listener, count] : worker.notified) {
      if (count != worker.announced && !unreachable_.contains(listener))
        due.insert(listener);
    }
  }
  return due;
}

std::vector<LoadGossip::Message> LoadGossip::due_messages(Time now, std::size_t max_bytes) {
  repeat_unchanged(now);
  std::vector<Message> messages;
  for (int listener : listeners_due(now)) {
    std::string bytes = take_payload(now, listener, max_bytes);
    while (!bytes.empty()) {
      messages.push_back({.to = listener, .bytes = std::move(bytes)});
      bytes = take_payload(now, listener, max_bytes);
    }
  }
  return messages;
}

std::string LoadGossip::take_payload(Time now, int listener, std::size_t max_bytes) {
  std::string out;
  for (auto it = pending_.begin(); it != pending_.end() && out.size() + kEntryBytes <= max_bytes;) {
    Worker& worker = workers_.at(*it);
    auto notified = worker.notified.find(listener);
    if (notified != worker.notified.end() && notified->second != worker.announced) {
      out += encode_entry(*it, worker);
      notified->second = worker.announced;
      worker.last_sent = now;
    }
    it = has_unnotified(worker) ? std::next(it) : pending_.erase(it);
  }
  return out;
}

void LoadGossip::set_reachable(int listener, bool reachable) {
  if (!reachable) {
    unreachable_.insert(listener);
    std::erase_if(pending_, [this](ShortName name) { return !has_unnotified(workers_.at(name)); });
    return;
  }
  unreachable_.erase(listener);
  for (auto& [name, worker] : neighborhood_) {
    auto notified = worker->notified.find(listener);
    if (notified == worker->notified.end())
      continue;
    notified->second = 0;
    if (has_unnotified(*worker))
      pending_.insert(name);
  }
}

bool LoadGossip::handle_message(Time now, std::size_t sender, std::string_view message,
                                const JobsCallback& changed) {
  auto entries = decode(message);
  if (!entries)
    return false;
  for (const Entry& entry : *entries) {
    auto it = workers_.find(entry.worker);
    if (it != workers_.end() && !it->second.notified.empty())
      apply_claim(now, sender, it->second, entry.jobs, changed);
  }
  return true;
}

void LoadGossip::apply_claim(Time now, std::size_t sender, Worker& worker, int jobs,
                             const JobsCallback& changed) {
  int before = worker.claimed_jobs();
  int& claimed = claimed_by_sender_[sender];
  Claim& claim = worker.claims[sender];
  claimed -= claim.jobs;
  // Limits the jobs per sender, so that no faulty or foreign one makes the whole fleet look full.
  claim = {.jobs = std::min(jobs, kMaxJobsPerSender - claimed), .received_at = now};
  claimed += claim.jobs;
  worker.ever_used |= jobs > 0;
  if (claim.jobs == 0)
    worker.claims.erase(sender);
  int after = worker.claimed_jobs();
  if (after != before)
    changed(worker.name, after);
}

void LoadGossip::expire(Time now, const JobsCallback& changed) {
  for (auto& [name, worker] : workers_) {
    int before = worker.claimed_jobs();
    std::erase_if(worker.claims, [&](const auto& entry) {
      const auto& [sender, claim] = entry;
      bool expired = now - claim.received_at > kEntryLifetime;
      if (expired)
        claimed_by_sender_[sender] -= claim.jobs;
      return expired;
    });
    int after = worker.claimed_jobs();
    if (after != before)
      changed(worker.name, after);
  }
}

}  // namespace dispatcher::fleet

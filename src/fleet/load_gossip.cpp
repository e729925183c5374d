#include "fleet/load_gossip.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <optional>

namespace dispatcher::fleet {
namespace {

constexpr unsigned kVersion = 1;
constexpr int kMostTold = 15;
constexpr std::size_t kEntry = 3;
constexpr std::size_t kNear = 8;

}  // namespace

// Those with the least hash of the two numbers: no order, so that the groups of different workers
// overlap in all ways and a crowd at one dispatcher spreads over the whole fleet.
std::vector<int> near_to(std::string_view worker, int dispatchers) {
  std::vector<std::pair<std::uint64_t, int>> order;
  for (int i = 0; i < dispatchers; ++i) {
    order.emplace_back(
        XXH3_64bits_withSeed(worker.data(), worker.size(), static_cast<XXH64_hash_t>(i) + 1), i);
  }
  std::size_t many = std::min(kNear, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(many), order.end());
  std::vector<int> near;
  for (std::size_t i = 0; i < many; ++i)
    near.push_back(order[i].second);
  return near;
}

// The same at every dispatcher. Of two workers with one short name only the first has news, in
// which what is at the second is mixed: a wrong guess of its load, no more.
std::uint16_t LoadGossip::short_name(std::string_view worker) {
  return static_cast<std::uint16_t>(XXH3_64bits(worker.data(), worker.size()));
}

int LoadGossip::Worker::sum() const {
  int all = 0;
  for (const auto& [sender, claim] : claims)
    all += claim.jobs;
  return std::min(all, kMostThere);
}

void LoadGossip::list(const std::vector<std::string>& workers, const Changed& changed) {
  std::set<std::uint16_t> named;
  for (const std::string& worker : workers) {
    named.insert(short_name(worker));
    auto [it, fresh] = workers_.try_emplace(short_name(worker));
    if (!fresh)
      continue;
    it->second.name = worker;
    std::vector<int> near = near_to(worker, dispatchers_);
    if (std::erase(near, self_) == 0)
      near.clear();
    for (int i : near)
      it->second.told[i] = 0;
    if (!near.empty())
      changed(worker, 0);
  }
  std::erase_if(workers_, [&](const auto& w) { return !named.contains(w.first); });
  std::erase_if(waiting_, [&](std::uint16_t name) { return !named.contains(name); });
  near_.clear();
  for (auto& [name, w] : workers_) {
    if (!w.told.empty())
      near_[name] = &w;
  }
  of_one_.clear();
  for (const auto& [name, w] : workers_) {
    for (const auto& [sender, claim] : w.claims)
      of_one_[sender] += claim.jobs;
  }
}

bool LoadGossip::untold(const Worker& w) const {
  return std::ranges::any_of(
      w.told, [&](const auto& t) { return t.second != w.jobs && !away_.contains(t.first); });
}

std::string LoadGossip::entry(std::uint16_t name, const Worker& w) {
  return {static_cast<char>(kVersion << 4 | static_cast<unsigned>(w.jobs)),
          static_cast<char>(name >> 8), static_cast<char>(name & 0xff)};
}

std::vector<int> LoadGossip::listeners(const std::string& worker) const {
  std::vector<int> all;
  if (auto it = workers_.find(short_name(worker)); it != workers_.end()) {
    for (const auto& [listener, told] : it->second.told)
      all.push_back(listener);
  }
  return all;
}

void LoadGossip::announce(Time now, const std::string& worker, int jobs) {
  auto it = workers_.find(short_name(worker));
  if (it == workers_.end() || it->second.told.empty())
    return;
  Worker& w = it->second;
  if (!waiting_.contains(it->first))
    w.changed = now;
  w.jobs = std::clamp(jobs, 0, kMostTold);
  w.used |= jobs > 0;
  if (untold(w)) {
    waiting_.insert(it->first);
  } else {
    waiting_.erase(it->first);  // a new job has taken the place of the one that ended
  }
}

bool LoadGossip::somebody_idle() const {
  return std::ranges::any_of(near_, [](const auto& w) {
    return w.second->used && w.second->jobs == 0 && w.second->claims.empty();
  });
}

std::vector<LoadGossip::Message> LoadGossip::due(Time now, std::size_t room) {
  if (now - looked_ >= kLeft) {
    looked_ = now;
    for (auto& [name, w] : near_) {  // one may have been lost, and none counts for ever
      if (w->jobs > 0 && now - w->said >= kKept / 2) {
        for (auto& [listener, told] : w->told)
          told = 0;
        waiting_.insert(name);
      }
    }
  }
  if (waiting_.empty())
    return {};
  std::optional<bool> idle;  // looked at where something has fallen
  std::map<int, std::string> out;
  for (std::uint16_t name : waiting_) {
    const Worker& w = workers_.at(name);
    bool rose = std::ranges::any_of(w.told, [&](const auto& t) { return t.second < w.jobs; });
    if (!rose && now - w.changed < kLeft) {
      if (!idle)
        idle = somebody_idle();
      if (*idle)
        continue;
    }
    for (const auto& [listener, told] : w.told) {
      if (told != w.jobs && !away_.contains(listener))
        out[listener];
    }
  }
  std::vector<Message> messages;
  for (auto& [listener, bytes] : out) {
    while (!(bytes = riding(now, listener, room)).empty())
      messages.push_back({listener, std::move(bytes)});
  }
  return messages;
}

std::string LoadGossip::riding(Time now, int listener, std::size_t room) {
  std::string out;
  for (auto it = waiting_.begin(); it != waiting_.end() && out.size() + kEntry <= room;) {
    Worker& w = workers_.at(*it);
    if (auto t = w.told.find(listener); t != w.told.end() && t->second != w.jobs) {
      out += entry(*it, w);
      t->second = w.jobs;
      w.said = now;
    }
    it = untold(w) ? std::next(it) : waiting_.erase(it);
  }
  return out;
}

void LoadGossip::hears(int listener, bool there) {
  if (!there) {
    away_.insert(listener);
    std::erase_if(waiting_, [this](std::uint16_t name) { return !untold(workers_.at(name)); });
    return;
  }
  away_.erase(listener);
  for (auto& [name, w] : near_) {
    if (auto t = w->told.find(listener); t != w->told.end()) {
      t->second = 0;
      if (untold(*w))
        waiting_.insert(name);
    }
  }
}

bool LoadGossip::take(Time now, std::size_t sender, std::string_view message,
                      const Changed& changed) {
  if (message.empty() || message.size() > kLongest || message.size() % kEntry != 0)
    return false;
  for (std::size_t i = 0; i < message.size(); i += kEntry) {
    if (static_cast<unsigned char>(message[i]) >> 4 != kVersion)
      return false;
  }
  for (std::size_t i = 0; i < message.size(); i += kEntry) {
    auto byte = [&](std::size_t k) {
      return static_cast<unsigned char>(message[i + k]);
    };
    auto it = workers_.find(static_cast<std::uint16_t>(byte(1) << 8 | byte(2)));
    if (it == workers_.end() || it->second.told.empty())
      continue;  // not on our list (yet, or any more)
    Worker& w = it->second;
    int before = w.sum();
    int jobs = byte(0) & 15;
    int& believed = of_one_[sender];
    Claim& claim = w.claims[sender];
    believed -= claim.jobs;
    // Guards against a dispatcher that has lost count, or is not one: it cannot make the whole
    // fleet look full.
    claim = {std::min(jobs, kMostOfOne - believed), now};
    believed += claim.jobs;
    w.used |= jobs > 0;
    if (claim.jobs == 0)
      w.claims.erase(sender);
    if (w.sum() != before)
      changed(w.name, w.sum());
  }
  return true;
}

void LoadGossip::expire(Time now, const Changed& changed) {
  for (auto& [name, w] : workers_) {
    int before = w.sum();
    for (auto it = w.claims.begin(); it != w.claims.end();) {
      bool old = now - it->second.at > kKept;
      if (old)
        of_one_[it->first] -= it->second.jobs;
      it = old ? w.claims.erase(it) : std::next(it);
    }
    if (w.sum() != before)
      changed(w.name, w.sum());
  }
}

}  // namespace dispatcher::fleet

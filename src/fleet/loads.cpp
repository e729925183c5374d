#include "loads.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <set>

namespace oatledge::fleet {
namespace {

constexpr unsigned kVersion = 1;
constexpr int kMostTold = 15;
constexpr std::size_t kEntry = 3;
constexpr std::size_t kNear = 8;

}  // namespace

// Those with the least hash of the two numbers: no order, so that the groups of different workers overlap in
// all ways and a crowd at one dispatcher spreads over the whole fleet.
std::vector<int> near_to(std::string_view worker, int dispatchers) {
  std::vector<std::pair<std::uint64_t, int>> order;
  for (int i = 0; i < dispatchers; ++i)
    order.emplace_back(XXH3_64bits_withSeed(worker.data(), worker.size(), static_cast<XXH64_hash_t>(i) + 1),
                       i);
  std::size_t many = std::min(kNear, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(many), order.end());
  std::vector<int> near;
  for (std::size_t i = 0; i < many; ++i) near.push_back(order[i].second);
  return near;
}

// The same at every dispatcher. Of two workers with one short name only the first has news, in which what is
// at the second is mixed: a wrong guess of its load, no more.
std::uint16_t Loads::short_name(std::string_view worker) {
  return static_cast<std::uint16_t>(XXH3_64bits(worker.data(), worker.size()));
}

int Loads::Worker::sum() const {
  int all = 0;
  for (const auto& [sender, claim] : claims) all += claim.jobs;
  return std::min(all, kMostThere);
}

void Loads::list(const std::vector<std::string>& workers, const Changed& changed) {
  std::set<std::uint16_t> named;
  for (const std::string& worker : workers) {
    named.insert(short_name(worker));
    auto [it, fresh] = workers_.try_emplace(short_name(worker));
    if (!fresh) continue;
    it->second.name = worker, it->second.listeners = near_to(worker, dispatchers_);
    if (std::erase(it->second.listeners, self_) == 0) it->second.listeners.clear();
    if (!it->second.listeners.empty()) changed(worker, 0);
  }
  std::erase_if(workers_, [&](const auto& w) { return !named.contains(w.first); });
  of_one_.clear();
  for (const auto& [name, w] : workers_)
    for (const auto& [sender, claim] : w.claims) of_one_[sender] += claim.jobs;
}

std::vector<int> Loads::listeners(const std::string& worker) const {
  auto it = workers_.find(short_name(worker));
  return it == workers_.end() ? std::vector<int>() : it->second.listeners;
}

std::string Loads::tell(const std::string& worker, int jobs) {
  auto it = workers_.find(short_name(worker));
  jobs = std::clamp(jobs, 0, kMostTold);
  if (it == workers_.end() || it->second.listeners.empty() || it->second.told == jobs) return {};
  it->second.told = jobs;
  return {static_cast<char>(kVersion << 4 | static_cast<unsigned>(jobs)), static_cast<char>(it->first >> 8),
          static_cast<char>(it->first & 0xff)};
}

bool Loads::take(Time now, std::size_t sender, std::string_view message, const Changed& changed) {
  if (message.empty() || message.size() > kLongest || message.size() % kEntry != 0) return false;
  for (std::size_t i = 0; i < message.size(); i += kEntry)
    if (static_cast<unsigned char>(message[i]) >> 4 != kVersion) return false;
  for (std::size_t i = 0; i < message.size(); i += kEntry) {
    auto byte = [&](std::size_t k) { return static_cast<unsigned char>(message[i + k]); };
    auto it = workers_.find(static_cast<std::uint16_t>(byte(1) << 8 | byte(2)));
    if (it == workers_.end() || it->second.listeners.empty()) continue;  // not on our list (yet, or any more)
    Worker& w = it->second;
    int before = w.sum(), jobs = byte(0) & 15, &believed = of_one_[sender];
    Claim& claim = w.claims[sender];
    believed -= claim.jobs;
    // Guards against a dispatcher that has lost count, or is not one: it cannot make the whole fleet look
    // full.
    claim = {std::min(jobs, kMostOfOne - believed), now};
    believed += claim.jobs;
    if (claim.jobs == 0) w.claims.erase(sender);
    if (w.sum() != before) changed(w.name, w.sum());
  }
  return true;
}

void Loads::expire(Time now, const Changed& changed) {
  for (auto& [name, w] : workers_) {
    int before = w.sum();
    for (auto it = w.claims.begin(); it != w.claims.end();) {
      bool old = now - it->second.at > kKept;
      if (old) of_one_[it->first] -= it->second.jobs;
      it = old ? w.claims.erase(it) : std::next(it);
    }
    if (w.sum() != before) changed(w.name, w.sum());
  }
}

}  // namespace oatledge::fleet

#include "testbed/processes/process_fleet.h"

#include <json/reader.h>
#include <csignal>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace dispatcher::testbed {

ProcessFleet::ProcessFleet(Setup setup)
    : setup_(std::move(setup)),
      host_(own_host()),
      workers_(host_, setup_.workers),
      relays_(host_, setup_.members, setup_.seed) {
  for (int i = 0; i < setup_.members; ++i)
    members_.emplace_back();
  workers_.limit(setup_.slots, setup_.places);
  rate_ = setup_.rate;
  char pattern[] = "/tmp/dispatcher-keys-XXXXXX";
  folder_ = mkdtemp(pattern);
}

ProcessFleet::~ProcessFleet() {
  orders_end();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

namespace {
void write_private(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
  std::filesystem::permissions(
      path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
}
}  // namespace

void ProcessFleet::keys(int i, const std::string& text) {
  auto times = [&] {
    std::string log = member(i).log();
    std::string said = "keys: read again";
    int n = 0;
    for (std::size_t at = 0; (at = log.find(said, at)) != std::string::npos; ++at)
      ++n;
    return n;
  };
  int before = times();
  write_private(folder_ + "/" + std::to_string(i), text);
  kill(member(i).pid(), SIGHUP);
  wait([&] { return times() > before; });
}

void ProcessFleet::start(int i) {
  auto& member = members_.at(static_cast<std::size_t>(i));
  if (member) {
    member->start_again();
  } else {
    Json::Value more;
    Json::Value peers(Json::arrayValue);
    for (const std::string& p : relays_.all()) {
      if (setup_.seeds == 0)
        peers.append(p);
    }
    more["peer_listen"] = relays_.listen(i);
    more["peers"] = peers;
    more["settings"]["Index"] = i;
    more["settings"]["Balancers"] = setup_.members;
    more["settings"]["Permissions"]["Peers"] = true;
    Dispatcher::Setup one;
    one.program = setup_.program;
    one.config = setup_.config;
    one.host = host_;
    one.features = "streaming {} fleet { period_ms: " + std::to_string(setup_.period_ms) +
                   " answer_ms: " + std::to_string(setup_.answer_ms) +
                   " forget_s: " + std::to_string(setup_.forget_s);
    for (int k = 0; k < setup_.seeds; ++k)
      one.features += " seed: \"" + relays_.all()[static_cast<std::size_t>(k)] + "\"";
    if (setup_.seeds > 0)
      one.features += " advertise: \"" + relays_.all()[static_cast<std::size_t>(i)] + "\"";
    if (!setup_.keys.empty()) {
      std::string path = folder_ + "/" + std::to_string(i);
      write_private(path, setup_.keys);
      one.features += " key_file: \"" + path + "\"";
    }
    one.features += " }";
    one.sockets = 256;
    one.operators = true;
    one.trace = setup_.trace;
    one.more = more.toStyledString();
    member = std::make_unique<Dispatcher>(one, workers_);
  }
  up_.insert(i);
}

void ProcessFleet::start_all() {
  for (int i = 0; i < setup_.members; ++i)
    start(i);
}

void ProcessFleet::crash(int i) {
  up_.erase(i);
  member(i).crash();
}

int ProcessFleet::leave(int i) {
  up_.erase(i);
  return member(i).end();
}

void ProcessFleet::stop(int i) {
  up_.erase(i);
  kill(member(i).pid(), SIGSTOP);
}
void ProcessFleet::wake(int i) {
  up_.insert(i);
  kill(member(i).pid(), SIGCONT);
}

Json::Value ProcessFleet::view(int i) {
  Json::Value out;
  Call c = call(member(i).operators(), "GET", "/admin/fleet");
  if (c.status == 200)
    std::istringstream(c.body) >> out;
  return out;
}

std::map<std::string, int> ProcessFleet::states(const Json::Value& view) {
  std::map<std::string, int> out;
  for (const Json::Value& m : view["members"])
    ++out[m["state"].asString()];
  return out;
}

bool ProcessFleet::agree(const std::set<int>& these) {
  std::set<std::string> digests;
  for (int i : these) {
    Json::Value v = view(i);
    auto s = states(v);
    if (s["alive"] + 1 != static_cast<int>(these.size()) || s["suspect"] > 0)
      return false;
    digests.insert(v["digest"].asString());
  }
  return digests.size() == 1;
}

void ProcessFleet::wait(const std::function<bool()>& comes) {
  while (!comes())
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

void ProcessFleet::orders_begin(const std::vector<int>& at) {
  std::vector<std::string> addresses;
  for (int i : at)
    addresses.push_back(member(i).address());
  auto one = [this, addresses](std::uint64_t id) {
    Order o;
    const std::string& to = addresses[id % addresses.size()];
    o.id = id;
    o.time_left_ms = 10'000;
    o.query = "work=" + std::to_string(setup_.work_ms);
    if (setup_.slots > 0) {
      o.query += "&news=1&back=" + to.substr(to.find(':') + 1);
    } else {
      o.query += "&reply=8";
    }
    o.extra_headers = "X-Weight-Hint: " + std::to_string(1000 * setup_.work_ms) + "\r\n";
    Answer a = hand_in(to, o);
    std::lock_guard lock(mutex_);
    good_[id] = a.status == 200 && a.whole && (setup_.wanted_ms == 0 || a.ms <= setup_.wanted_ms);
    answered_ += a.status != 0 && a.whole && !a.unread;
    served_ += a.status == 200 && a.whole && !a.unread;
  };
  orders_ = std::thread([this, one] {
    if (rate_ <= 0) {
      while (!over_)
        one(++given_);
      return;
    }
    std::vector<std::thread> open;
    auto next = std::chrono::steady_clock::now();
    while (!over_) {
      next += std::chrono::microseconds(static_cast<long>(1e6 / rate_));
      std::this_thread::sleep_until(next);
      open.emplace_back(one, ++given_);
    }
    for (std::thread& t : open)
      t.join();
  });
}

bool ProcessFleet::in_time(std::uint64_t since) {
  std::lock_guard lock(mutex_);
  int good = 0;
  int all = 0;  // of the last hundred in a row
  for (auto it = good_.upper_bound(since); it != good_.end(); ++it) {
    if (!good_.contains(it->first - 1))
      good = all = 0;
    good += it->second;
    ++all;
    if (all > 100) {
      --all;
      good -= good_.at(it->first - 100);
    }
    if (all == 100 && good >= 95)
      return true;
  }
  return false;
}

void ProcessFleet::drain(int worker) {
  workers_.set_state(worker, "draining");
  wait([&] { return workers_.told_to() >= static_cast<int>(up_.size()); });
  drained_["s-" + std::to_string(worker + 1)] = given_;
}

void ProcessFleet::orders_end() {
  over_ = true;
  if (orders_.joinable())
    orders_.join();
}

ProcessFleet::Account ProcessFleet::account() {
  orders_end();
  std::map<std::string, int> begun;
  Account a;
  for (const Seen& s : workers_.seen()) {
    begun[s.id] += s.begun;
    a.begun += s.begun;
    auto drained = drained_.find(s.uid);
    a.to_drained += drained != drained_.end() && std::stoull(s.id, nullptr, 16) > drained->second;
  }
  a.given = given_;
  a.answered = answered_;
  a.served = served_;
  a.longest = relays_.longest();
  for (const auto& [id, times] : begun)
    a.begun_twice += times > 1;
  std::lock_guard lock(mutex_);
  for (const auto& [id, good] : good_)
    a.in_time += good;
  return a;
}

void ProcessFleet::raise(int worker) {
  drained_.erase("s-" + std::to_string(worker + 1));
  workers_.set_state(worker, "up");
}

}  // namespace dispatcher::testbed

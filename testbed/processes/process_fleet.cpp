#include "testbed/processes/process_fleet.h"

#include <json/reader.h>
#include <csignal>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

namespace dispatcher::testbed {
namespace {

constexpr std::chrono::milliseconds kConditionCheckInterval{20};
constexpr int kRequestTimeoutMs = 10'000;
constexpr int kMemberSockets = 256;

std::string worker_uid(int worker) {
  return "s-" + std::to_string(worker + 1);
}

void write_private(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::trunc) << text;
  std::filesystem::permissions(
      path, std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
}

int count_occurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

}  // namespace

ProcessFleet::ProcessFleet(Setup setup)
    : setup_(std::move(setup)),
      host_(process_loopback_address()),
      services_(host_, setup_.workers),
      relays_(host_, setup_.members, setup_.seed),
      members_(static_cast<std::size_t>(setup_.members)),
      request_rate_(setup_.request_rate) {
  services_.set_limits(setup_.slots, setup_.queue_capacity);
  std::string pattern = "/tmp/dispatcher-keys-XXXXXX";
  folder_ = mkdtemp(pattern.data());
}

ProcessFleet::~ProcessFleet() {
  stop_requests();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void ProcessFleet::set_keys(int number, const std::string& text) {
  const std::string reload_line = "keys: key file reloaded";
  auto count_reloads = [&] {
    return count_occurrences(member(number).log(), reload_line);
  };
  int before = count_reloads();
  write_private(key_file(number), text);
  kill(member(number).pid(), SIGHUP);
  wait_until([&] { return count_reloads() > before; });
}

void ProcessFleet::start(int number) {
  auto& process = members_.at(static_cast<std::size_t>(number));
  if (process) {
    process->start_again();
  } else {
    if (!setup_.keys.empty())
      write_private(key_file(number), setup_.keys);
    process = std::make_unique<DispatcherProcess>(member_setup(number), services_);
  }
  up_.insert(number);
}

DispatcherProcess::Setup ProcessFleet::member_setup(int number) const {
  return {.program = setup_.program,
          .config = setup_.config,
          .features = member_features(number),
          .host = host_,
          .max_sockets = kMemberSockets,
          .admin_address = true,
          .config_overrides = member_config(number),
          .trace = setup_.trace};
}

std::string ProcessFleet::member_features(int number) const {
  const std::vector<std::string>& addresses = relays_.relay_addresses();
  std::string text = "streaming {} fleet { period_ms: " + std::to_string(setup_.period_ms) +
                     " answer_ms: " + std::to_string(setup_.answer_ms) +
                     " forget_s: " + std::to_string(setup_.forget_s);
  for (int i = 0; i < setup_.seeds; ++i)
    text += " seed: \"" + addresses[static_cast<std::size_t>(i)] + "\"";
  if (setup_.seeds > 0)
    text += " advertise: \"" + addresses[static_cast<std::size_t>(number)] + "\"";
  if (!setup_.keys.empty())
    text += " key_file: \"" + key_file(number) + "\"";
  return text + " }";
}

std::string ProcessFleet::member_config(int number) const {
  Json::Value peers(Json::arrayValue);
  if (setup_.seeds == 0) {
    for (const std::string& address : relays_.relay_addresses())
      peers.append(address);
  }
  Json::Value config;
  config["peer_listen"] = relays_.member_address(number);
  config["peers"] = peers;
  config["settings"]["Index"] = number;
  config["settings"]["Balancers"] = setup_.members;
  config["settings"]["Permissions"]["Peers"] = true;
  return config.toStyledString();
}

void ProcessFleet::start_all() {
  for (int i = 0; i < setup_.members; ++i)
    start(i);
}

void ProcessFleet::crash(int number) {
  up_.erase(number);
  member(number).crash();
}

int ProcessFleet::terminate(int number) {
  up_.erase(number);
  return member(number).terminate();
}

void ProcessFleet::suspend(int number) {
  up_.erase(number);
  kill(member(number).pid(), SIGSTOP);
}

void ProcessFleet::resume(int number) {
  up_.insert(number);
  kill(member(number).pid(), SIGCONT);
}

Json::Value ProcessFleet::view(int number) {
  Json::Value view;
  AdminResponse response = call_admin(member(number).admin_address(), "GET", "/admin/fleet");
  if (response.status == 200)
    std::istringstream(response.body) >> view;
  return view;
}

std::map<std::string, int> ProcessFleet::states(const Json::Value& view) {
  std::map<std::string, int> counts;
  for (const Json::Value& entry : view["members"])
    ++counts[entry["state"].asString()];
  return counts;
}

bool ProcessFleet::agree(const std::set<int>& members) {
  std::set<std::string> digests;
  for (int number : members) {
    Json::Value seen = view(number);
    std::map<std::string, int> counts = states(seen);
    if (counts["alive"] + 1 != static_cast<int>(members.size()) || counts["suspect"] > 0)
      return false;
    digests.insert(seen["digest"].asString());
  }
  return digests.size() == 1;
}

void ProcessFleet::wait_until(const std::function<bool()>& condition) {
  while (!condition())
    std::this_thread::sleep_for(kConditionCheckInterval);
}

void ProcessFleet::drain(int worker) {
  services_.set_state(worker, "draining");
  wait_until([&] { return services_.notified_watches() >= static_cast<int>(up_.size()); });
  last_request_before_drain_[worker_uid(worker)] = sent_;
}

void ProcessFleet::undrain(int worker) {
  last_request_before_drain_.erase(worker_uid(worker));
  services_.set_state(worker, "up");
}

void ProcessFleet::start_requests(const std::vector<int>& members) {
  std::vector<std::string> addresses;
  addresses.reserve(members.size());
  for (int number : members)
    addresses.push_back(member(number).address());
  requests_ = std::thread([this, addresses] {
    if (request_rate_ > 0) {
      send_at_rate(addresses);
    } else {
      send_in_sequence(addresses);
    }
  });
}

void ProcessFleet::send_in_sequence(const std::vector<std::string>& addresses) {
  while (!stopping_) {
    std::uint64_t id = ++sent_;
    send_request(id, addresses[id % addresses.size()]);
  }
}

void ProcessFleet::send_at_rate(const std::vector<std::string>& addresses) {
  static constexpr double kMicrosecondsPerSecond = 1e6;
  std::vector<std::thread> senders;
  auto next = std::chrono::steady_clock::now();
  while (!stopping_) {
    next += std::chrono::microseconds(static_cast<long>(kMicrosecondsPerSecond / request_rate_));
    std::this_thread::sleep_until(next);
    std::uint64_t id = ++sent_;
    const std::string& address = addresses[id % addresses.size()];
    senders.emplace_back([this, id, &address] { send_request(id, address); });
  }
  for (std::thread& thread : senders)
    thread.join();
}

void ProcessFleet::send_request(std::uint64_t id, const std::string& address) {
  static constexpr int kMicrosecondsPerMs = 1000;
  ClientRequest request;
  request.id = id;
  request.time_left_ms = kRequestTimeoutMs;
  request.query = "work=" + std::to_string(setup_.work_ms);
  if (setup_.slots > 0) {
    request.query += "&news=1&back=" + address.substr(address.find(':') + 1);
  } else {
    request.query += "&reply=8";
  }
  request.extra_headers =
      "X-Weight-Hint: " + std::to_string(kMicrosecondsPerMs * setup_.work_ms) + "\r\n";
  ClientResponse response = submit_request(address, request);
  bool answered = response.complete && !response.has_trailing_bytes;
  bool within_objective = setup_.objective_ms == 0 || response.ms <= setup_.objective_ms;
  std::lock_guard lock(mutex_);
  in_time_[id] = response.status == 200 && response.complete && within_objective;
  answered_ += response.status != 0 && answered ? 1 : 0;
  served_ += response.status == 200 && answered ? 1 : 0;
}

void ProcessFleet::stop_requests() {
  stopping_ = true;
  if (requests_.joinable())
    requests_.join();
}

bool ProcessFleet::recovered(std::uint64_t since) {
  static constexpr int kWindow = 100;
  static constexpr int kInTimeInWindow = 95;
  std::lock_guard lock(mutex_);
  int in_time = 0;
  int consecutive = 0;  // consecutive answered requests, kWindow at most
  for (auto it = in_time_.upper_bound(since); it != in_time_.end(); ++it) {
    if (!in_time_.contains(it->first - 1)) {
      in_time = 0;
      consecutive = 0;
    }
    in_time += it->second ? 1 : 0;
    ++consecutive;
    if (consecutive > kWindow) {
      --consecutive;
      in_time -= in_time_.at(it->first - kWindow) ? 1 : 0;
    }
    if (consecutive == kWindow && in_time >= kInTimeInWindow)
      return true;
  }
  return false;
}

ProcessFleet::RequestCounts ProcessFleet::stop_and_count_requests() {
  stop_requests();
  RequestCounts counts{.sent = sent_,
                       .answered = answered_,
                       .served = served_,
                       .longest_datagram = relays_.longest_datagram()};
  std::map<std::string, int> begun_by_request;
  for (const ReceivedAttempt& attempt : services_.received_attempts()) {
    begun_by_request[attempt.id] += attempt.begun ? 1 : 0;
    counts.begun += attempt.begun ? 1 : 0;
    auto last = last_request_before_drain_.find(attempt.uid);
    if (last != last_request_before_drain_.end() &&
        std::stoull(attempt.id, nullptr, 16) > last->second)
      ++counts.to_drained;
  }
  for (const auto& [id, begun] : begun_by_request)
    counts.begun_twice += begun > 1 ? 1 : 0;
  std::lock_guard lock(mutex_);
  for (const auto& [id, in_time] : in_time_)
    counts.in_time += in_time ? 1 : 0;
  return counts;
}

}  // namespace dispatcher::testbed

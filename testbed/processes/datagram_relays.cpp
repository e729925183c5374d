#include "testbed/processes/datagram_relays.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <stdexcept>

#include "testbed/stubs/address.h"

namespace dispatcher::testbed {
namespace {

constexpr double kMaxPollMs = 20;
constexpr std::size_t kDatagramBufferBytes = 2048;

double now_ms() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Binds a UDP socket to a free port of `host` and writes its address to `address`.
int bind_socket(const std::string& host, sockaddr_in& address) {
  int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  address = {};
  address.sin_family = AF_INET;
  socklen_t size = sizeof address;
  if (descriptor < 0 || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1 ||
      bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("cannot bind a relay socket on " + host);
  return descriptor;
}

std::string format_address(const std::string& host, const sockaddr_in& address) {
  return host + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

DatagramRelays::DatagramRelays(const std::string& host, int members, std::uint64_t seed)
    : conditions_(static_cast<std::size_t>(members),
                  std::vector<PathCondition>(static_cast<std::size_t>(members))),
      random_(seed) {
  // All ports stay reserved until the last one is chosen, so that no two members get the same one.
  std::vector<int> reserved;
  for (int i = 0; i < members; ++i) {
    sockaddr_in address{};
    sockets_.push_back(bind_socket(host, address));
    relay_addresses_.push_back(format_address(host, address));
    reserved.push_back(bind_socket(host, address));
    member_addresses_.push_back(format_address(host, address));
    members_[{address.sin_addr.s_addr, address.sin_port}] = i;
  }
  for (int descriptor : reserved)
    close(descriptor);
  thread_ = std::thread([this] { run(); });
}

DatagramRelays::~DatagramRelays() {
  stopping_ = true;
  thread_.join();
  for (int descriptor : sockets_)
    close(descriptor);
}

void DatagramRelays::set_path(int from, int to, const PathCondition& condition) {
  std::lock_guard lock(mutex_);
  conditions_.at(static_cast<std::size_t>(from)).at(static_cast<std::size_t>(to)) = condition;
}

void DatagramRelays::set_all_paths(const PathCondition& condition) {
  std::lock_guard lock(mutex_);
  for (auto& row : conditions_)
    std::ranges::fill(row, condition);
}

void DatagramRelays::split(const std::vector<std::vector<int>>& groups) {
  std::lock_guard lock(mutex_);
  for (auto& row : conditions_) {
    for (PathCondition& condition : row)
      condition.cut = true;
  }
  for (const auto& group : groups) {
    for (int from : group) {
      for (int to : group)
        conditions_.at(static_cast<std::size_t>(from)).at(static_cast<std::size_t>(to)).cut = false;
    }
  }
}

PathCondition DatagramRelays::condition(int from, int to) {
  std::lock_guard lock(mutex_);
  return conditions_[static_cast<std::size_t>(from)][static_cast<std::size_t>(to)];
}

void DatagramRelays::run() {
  std::vector<pollfd> polled;
  for (int descriptor : sockets_)
    polled.push_back({descriptor, POLLIN, 0});
  while (!stopping_) {
    poll(polled.data(), polled.size(), poll_timeout_ms());
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if ((polled[i].revents & POLLIN) != 0)
        receive_pending(static_cast<int>(i));
    }
    deliver_due();
  }
}

int DatagramRelays::poll_timeout_ms() const {
  static constexpr double kRoundUp = 0.999;
  if (delayed_.empty())
    return static_cast<int>(kMaxPollMs);
  double wait_ms = std::clamp(delayed_.top().deliver_at_ms - now_ms(), 0.0, kMaxPollMs);
  return static_cast<int>(wait_ms + kRoundUp);
}

void DatagramRelays::receive_pending(int to) {
  int descriptor = sockets_[static_cast<std::size_t>(to)];
  while (true) {
    std::array<char, kDatagramBufferBytes> buffer{};
    sockaddr_in from{};
    socklen_t size = sizeof from;
    ssize_t received = recvfrom(descriptor, buffer.data(), buffer.size(), 0,
                                reinterpret_cast<sockaddr*>(&from), &size);
    if (received < 0)
      return;
    longest_datagram_ = std::max<long>(longest_datagram_, received);
    auto member = members_.find({from.sin_addr.s_addr, from.sin_port});
    if (member != members_.end())
      accept_datagram(member->second, to, {buffer.data(), static_cast<std::size_t>(received)});
  }
}

void DatagramRelays::accept_datagram(int from, int to, std::string bytes) {
  PathCondition path = condition(from, to);
  if (path.cut || uniform_(random_) < path.loss)
    return;
  if (!bytes.empty() && uniform_(random_) < path.corrupted)
    bytes[random_() % bytes.size()] ^= static_cast<char>(1U << random_() % 8);
  int deliveries = uniform_(random_) < path.duplicated ? 2 : 1;
  for (int i = 0; i < deliveries; ++i) {
    double delay_ms = path.delay_ms + path.jitter_ms * uniform_(random_);
    delayed_.push({now_ms() + delay_ms, ++accepted_, from, to, bytes});
  }
}

void DatagramRelays::deliver_due() {
  while (!delayed_.empty() && delayed_.top().deliver_at_ms <= now_ms()) {
    deliver(delayed_.top());
    delayed_.pop();
  }
}

void DatagramRelays::deliver(const DelayedDatagram& datagram) {
  sockaddr_in destination = parse_address(member_addresses_[static_cast<std::size_t>(datagram.to)]);
  sendto(sockets_[static_cast<std::size_t>(datagram.from)], datagram.bytes.data(),
         datagram.bytes.size(), 0, reinterpret_cast<sockaddr*>(&destination), sizeof destination);
  ++delivered_;
}

}  // namespace dispatcher::testbed

#include "testbed/processes/datagram_relays.h"

#include "testbed/stubs/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace dispatcher::testbed {
namespace {

double now_ms() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int bound(const std::string& host, sockaddr_in& address) {
  int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  address = {};
  address.sin_family = AF_INET;
  socklen_t size = sizeof address;
  if (fd < 0 || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1 ||
      bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw std::runtime_error("no socket for a relay on " + host);
  return fd;
}

std::string text(const std::string& host, const sockaddr_in& address) {
  return host + ":" + std::to_string(ntohs(address.sin_port));
}

}  // namespace

Relays::Relays(const std::string& host, int members, std::uint64_t seed)
    : links_(static_cast<std::size_t>(members),
             std::vector<Link>(static_cast<std::size_t>(members))),
      random_(seed) {
  std::vector<int> held;  // all at once, so that no two members get one port
  for (int i = 0; i < members; ++i) {
    sockaddr_in address;
    sockets_.push_back(bound(host, address));
    outer_.push_back(text(host, address));
    held.push_back(bound(host, address));
    inner_.push_back(text(host, address));
    members_[{address.sin_addr.s_addr, address.sin_port}] = i;
  }
  for (int fd : held)
    close(fd);
  thread_ = std::thread([this] { run(); });
}

Relays::~Relays() {
  over_ = true;
  thread_.join();
  for (int fd : sockets_)
    close(fd);
}

void Relays::set(int from, int to, const Link& link) {
  std::lock_guard lock(mutex_);
  links_.at(static_cast<std::size_t>(from)).at(static_cast<std::size_t>(to)) = link;
}

void Relays::set_all(const Link& link) {
  std::lock_guard lock(mutex_);
  for (auto& row : links_)
    std::ranges::fill(row, link);
}

void Relays::split(const std::vector<std::vector<int>>& groups) {
  std::lock_guard lock(mutex_);
  for (auto& row : links_) {
    for (Link& link : row)
      link.cut = true;
  }
  for (const auto& group : groups) {
    for (int a : group) {
      for (int b : group)
        links_.at(static_cast<std::size_t>(a)).at(static_cast<std::size_t>(b)).cut = false;
    }
  }
}

void Relays::pass(const Late& late) {
  sockaddr_in to = parse_address(inner_[static_cast<std::size_t>(late.to)]);
  sendto(sockets_[static_cast<std::size_t>(late.from)], late.bytes.data(), late.bytes.size(), 0,
         reinterpret_cast<sockaddr*>(&to), sizeof to);
  ++passed_;
}

void Relays::run() {
  std::vector<pollfd> polled;
  for (int fd : sockets_)
    polled.push_back({fd, POLLIN, 0});
  std::uniform_real_distribution<double> chance;
  while (!over_) {
    double wait = late_.empty() ? 20 : std::clamp(late_.top().at - now_ms(), 0.0, 20.0);
    poll(polled.data(), polled.size(), static_cast<int>(wait + 0.999));
    for (std::size_t to = 0; to < polled.size(); ++to) {
      if (!(polled[to].revents & POLLIN))
        continue;
      char buffer[2048];
      sockaddr_in from{};
      socklen_t size = sizeof from;
      for (ssize_t n; (n = recvfrom(sockets_[to], buffer, sizeof buffer, 0,
                                    reinterpret_cast<sockaddr*>(&from), &size)) >= 0;) {
        longest_ = std::max<long>(longest_, n);
        auto member = members_.find({from.sin_addr.s_addr, from.sin_port});
        if (member == members_.end())
          continue;
        Link link;
        {
          std::lock_guard lock(mutex_);
          link = links_[static_cast<std::size_t>(member->second)][to];
        }
        if (link.cut || chance(random_) < link.loss) {
          ++dropped_;
          continue;
        }
        std::string bytes(buffer, static_cast<std::size_t>(n));
        if (!bytes.empty() && chance(random_) < link.spoilt)
          bytes[random_() % bytes.size()] ^= static_cast<char>(1 << random_() % 8);
        for (int copies = chance(random_) < link.twice ? 2 : 1; copies > 0; --copies) {
          late_.push({now_ms() + link.delay_ms + link.jitter_ms * chance(random_), ++order_,
                      member->second, static_cast<int>(to), bytes});
        }
      }
    }
    for (; !late_.empty() && late_.top().at <= now_ms(); late_.pop())
      pass(late_.top());
  }
}

}  // namespace dispatcher::testbed

// Relays on every path between the members of a fleet, where datagrams can be lost, delayed,
// duplicated and corrupted without a change to the program.
//
// Others write to a member by its relay's address. The relay passes a datagram on from the
// sender's own relay, so that addresses that members learn from messages work.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace dispatcher::testbed {

// What happens to datagrams on the path from one member to another. Shares are from 0 to 1.
struct PathCondition {
  bool cut = false;
  double loss = 0;
  double duplicated = 0;
  double corrupted = 0;  // one bit is flipped
  double delay_ms = 0;
  double jitter_ms = 0;  // a random part of it is added to the delay, which reorders datagrams
};

// Thread-safe; relays on a thread of its own. Members are numbered from 0.
class DatagramRelays {
 public:
  // `seed`: of the random faults. Throws std::runtime_error where it gets no sockets on `host`.
  DatagramRelays(const std::string& host, int members, std::uint64_t seed);
  DatagramRelays(const DatagramRelays&) = delete;
  DatagramRelays& operator=(const DatagramRelays&) = delete;
  ~DatagramRelays();

  // The address on which a member has to listen.
  const std::string& member_address(int member) const {
    return member_addresses_.at(static_cast<std::size_t>(member));
  }
  // The addresses by which members know each other, by number.
  const std::vector<std::string>& relay_addresses() const { return relay_addresses_; }

  void set_path(int from, int to, const PathCondition& condition);
  void set_all_paths(const PathCondition& condition);
  // Cuts all paths but those within a group. A member may be in several groups; one in none is
  // isolated.
  void split(const std::vector<std::vector<int>>& groups);

  long passed() const { return passed_; }
  // The size of the longest datagram, in bytes.
  long longest_datagram() const { return longest_datagram_; }

 private:
  struct DelayedDatagram {
    double deliver_at_ms = 0;
    std::uint64_t order = 0;
    int from = 0;
    int to = 0;
    std::string bytes;
    // The queue's top is the earliest one.
    bool operator<(const DelayedDatagram& other) const {
      if (deliver_at_ms != other.deliver_at_ms)
        return deliver_at_ms > other.deliver_at_ms;
      return order > other.order;
    }
  };
  // IPv4 address and port, in network byte order.
  using SocketAddress = std::pair<std::uint32_t, std::uint16_t>;

  void run();
  int poll_timeout_ms() const;
  void receive_all(int to);
  void accept_datagram(int from, int to, std::string bytes);
  void deliver_due();
  void deliver(const DelayedDatagram& datagram);
  PathCondition condition(int from, int to);

  std::vector<int> sockets_;  // of the relays, by member
  std::vector<std::string> member_addresses_;
  std::vector<std::string> relay_addresses_;
  std::map<SocketAddress, int> members_;                // by the address of their own socket
  std::mutex mutex_;                                    // guards conditions_
  std::vector<std::vector<PathCondition>> conditions_;  // by sender, then receiver
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> chance_;
  std::priority_queue<DelayedDatagram> delayed_;
  std::uint64_t accepted_ = 0;
  std::atomic<long> passed_{0};
  std::atomic<long> longest_datagram_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace dispatcher::testbed

// UDP relays between the members of a fleet, which lose, delay, duplicate and corrupt datagrams
// without a change to the program.
//
// Members know each other by the addresses of their relays. A datagram to a member is forwarded
// from the socket of the sender's relay, so that the source address that the receiver sees is that
// of a relay as well.
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

// What happens to datagrams on the path from one member to another. Probabilities are from 0 to 1.
struct PathCondition {
  bool cut = false;
  double loss = 0;
  double duplicated = 0;
  double corrupted = 0;  // one bit is flipped
  double delay_ms = 0;
  double jitter_ms = 0;  // a random part of this is added to the delay, which reorders datagrams
};

// Thread-safe; forwards datagrams on a thread of its own. Members are numbered from 0.
class DatagramRelays {
 public:
  // `seed`: of the random faults. Throws std::runtime_error if it cannot bind sockets on `host`.
  DatagramRelays(const std::string& host, int members, std::uint64_t seed);
  DatagramRelays(const DatagramRelays&) = delete;
  DatagramRelays& operator=(const DatagramRelays&) = delete;
  ~DatagramRelays();

  // The address on which a member must listen.
  const std::string& member_address(int member) const {
    return member_addresses_.at(static_cast<std::size_t>(member));
  }
  // The addresses by which members know each other, by member.
  const std::vector<std::string>& relay_addresses() const { return relay_addresses_; }

  void set_path(int from, int to, const PathCondition& condition);
  void set_all_paths(const PathCondition& condition);
  // Cuts all paths except those within a group. A member may be in several groups; a member in no
  // group is isolated.
  void split(const std::vector<std::vector<int>>& groups);

  // The number of datagrams delivered, duplicates included.
  long delivered() const { return delivered_; }
  // The size of the longest datagram, in bytes.
  long longest_datagram() const { return longest_datagram_; }

 private:
  struct DelayedDatagram {
    double deliver_at_ms = 0;
    std::uint64_t sequence = 0;  // order of arrival
    int from = 0;
    int to = 0;
    std::string bytes;
    // Reversed, so that the top of the queue is the earliest datagram.
    bool operator<(const DelayedDatagram& other) const {
      if (deliver_at_ms != other.deliver_at_ms)
        return deliver_at_ms > other.deliver_at_ms;
      return sequence > other.sequence;
    }
  };
  // IPv4 address and port, in network byte order.
  using SocketAddress = std::pair<std::uint32_t, std::uint16_t>;

  void run();
  int poll_timeout_ms() const;
  void receive_pending(int to);
  void accept_datagram(int from, int to, std::string bytes);
  void deliver_due();
  void deliver(const DelayedDatagram& datagram);
  PathCondition condition(int from, int to);

  std::vector<int> sockets_;  // of the relays, by member
  std::vector<std::string> member_addresses_;
  std::vector<std::string> relay_addresses_;
  std::map<SocketAddress, int> members_;                // by the address on which they listen
  std::mutex mutex_;                                    // guards conditions_
  std::vector<std::vector<PathCondition>> conditions_;  // by sender, then receiver
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> uniform_;
  std::priority_queue<DelayedDatagram> delayed_;
  std::uint64_t accepted_ = 0;
  std::atomic<long> delivered_{0};
  std::atomic<long> longest_datagram_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace dispatcher::testbed

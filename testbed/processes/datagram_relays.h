// Stands for each member of a fleet towards all others: whoever writes to a member writes to its
// relay, which passes the datagram on from the sender's own relay, so that addresses learnt from
// messages work. What lies between two members is broken here and the program under test is the one
// in service.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace dispatcher::testbed {

struct Link {  // one way
  bool cut = false;
  double loss = 0;
  double twice = 0;
  double spoilt = 0;  // shares of the datagrams
  double delay_ms = 0;
  double jitter_ms = 0;  // jitter reorders
};

class Relays {
 public:
  Relays(const std::string& host, int members, std::uint64_t seed);
  ~Relays();
  std::string listen(int member) const {
    return inner_.at(static_cast<std::size_t>(member));
  }                                                        // its own socket
  std::vector<std::string> all() const { return outer_; }  // what the others know, by number
  void set(int from, int to, const Link& link);
  void set_all(const Link& link);
  // Those in one group hear each other; a member may be in several. Whoever is in none hears
  // nobody.
  void split(const std::vector<std::vector<int>>& groups);
  long passed() const { return passed_; }
  long dropped() const { return dropped_; }
  long longest() const { return longest_; }  // bytes of a datagram

 private:
  struct Late {
    double at;
    std::uint64_t order;
    int from;
    int to;
    std::string bytes;
    bool operator<(const Late& o) const { return at != o.at ? at > o.at : order > o.order; }
  };
  void run();
  void pass(const Late& late);

  std::vector<int> sockets_;
  std::vector<std::string> inner_;
  std::vector<std::string> outer_;
  std::map<std::pair<std::uint32_t, std::uint16_t>, int>
      members_;  // by the address of their own sockets
  std::mutex mutex_;
  std::vector<std::vector<Link>> links_;
  std::mt19937_64 random_;
  std::priority_queue<Late> late_;
  std::uint64_t order_ = 0;
  std::atomic<long> passed_{0};
  std::atomic<long> dropped_{0};
  std::atomic<long> longest_{0};
  std::atomic<bool> over_{false};
  std::thread thread_;
};

}  // namespace dispatcher::testbed

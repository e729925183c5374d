// Members that keep a view of their fleet, in virtual time, with loss, cuts, crashes and stops
// between them. The same seed gives the same course.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fleet/membership_view.h"

namespace dispatcher::testbed {

using fleet::Duration;
using fleet::Endpoint;
using fleet::MembershipView;
using fleet::State;
using fleet::Time;

inline Endpoint at(int i) {
  return {0x7f000001U + static_cast<std::uint32_t>(i), 7000};
}

class MembershipSimulation {
 public:
  MembershipSimulation(int n, std::uint64_t seed, double loss = 0) : loss_(loss), random_(seed) {
    begin(n);
  }
  void begin(int n) {
    nodes_.resize(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
      start(i);
  }
  void start(int i) {  // again, after a crash: without what it knew
    Node& node = nodes_[static_cast<std::size_t>(i)];
    MembershipView::Options o;
    o.self = at(i);
    o.incarnation = static_cast<std::uint32_t>(now_.time_since_epoch().count() / 1000) + 1;
    o.seed = random_();
    for (std::size_t k = 0; k < nodes_.size(); ++k)
      o.others.push_back(at(static_cast<int>(k)));
    if (options)
      options(o);
    node.up = true;
    node.lowest = 0;
    node.view = std::make_unique<MembershipView>(
        o, now_, [this, i](const Endpoint& to, const std::string& bytes) { send(i, to, bytes); },
        [this](const Endpoint&, State state, std::uint32_t, bool other) {
          suspected += other && state == State::Suspect, died += other && state == State::Dead;
        });
  }
  std::function<void(MembershipView::Options&)> options;  // of those that start from now on
  void crash(int i) { nodes_[static_cast<std::size_t>(i)].up = false; }
  void stop(int i, bool stopped) { nodes_[static_cast<std::size_t>(i)].stopped = stopped; }
  void loss(double share) { loss_ = share; }
  std::function<bool(int from, int to)> cut = [](int, int) {
    return false;
  };

  void pass(double ms) {
    for (Time until = now_ + Duration(ms); now_ < until;) {
      now_ += Duration(50);
      for (; !mail_.empty() && mail_.top().at <= now_; mail_.pop())
        deliver(mail_.top());
      for (auto& n : nodes_) {
        {
          if (n.up && !n.stopped)
            n.view->tick(now_);
        }
      }
      for (auto& n : nodes_) {
        fell |= n.view->incarnation() < n.lowest;
        n.lowest = n.view->incarnation();
      }
    }
  }
  bool agreed() const {  // all that are up hold the same, and hold just those alive that are
    std::set<std::uint64_t> digests;
    std::size_t up = 0;
    for (auto& n : nodes_)
      up += n.up;
    for (auto& n : nodes_) {
      if (!n.up)
        continue;
      digests.insert(n.view->digest());
      if (n.view->count(State::Alive) + 1 != up || n.view->count(State::Suspect) > 0)
        return false;
    }
    return digests.size() == 1;
  }
  double until_agreed(double most_ms) {  // how long; most_ms: not by then
    Time from = now_;
    while (!agreed() && now_ - from < Duration(most_ms))
      pass(50);
    return (now_ - from).count();
  }
  MembershipView& view(int i) { return *nodes_[static_cast<std::size_t>(i)].view; }
  Time now() const { return now_; }
  // What is made of a datagram on its way; an empty one is lost. For variants that are broken on
  // purpose.
  std::function<std::string(int from, int to, const std::string&)> tamper;
  long sent = 0;
  long bytes = 0;
  long longest = 0;
  long refused = 0;
  long suspected = 0;
  long died = 0;      // times that somebody came to hold another so
  bool fell = false;  // somebody's incarnation has

 private:
  struct Node {
    std::unique_ptr<MembershipView> view;
    std::uint32_t lowest = 0;
    bool up = true;
    bool stopped = false;
  };
  struct Mail {
    Time at;
    long order;
    int from;
    int to;
    std::string bytes;
    bool operator<(const Mail& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };
  void send(int from, const Endpoint& to, const std::string& text) {
    ++sent;
    bytes += static_cast<long>(text.size());
    longest = std::max(longest, static_cast<long>(text.size()));
    int index = static_cast<int>(to.address - at(0).address);
    if (index < 0 || index >= static_cast<int>(nodes_.size()) || cut(from, index))
      return;
    if (std::uniform_real_distribution<double>()(random_) < loss_)
      return;
    std::string carried = tamper ? tamper(from, index, text) : text;
    if (carried.empty())
      return;
    double late = std::uniform_real_distribution<double>(1, 40)(random_);
    mail_.push({now_ + Duration(late), ++order_, from, index, std::move(carried)});
  }
  void deliver(const Mail& m) {
    Node& n = nodes_[static_cast<std::size_t>(m.to)];
    if (!n.up)
      return;
    if (n.stopped)
      return;  // its socket's buffer is not kept here: the harder case
    refused += !n.view->take(now_, at(m.from), m.bytes);
  }
  double loss_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Mail> mail_;
  Time now_{Duration(5'000'000)};
  long order_ = 0;
};

// Within this all must agree again: a suspicion and the way of the news, both of which grow as log
// N.
inline double bound_ms(int n) {
  return 1000 * (6 + 4 * std::log2(n + 1));
}

}  // namespace dispatcher::testbed

// Simulates the members of a fleet that each keep a membership view, in virtual time, with lost
// messages, network partitions, crashes and stops. The same seed gives the same run.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fleet/membership_view.h"

namespace dispatcher::testbed {

using fleet::Duration;
using fleet::Endpoint;
using fleet::MembershipView;
using fleet::MemberState;
using fleet::Time;

// The endpoint of the member with this number.
inline Endpoint at(int number) {
  static constexpr std::uint32_t kFirstAddress = 0x7f000001U;
  static constexpr std::uint16_t kPort = 7000;
  return {kFirstAddress + static_cast<std::uint32_t>(number), kPort};
}

// Not thread-safe. Members are numbered from 0; times are in ms of virtual time.
class MembershipSimulation {
 public:
  // `loss`: share of the messages that are lost.
  MembershipSimulation(int members, std::uint64_t seed, double loss = 0)
      : loss_(loss), random_(seed) {
    start_members(members);
  }

  // Starts that many members.
  void start_members(int members) {
    nodes_.resize(static_cast<std::size_t>(members));
    for (int i = 0; i < members; ++i)
      start(i);
  }
  // Starts a member, also after a crash; it has lost what it knew.
  void start(int number);
  void crash(int number) { node(number).up = false; }
  // A stopped member receives nothing and does nothing.
  void set_stopped(int number, bool stopped) { node(number).stopped = stopped; }
  void set_loss(double share) { loss_ = share; }

  // Advances virtual time.
  void advance(double ms);
  // Whether all members that are up hold the same view, in which exactly these are alive.
  bool agreed() const;
  // Advances until agreed(), or by `max_ms` (rounded up to whole steps). Returns the time that
  // passed.
  double advance_until_agreed(double max_ms);

  MembershipView& view(int number) { return *node(number).view; }
  Time now() const { return now_; }

  // Adjusts the options of members that start from now on.
  std::function<void(MembershipView::Options&)> options;
  // Whether messages from one member to another are dropped.
  std::function<bool(int from, int to)> cut = [](int, int) {
    return false;
  };
  // Returns the datagram to deliver instead; an empty one is dropped. For deliberately broken
  // variants of the protocol.
  std::function<std::string(int from, int to, const std::string&)> tamper;

  // Counts since the start of the simulation.
  long sent = 0;
  long bytes = 0;
  long longest = 0;                    // bytes of the longest datagram
  long rejected_datagrams = 0;         // by the receiver's view
  long suspect_transitions = 0;        // in the view of one member about another
  long dead_transitions = 0;           // likewise
  bool incarnation_decreased = false;  // of any member

 private:
  struct Node {
    std::unique_ptr<MembershipView> view;
    std::uint32_t last_incarnation = 0;
    bool up = true;
    bool stopped = false;
  };
  struct Datagram {
    Time at;
    long sequence;
    int from;
    int to;
    std::string bytes;
    // Inverted, so that the top of the priority queue is the earliest datagram.
    bool operator<(const Datagram& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  Node& node(int number) { return nodes_[static_cast<std::size_t>(number)]; }
  MembershipView::Options make_options(int number);
  void count_change(MemberState state, bool about_other);
  void send(int from, const Endpoint& to, const std::string& text);
  void deliver(const Datagram& datagram);
  void check_incarnations();

  double loss_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Datagram> in_flight_;
  Time now_{Duration(5'000'000)};
  long last_sequence_ = 0;
};

inline MembershipView::Options MembershipSimulation::make_options(int number) {
  static constexpr int kMsPerSecond = 1000;
  MembershipView::Options member_options;
  member_options.self = at(number);
  member_options.incarnation =
      static_cast<std::uint32_t>(now_.time_since_epoch().count() / kMsPerSecond) + 1;
  member_options.seed = random_();
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    member_options.configured_members.push_back(at(static_cast<int>(i)));
  if (options)
    options(member_options);
  return member_options;
}

inline void MembershipSimulation::start(int number) {
  Node& started = node(number);
  MembershipView::Options member_options = make_options(number);
  started.up = true;
  started.last_incarnation = 0;
  started.view = std::make_unique<MembershipView>(
      member_options, now_,
      [this, number](const Endpoint& to, const std::string& text) { send(number, to, text); },
      [this](const Endpoint&, MemberState state, std::uint32_t, bool about_other) {
        count_change(state, about_other);
      });
}

inline void MembershipSimulation::count_change(MemberState state, bool about_other) {
  if (!about_other)
    return;
  if (state == MemberState::Suspect)
    ++suspect_transitions;
  if (state == MemberState::Dead)
    ++dead_transitions;
}

inline void MembershipSimulation::advance(double ms) {
  static constexpr Duration kStep{50};
  Time until = now_ + Duration(ms);
  while (now_ < until) {
    now_ += kStep;
    while (!in_flight_.empty() && in_flight_.top().at <= now_) {
      Datagram next = in_flight_.top();  // a copy: the receiver may send, which changes the queue
      in_flight_.pop();
      deliver(next);
    }
    for (Node& member : nodes_) {
      if (member.up && !member.stopped)
        member.view->tick(now_);
    }
    check_incarnations();
  }
}

inline void MembershipSimulation::check_incarnations() {
  for (Node& member : nodes_) {
    std::uint32_t incarnation = member.view->incarnation();
    incarnation_decreased |= incarnation < member.last_incarnation;
    member.last_incarnation = incarnation;
  }
}

inline bool MembershipSimulation::agreed() const {
  auto running = static_cast<std::size_t>(std::ranges::count_if(nodes_, &Node::up));
  std::set<std::uint64_t> digests;
  for (const Node& member : nodes_) {
    if (!member.up)
      continue;
    digests.insert(member.view->digest());
    if (member.view->count(MemberState::Alive) + 1 != running ||
        member.view->count(MemberState::Suspect) > 0)
      return false;
  }
  return digests.size() == 1;
}

inline double MembershipSimulation::advance_until_agreed(double max_ms) {
  static constexpr double kStepMs = 50;
  Time started_at = now_;
  while (!agreed() && now_ - started_at < Duration(max_ms))
    advance(kStepMs);
  return (now_ - started_at).count();
}

inline void MembershipSimulation::send(int from, const Endpoint& to, const std::string& text) {
  ++sent;
  bytes += static_cast<long>(text.size());
  longest = std::max(longest, static_cast<long>(text.size()));
  int receiver = static_cast<int>(to.address - at(0).address);
  if (receiver < 0 || receiver >= static_cast<int>(nodes_.size()) || cut(from, receiver))
    return;
  if (std::uniform_real_distribution<double>()(random_) < loss_)
    return;
  std::string delivered = tamper ? tamper(from, receiver, text) : text;
  if (delivered.empty())
    return;
  double delay_ms = std::uniform_real_distribution<double>(1, 40)(random_);
  in_flight_.push(
      {now_ + Duration(delay_ms), ++last_sequence_, from, receiver, std::move(delivered)});
}

// Datagrams to a stopped member are lost. This is stricter than reality, where the socket would
// buffer them.
inline void MembershipSimulation::deliver(const Datagram& datagram) {
  Node& receiver = node(datagram.to);
  if (!receiver.up || receiver.stopped)
    return;
  if (!receiver.view->handle_datagram(now_, at(datagram.from), datagram.bytes))
    ++rejected_datagrams;
}

// The time within which all members must agree again. It covers a suspicion and its spread by
// gossip; both grow with the logarithm of the number of members.
inline double agreement_bound_ms(int members) {
  return 1000 * (6 + 4 * std::log2(members + 1));
}

}  // namespace dispatcher::testbed

// What dispatchers tell each other of the jobs they have at workers, so that each knows what
// the others put where since the last load report: the message, and the sums of what was heard. No
// sockets; time comes from the caller.
//
// A message is a row of entries of three bytes: the format's version in the upper and the number of
// jobs (15: that or more) in the lower half of the first, then a short name of the worker. An entry
// tells what the sender has there now, so that one lost, doubled or late does no lasting harm, and
// what is not told again within kKept is forgotten. All of it is gossip: a guess of others' work
// and nothing else.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dispatcher::fleet {

using scheduling::Duration;
using scheduling::Time;

// The numbers of the `dispatchers` that are near to a worker: they look at it first, and tell each
// other what they have there. The same wherever it is asked, as many for each worker, and about as
// many workers for each. All of them in a small fleet.
std::vector<int> near_to(std::string_view worker, int dispatchers);

inline constexpr std::size_t kLongest = 255;  // bytes of a message
inline constexpr Duration kKept{10000};       // an entry counts for, unless the next comes before
inline constexpr Duration kLeft{
    300};  // a count that fell waits, at most; about as long as a short job lasts
inline constexpr int kMostOfOne =
    64;  // jobs that one sender is believed to have, all workers together
inline constexpr int kMostThere = 255;  // and all senders at one worker

class LoadGossip {
 public:
  using Changed = std::function<void(const std::string& worker, int jobs)>;  // of all others there

  // `self`: our own number among `dispatchers`.
  LoadGossip(int self, int dispatchers) : self_(self), dispatchers_(dispatchers) {}

  LoadGossip(LoadGossip&&) = default;  // not copied: near_ points into workers_
  LoadGossip& operator=(LoadGossip&&) = default;

  // All that the own list names: no other is spoken of. Those that are new and near are told as
  // changed, with 0.
  void list(const std::vector<std::string>& workers, const Changed& changed);
  // The others that are near to a worker, and so told of what we have there; nobody unless we are
  // near ourselves.
  std::vector<int> listeners(const std::string& worker) const;
  void announce(Time now, const std::string& worker, int jobs);  // so many of our own are there now
  struct Message {
    int to = 0;  // a dispatcher's number
    std::string bytes;
  };
  // What is to be told by now; called after announce(), and each kLeft / 2 where nothing else
  // happens. A count that rose goes at once. One that fell waits for a message to the same listener
  // while somebody near has nothing to do, since nobody then waits for the slot. What stands is
  // told again at half of kKept.
  std::vector<Message> due(Time now, std::size_t room = kLongest);  // room: bytes of one message
  // What waits for this listener, for a datagram that goes there anyway; at most `room` bytes.
  std::string riding(Time now, int listener, std::size_t room);
  bool waits() const { return !waiting_.empty(); }
  // Whether it is there to be told. One that comes, or comes back, is told all anew.
  void hears(int listener, bool there);
  bool away(int listener) const { return away_.contains(listener); }
  // False: not a message of ours, and nothing of it counts.
  bool take(Time now, std::size_t sender, std::string_view message, const Changed& changed);
  void expire(Time now, const Changed& changed);

 private:
  struct Claim {
    int jobs = 0;
    Time at{};
  };
  struct Worker {
    std::string name;
    int jobs = 0;       // our own, as far as can be told
    bool used = false;  // somebody has had a job there
    Time changed{};
    Time said{};                          // our own jobs, since they were told to all
    std::map<int, int> told;              // to each listener; empty: not near
    std::map<std::size_t, Claim> claims;  // by sender
    int sum() const;
  };
  static std::uint16_t short_name(std::string_view worker);
  static std::string entry(std::uint16_t name, const Worker& worker);
  bool untold(const Worker& worker) const;  // to somebody who is there
  bool somebody_idle() const;

  int self_;
  int dispatchers_;
  std::unordered_map<std::uint16_t, Worker> workers_;
  std::map<std::uint16_t, Worker*> near_;  // those of workers_ that we are near to: few of many
  std::set<int> away_;                     // listeners
  std::set<std::uint16_t> waiting_;        // workers of which somebody near is to be told
  Time looked_{};                          // for what stands
  std::unordered_map<std::size_t, int> of_one_;  // jobs believed, by sender
};

}  // namespace dispatcher::fleet

// Gossip of the number of jobs that each dispatcher has at a worker, so that the others know of
// them before the next load report: the messages, and the sums of what was received. An estimate
// that serves scheduling only as a hint.
//
// A message is a sequence of entries of three bytes: format version in the upper and number of jobs
// in the lower half of the first (15: that many or more), then the worker's short name in network
// byte order. An entry states a current count, so lost, duplicate or late ones do no lasting harm;
// one that is not repeated within kKept expires.
//
// Pure: bytes and time in, bytes and events out. Not thread-safe.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dispatcher::fleet {

using scheduling::Duration;
using scheduling::Time;

// Indices, among `dispatchers`, of a worker's assigned neighborhood: they prefer this worker and
// notify each other of their jobs there. The same at every dispatcher, of the same size for each
// worker, evenly spread; in a small fleet all dispatchers.
std::vector<int> neighborhood_of(std::string_view worker, int dispatchers);

inline constexpr std::size_t kLongest = 255;  // bytes of a message
inline constexpr Duration kKept{10'000};      // lifetime of a received entry
inline constexpr Duration kLeft{300};         // longest delay of a fallen count: a short job's time
inline constexpr int kMaxJobsPerSender = 64;  // jobs counted for one sender at all workers together
inline constexpr int kMaxJobsPerWorker =
    255;  // jobs counted at one worker for all senders together

class LoadGossip {
 public:
  // Reports the jobs of all other dispatchers at a worker.
  using Changed = std::function<void(const std::string& worker, int jobs)>;

  // `self`: index of this dispatcher among `dispatchers`.
  LoadGossip(int self, int dispatchers) : self_(self), dispatchers_(dispatchers) {}

  LoadGossip(LoadGossip&&) = default;  // not copied: neighborhood_ points into workers_
  LoadGossip& operator=(LoadGossip&&) = default;

  // Replaces the endpoint list; gossip on other workers is ignored. Reports 0 jobs for each new
  // worker whose neighborhood this dispatcher belongs to.
  void list(const std::vector<std::string>& workers, const Changed& changed);
  // What the listeners were notified of is not known, as another process of this dispatcher did it:
  // they are notified of every count, also of 0, and of those of workers that are listed later than
  // this call, if none has been yet.
  void restate_counts(Time now);
  // Other dispatchers that are notified of jobs at this worker.
  std::vector<int> listeners(const std::string& worker) const;
  // Records the number of this dispatcher's own jobs at a worker.
  void announce(Time now, const std::string& worker, int jobs);

  struct Message {
    int to = 0;  // index of a dispatcher
    std::string bytes;
  };
  // Returns the messages to send now, each at most `room` bytes. Call after announce(), and every
  // kLeft / 2 while waits(). A count that rose is sent at once. One that fell waits up to kLeft for
  // another message to the same listener while some worker of the neighborhood is idle, as nobody
  // then waits for the free slot. A count that stays is repeated at half of kKept.
  std::vector<Message> due(Time now, std::size_t room = kLongest);
  // Returns what waits for this listener, at most `room` bytes, to travel in another datagram.
  std::string riding(Time now, int listener, std::size_t room);
  // Some listener is still to be notified.
  bool waits() const { return !pending_.empty(); }

  // Sets whether a listener is reachable. One that becomes reachable is notified of all counts.
  void hears(int listener, bool there);
  bool away(int listener) const { return unreachable_.contains(listener); }

  // Handles a received message. False: it is invalid and was ignored.
  bool take(Time now, std::size_t sender, std::string_view message, const Changed& changed);
  // Drops received entries older than kKept.
  void expire(Time now, const Changed& changed);

 private:
  using ShortName = std::uint16_t;
  static constexpr int kUnknownCount = -1;
  // Jobs of another dispatcher at a worker.
  struct Claim {
    int jobs = 0;
    Time received_at{};
  };
  struct Worker {
    std::string name;
    int announced = 0;       // own jobs, up to what an entry can state
    bool ever_used = false;  // by any dispatcher
    Time pending_since{};
    Time last_sent{};
    std::map<int, int> notified;          // count last sent, by listener, or kUnknownCount; empty:
                                          // not in its neighborhood
    std::map<std::size_t, Claim> claims;  // by sender
    int claimed_jobs() const;
  };

  static ShortName short_name(std::string_view worker);
  static std::string encode_entry(ShortName name, const Worker& worker);
  void add_worker(ShortName name, const std::string& worker, const Changed& changed);
  void rebuild_indexes();
  bool has_unnotified(const Worker& worker) const;  // among reachable listeners
  bool any_idle() const;
  void repeat_unchanged(Time now);
  std::set<int> listeners_due(Time now) const;
  void apply_claim(Time now, std::size_t sender, Worker& worker, int jobs, const Changed& changed);

  int self_;
  int dispatchers_;
  std::unordered_map<ShortName, Worker> workers_;
  std::map<ShortName, Worker*> neighborhood_;  // workers with this dispatcher in their neighborhood
  std::set<int> unreachable_;                  // listeners
  std::set<ShortName> pending_;                // workers with listeners still to be notified
  Time last_repeat_check_{};
  std::optional<Time> restate_with_list_;  // restate_counts() was called then, without a list
  std::unordered_map<std::size_t, int> claimed_by_;  // jobs at all workers, by sender
};

}  // namespace dispatcher::fleet

// Load gossip: each dispatcher announces its number of jobs at a worker, so that the others know of
// them before the next load report. Encodes and decodes the messages and sums up the received
// counts. The sums are estimates, which scheduling uses only as hints.
//
// A message is a sequence of entries of three bytes. The first byte holds the format version in its
// upper four bits and the number of jobs in its lower four (15: that many or more); the other two
// are the worker's short name in network byte order. An entry states a current count, so lost,
// duplicate or late ones have no lasting effect; one that is not repeated within kEntryLifetime
// expires.
//
// Does no I/O: the caller passes in the time and received bytes and sends what is returned. Not
// thread-safe.
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

// Returns the indices, among `dispatchers`, of a worker's neighborhood: the dispatchers that prefer
// this worker and notify each other of their jobs there. Every dispatcher computes the same result.
// Neighborhoods have the same size for each worker and are evenly spread; in a small fleet they
// contain all dispatchers.
std::vector<int> neighborhood_of(std::string_view worker, int dispatchers);

inline constexpr std::size_t kMaxMessageBytes = 255;
// Lifetime of a received entry.
inline constexpr Duration kEntryLifetime{10'000};
// Longest delay of a decreased count; about the duration of a short job.
inline constexpr Duration kMaxDecreaseDelay{300};
// Jobs counted for one sender at all workers together.
inline constexpr int kMaxJobsPerSender = 64;
// Jobs counted at one worker for all senders together.
inline constexpr int kMaxJobsPerWorker = 255;

class LoadGossip {
 public:
  // Receives the sum of the jobs that all other dispatchers have at a worker.
  using JobsCallback = std::function<void(const std::string& worker, int jobs)>;

  // `self`: index of this dispatcher among `dispatchers`.
  LoadGossip(int self, int dispatchers) : self_(self), dispatchers_(dispatchers) {}

  LoadGossip(LoadGossip&&) = default;  // not copied: neighborhood_ points into workers_
  LoadGossip& operator=(LoadGossip&&) = default;

  // Replaces the endpoint list; gossip about other workers is ignored. Reports 0 jobs for each new
  // worker whose neighborhood this dispatcher belongs to.
  void set_workers(const std::vector<std::string>& workers, const JobsCallback& changed);
  // Notifies the listeners of every count, zeros included, since it is unknown what another process
  // of this dispatcher notified them of. Without an endpoint list, takes effect when one is set.
  void restate_counts(Time now);
  // Indices of the other dispatchers that are notified of jobs at this worker.
  std::vector<int> listeners(const std::string& worker) const;
  // Records the number of this dispatcher's own jobs at a worker.
  void announce(Time now, const std::string& worker, int jobs);

  struct Message {
    int to = 0;  // index of a dispatcher
    std::string bytes;
  };
  // Returns the messages to send now, each at most `max_bytes` bytes. Call after announce(), and
  // every kMaxDecreaseDelay / 2 while has_pending(). A count that rose is sent at once. One that
  // fell waits up to kMaxDecreaseDelay for another message to the same listener while some worker
  // of the neighborhood is idle, since no request then waits for the freed slot. An unchanged count
  // is repeated after half of kEntryLifetime.
  std::vector<Message> due_messages(Time now, std::size_t max_bytes = kMaxMessageBytes);
  // Removes and returns pending entries for this listener, at most `max_bytes` bytes, to be sent as
  // payload of another datagram.
  std::string take_payload(Time now, int listener, std::size_t max_bytes);
  // True while some listener is still to be notified.
  bool has_pending() const { return !pending_.empty(); }

  // Sets whether a listener is reachable. One that becomes reachable is notified of all counts.
  void set_reachable(int listener, bool reachable);
  bool is_unreachable(int listener) const { return unreachable_.contains(listener); }

  // Handles a received message. Returns false if it is invalid and was ignored.
  bool handle_message(Time now, std::size_t sender, std::string_view message,
                      const JobsCallback& changed);
  // Drops received entries older than kEntryLifetime.
  void expire(Time now, const JobsCallback& changed);

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
    int announced = 0;       // own jobs, limited to what an entry can state
    bool ever_used = false;  // by any dispatcher
    Time pending_since{};
    Time last_sent{};
    std::map<int, int> notified;          // count last sent, or kUnknownCount, by listener; empty
                                          // if this dispatcher is not in the neighborhood
    std::map<std::size_t, Claim> claims;  // by sender
    int claimed_jobs() const;
  };

  static ShortName short_name(std::string_view worker);
  static std::string encode_entry(ShortName name, const Worker& worker);
  void add_worker(ShortName name, const std::string& worker, const JobsCallback& changed);
  void rebuild_indexes();
  bool has_unnotified(const Worker& worker) const;  // among reachable listeners
  bool any_idle() const;
  void repeat_unchanged(Time now);
  std::set<int> listeners_due(Time now) const;
  void apply_claim(Time now, std::size_t sender, Worker& worker, int jobs,
                   const JobsCallback& changed);

  int self_;
  int dispatchers_;
  std::unordered_map<ShortName, Worker> workers_;
  std::map<ShortName, Worker*> neighborhood_;  // workers with this dispatcher in their neighborhood
  std::set<int> unreachable_;                  // listeners
  std::set<ShortName> pending_;                // workers with listeners still to be notified
  Time last_repeat_check_{};
  std::optional<Time> restate_requested_at_;  // of a restate_counts() without an endpoint list
  std::unordered_map<std::size_t, int> claimed_by_sender_;  // jobs at all workers, by sender
};

}  // namespace dispatcher::fleet

// Holds the endpoint list as discovery last reported it, and the workers that operators have
// cordoned. The scheduler sees a cordoned worker as draining, so that its rules for draining
// workers apply unchanged.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "protocol/messages.h"

namespace dispatcher::operations {

// A cordon or uncordon call that a process of this dispatcher has acknowledged to an operator.
struct CordonChange {
  std::string worker;
  bool cordoned = false;
  scheduling::Time time{};  // of the call, on the steady clock that the processes share
};

class CordonList {
 public:
  // Records of workers that discovery does not list. If there are more, the oldest are dropped,
  // those of uncordoned workers first.
  static constexpr std::size_t kMaxUnlistedRecords = 1024;
  // Records that no longer affect their worker. They are kept since an earlier call may still
  // arrive from another process.
  static constexpr std::size_t kMaxSettledRecords = 64;

  // Applies an update from discovery. Returns the update for the scheduler.
  protocol::EndpointUpdate apply(const protocol::EndpointUpdate& update);
  // Both are idempotent. They return the update for the scheduler; for an unknown worker they
  // return nullopt and record nothing.
  std::optional<protocol::EndpointUpdate> cordon(const std::string& uid, scheduling::Time now);
  std::optional<protocol::EndpointUpdate> uncordon(const std::string& uid, scheduling::Time now);
  // Applies a call that another process has acknowledged, whether or not the worker is listed here.
  // Of two calls for one worker the later one holds, whichever arrives first. Returns the update
  // for the scheduler, or nullopt if a later call is known.
  std::optional<protocol::EndpointUpdate> apply_acknowledged(const CordonChange& change);

  // The listed workers by uid, without removed ones.
  const std::map<std::string, protocol::WorkerEndpoint>& listed() const { return listed_; }
  std::int64_t revision() const { return revision_; }
  // The endpoint list as discovery reported it, with every start time moved by `shift`.
  protocol::EndpointUpdate with_shifted_start_times(scheduling::Duration shift) const;

  // During a hot restart, leaves workers that started after `since` to the other process, since its
  // requests there are not known here. nullopt ends the exclusion. Returns the update for the
  // scheduler.
  protocol::EndpointUpdate exclude_warming_up(std::optional<scheduling::Time> since);

  struct Cordon {
    scheduling::Time cordon_time;
    std::optional<scheduling::Time> uncordon_time;  // empty: still cordoned
    scheduling::Time latest_call;                   // repeated calls included

    // False for an uncordon call that came while the worker was not cordoned. It is recorded since
    // an earlier cordon call may still arrive from another process.
    bool was_cordoned() const { return !uncordon_time || *uncordon_time > cordon_time; }
  };
  const std::map<std::string, Cordon>& cordons_by_uid() const { return cordons_; }
  // Replaces all cordons with those of another process. Returns the update for the scheduler.
  protocol::EndpointUpdate replace_cordons(std::map<std::string, Cordon> cordons);
  // The number of cordoned workers whose record was dropped; see kMaxUnlistedRecords.
  std::size_t dropped_cordons() const { return dropped_cordons_; }

 private:
  bool cordoned(const std::string& uid) const;
  bool is_known(const std::string& uid) const;
  protocol::EndpointUpdate record_call(const CordonChange& change);
  protocol::EndpointUpdate update_of(const std::string& uid) const;
  bool is_settled(const std::string& uid, const Cordon& cordon) const;
  void drop_old_records();
  template <class Condition>
  void drop_oldest(std::size_t max_records, Condition condition);
  protocol::EndpointUpdate full_update() const;
  protocol::WorkerEndpoint as_scheduled(const protocol::WorkerEndpoint& worker) const;

  std::map<std::string, protocol::WorkerEndpoint> listed_;
  std::map<std::string, Cordon> cordons_;  // also of workers that discovery does not list
  std::size_t dropped_cordons_ = 0;
  std::int64_t revision_ = 0;
  std::optional<scheduling::Time> excluded_after_;
};

}  // namespace dispatcher::operations

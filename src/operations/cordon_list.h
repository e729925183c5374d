// The endpoint list as discovery last gave it, and the workers that operators have cordoned. To the
// scheduler a cordoned worker is one that drains, so that its rules for draining apply unchanged.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "protocol/messages.h"

namespace dispatcher::operations {

class CordonList {
 public:
  // Returns the update for the scheduler.
  protocol::EndpointUpdate apply(const protocol::EndpointUpdate& update);
  // Both may be repeated. They return the update for the scheduler; nothing where no such worker is
  // known, and then nothing is remembered of it.
  std::optional<protocol::EndpointUpdate> cordon(const std::string& uid, scheduling::Time now);
  std::optional<protocol::EndpointUpdate> uncordon(const std::string& uid, scheduling::Time now);

  // By uid, without removed workers.
  const std::map<std::string, protocol::WorkerEndpoint>& listed() const { return listed_; }
  std::int64_t revision() const { return revision_; }
  // The endpoint list as it is, with every start time moved by `shift`.
  protocol::EndpointUpdate with_start_times_moved(scheduling::Duration shift) const;

  // During a hot restart, workers that started after `since` are left to the other process, since
  // its requests there are not known here. Nothing ends that. Returns the update for the scheduler.
  protocol::EndpointUpdate hold_warming_up(std::optional<scheduling::Time> since);

  struct ByHand {
    scheduling::Time since;                // when it was cordoned
    std::optional<scheduling::Time> back;  // when it was uncordoned; empty: it is cordoned
  };
  const std::map<std::string, ByHand>& by_hand() const { return by_hand_; }
  // Replaces all cordons by those of another process. Returns the update for the scheduler.
  protocol::EndpointUpdate inherit(std::map<std::string, ByHand> by_hand);

 private:
  bool cordoned(const std::string& uid) const;
  protocol::EndpointUpdate full_update() const;
  protocol::WorkerEndpoint as_scheduled(const protocol::WorkerEndpoint& worker) const;

  std::map<std::string, protocol::WorkerEndpoint> listed_;
  std::map<std::string, ByHand> by_hand_;  // kept while discovery does not list the worker
  std::int64_t revision_ = 0;
  std::optional<scheduling::Time> cold_since_;
};

}  // namespace dispatcher::operations

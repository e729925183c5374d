// Discovery's list as last told, and which workers operators have taken out by hand. What the
// module sees of a worker that is out is an entry that drains: its rule on drains, with its 500
// ms, then holds unchanged.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/messages.h"

namespace dispatcher::operations {

class CordonList {
 public:
  // What the scheduler is to hear of discovery's news.
  protocol::EndpointUpdate apply(const protocol::EndpointUpdate& news);
  // Both may come twice. They return what the scheduler is to hear; nothing: no such worker is
  // known, and nothing is remembered of it.
  std::optional<protocol::EndpointUpdate> cordon(const std::string& uid, scheduling::Time now);
  std::optional<protocol::EndpointUpdate> uncordon(const std::string& uid, scheduling::Time now);

  const std::map<std::string, protocol::WorkerEndpoint>& listed() const { return listed_; }
  std::int64_t revision() const { return revision_; }

  // While two processes are this dispatcher, workers that started after `since` get nothing from
  // this one: it does not know what the other has sent there. Nothing: no more. Returns what the
  // module is to hear.
  protocol::EndpointUpdate hold_cold(std::optional<scheduling::Time> since);

  struct ByHand {
    scheduling::Time since;                // of the call out
    std::optional<scheduling::Time> back;  // of the call back; none: it is out
  };
  const std::map<std::string, ByHand>& by_hand() const { return by_hand_; }
  protocol::EndpointUpdate inherit(
      std::map<std::string, ByHand> by_hand);  // in place of what is known here

 private:
  protocol::EndpointUpdate all() const;
  protocol::WorkerEndpoint seen(const protocol::WorkerEndpoint& l) const;

  std::map<std::string, protocol::WorkerEndpoint> listed_;  // without those that are gone
  std::map<std::string, ByHand> by_hand_;                   // outlives every list
  std::int64_t revision_ = 0;
  std::optional<scheduling::Time> cold_since_;
};

}  // namespace dispatcher::operations

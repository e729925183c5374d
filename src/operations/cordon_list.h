// Discovery's list as last told, and which instances operators have taken out by hand. What the
// module sees of an instance that is out is an entry that drains: its rule on drains, with its 500
// ms, then holds unchanged.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "protocol/messages.h"

namespace dispatcher::operations {

class Roster {
 public:
  // What the module is to hear of discovery's news.
  protocol::NameList apply(const protocol::NameList& news);
  // Both may come twice. They return what the module is to hear; nothing: no such instance is
  // known, and nothing is remembered of it.
  std::optional<protocol::NameList> cordon(const std::string& uid, scheduling::Time now);
  std::optional<protocol::NameList> uncordon(const std::string& uid, scheduling::Time now);

  const std::map<std::string, protocol::Listed>& listed() const { return listed_; }
  std::int64_t revision() const { return revision_; }

  // While two processes are this dispatcher, instances that started after `since` get nothing from
  // this one: it does not know what the other has sent there. Nothing: no more. Returns what the
  // module is to hear.
  protocol::NameList hold_cold(std::optional<scheduling::Time> since);

  struct ByHand {
    scheduling::Time since;                // of the call out
    std::optional<scheduling::Time> back;  // of the call back; none: it is out
  };
  const std::map<std::string, ByHand>& by_hand() const { return by_hand_; }
  protocol::NameList inherit(
      std::map<std::string, ByHand> by_hand);  // in place of what is known here

 private:
  protocol::NameList all() const;
  protocol::Listed seen(const protocol::Listed& l) const;

  std::map<std::string, protocol::Listed> listed_;  // without those that are gone
  std::map<std::string, ByHand> by_hand_;           // outlives every list
  std::int64_t revision_ = 0;
  std::optional<scheduling::Time> cold_since_;
};

}  // namespace dispatcher::operations

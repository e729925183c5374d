// The three narrow interfaces between the decisions and whatever protocol carries them. Nothing here knows
// HTTP: another protocol for service clients, instances or the name table is another class behind one of
// these.
#pragma once

#include <stagehinge/dispatcher.h>

#include <memory>
#include <string>
#include <vector>

#include "../transport/slots.h"

namespace oatledge::routing {

using CommandRef = transport::SlotRef;

// What a command carries from the client side to the instance side; routing never looks inside.
struct Cargo {
  virtual ~Cargo() = default;
};

// Each of these is the command's one final answer.
class ClientSide {
 public:
  virtual ~ClientSide() = default;
  virtual void served(CommandRef command, std::string result) = 0;
  virtual void nack(CommandRef command, stagehinge::Duration retry_after) = 0;  // 0: no advice
  virtual void failed(CommandRef command) = 0;
};

struct AttemptRef {
  CommandRef command;
  int attempt = 0;
  auto operator<=>(const AttemptRef&) const = default;
};

// How each ends comes back through Router::attempt_ended() or probe_ended(), once.
class InstanceSide {
 public:
  virtual ~InstanceSide() = default;
  virtual void submit(AttemptRef attempt, const std::string& instance, std::shared_ptr<const Cargo> cargo,
                      stagehinge::Duration time_left) = 0;
  virtual void withdraw(AttemptRef attempt) = 0;  // tell the instance; nothing more is reported of it
  virtual void settled(AttemptRef attempt) = 0;   // it ended otherwise: forget it, tell nobody
  virtual void probe(const std::string& instance) = 0;
};

class NameTableSide {
 public:
  virtual ~NameTableSide() = default;
  virtual void watch() = 0;  // from now on; changes and a failure come through Router::names_changed()
};

}  // namespace oatledge::routing

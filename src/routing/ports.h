// The three narrow interfaces between the decisions and whatever protocol carries them. Nothing
// here knows HTTP: another protocol for clients, workers or the endpoint list is another
// class behind one of these.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "streaming/pipe.h"
#include "transport/slots.h"

namespace dispatcher::routing {

using RequestRef = transport::SlotRef;

// What a command carries from the client side to the worker side; routing never looks inside.
struct RequestPayload {
  virtual ~RequestPayload() = default;
  std::shared_ptr<streaming::Pipe>
      upload;  // the command's body, where it passes through as it comes
  std::shared_ptr<streaming::Pipe>
      reply;  // for a reply that does; it owns its memory from the start
};

// What a worker made of a command.
struct Reply {
  std::string body;  // whole, unless `rest` is there
  std::vector<std::pair<std::string, std::string>>
      fields;                             // of the content: a name and a value each
  std::optional<std::uint64_t> length;    // of all of `rest`, where it is known ahead
  std::shared_ptr<streaming::Pipe> rest;  // the body as it comes, instead of `body`
};

// Each of these is the command's one final answer.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  // A reply that passes through is answered with its first byte. Where it breaks off after that,
  // the client must be able to tell, and no other answer follows.
  virtual void served(RequestRef command, Reply reply) = 0;
  virtual void reject(RequestRef command, scheduling::Duration retry_after) = 0;  // 0: no advice
  virtual void failed(RequestRef command) = 0;
};

struct AttemptRef {
  RequestRef command;
  int attempt = 0;
  auto operator<=>(const AttemptRef&) const = default;
};

// A cargo's upload goes out as it comes. An attempt begins at its worker with its last byte: an
// end by then is told as Unreachable. How each ends comes back through Router::attempt_ended() or
// health_check_ended(), once.
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  virtual void submit(AttemptRef attempt, const std::string& worker,
                      std::shared_ptr<const RequestPayload> cargo,
                      scheduling::Time ends) = 0;  // when nobody waits for it any more
  // Gives it up. Its end is Withdrawn once that is done, not only wished for, or what overtakes it;
  // Void where it had not begun.
  virtual void cancel(AttemptRef attempt) = 0;
  virtual void forget_attempt(
      AttemptRef attempt) = 0;  // it ended otherwise: forget it, tell nobody
  virtual bool fully_sent(
      AttemptRef attempt) const = 0;  // its last byte has been written: it may run
  virtual void check_health(const std::string& worker) = 0;
  virtual bool is_accepted(AttemptRef attempt) const = 0;  // the worker has said that it has it
};

class DiscoveryPort {
 public:
  virtual ~DiscoveryPort() = default;
  virtual void
  watch() = 0;  // from now on; changes and a failure come through Router::on_endpoint_update()
};

// The other dispatchers of the tier. What they have at a worker comes back through
// Router::on_load_gossip().
class GossipPort {
 public:
  virtual ~GossipPort() = default;
  virtual void announce(const std::string& worker,
                        int jobs) = 0;  // so many attempts of ours are there now
};

}  // namespace dispatcher::routing

// The interfaces between routing and the protocols that carry it. Nothing here knows HTTP: another
// protocol for clients, workers, discovery or gossip is another class behind one of these.
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

// What a request carries from the client side to the worker side; routing reads only the pipes.
struct RequestPayload {
  virtual ~RequestPayload() = default;

  // The body of the request, if it passes through while it is received.
  std::shared_ptr<streaming::Pipe> upload;
  // For a reply that passes through; it owns its memory from the start.
  std::shared_ptr<streaming::Pipe> reply;
};

// A worker's reply.
struct Reply {
  // Complete, unless `rest` is set.
  std::string body;
  // Headers of the content: name and value.
  std::vector<std::pair<std::string, std::string>> fields;
  // Length of all of `rest`, if it is known beforehand.
  std::optional<std::uint64_t> length;
  // The body while it is received, in place of `body`.
  std::shared_ptr<streaming::Pipe> rest;
};

// Each call is the request's one final answer.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  // A reply that passes through is answered with its first byte. If it breaks off after that, the
  // client must be able to tell, and no other answer follows.
  virtual void served(RequestRef request, Reply reply) = 0;
  // `retry_after` zero: no advice.
  virtual void reject(RequestRef request, scheduling::Duration retry_after) = 0;
  virtual void failed(RequestRef request) = 0;
};

// An attempt of a request, counted from 0.
struct AttemptRef {
  RequestRef request;
  int attempt = 0;
  auto operator<=>(const AttemptRef&) const = default;
};

// An attempt begins at its worker with the last byte of the upload; an end by then is reported as
// ConnectFailed. Each end comes back once, through Router::attempt_ended(),
// Router::attempt_stopped() or Router::health_check_ended().
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  // `expires_at`: the client times out. The upload is sent while it is received.
  virtual void submit(AttemptRef attempt, const std::string& worker,
                      std::shared_ptr<const RequestPayload> payload,
                      scheduling::Time expires_at) = 0;
  // The end is reported as Cancelled once the attempt is cancelled, or as whatever comes first;
  // NotSent if it had not begun.
  virtual void cancel(AttemptRef attempt) = 0;
  // Like cancel(), but an accepted attempt is reported through Router::attempt_stopped() once the
  // worker has confirmed that it does not run it any more. One that is not accepted yet is
  // cancelled once it is, or ends as any other.
  virtual void cancel_and_confirm(AttemptRef attempt) = 0;
  // The attempt has ended by other means: no end is reported.
  virtual void forget_attempt(AttemptRef attempt) = 0;
  // The last byte has been written: the job may run.
  virtual bool fully_sent(AttemptRef attempt) const = 0;
  virtual void check_health(const std::string& worker) = 0;
  // The worker has confirmed that it has the job.
  virtual bool is_accepted(AttemptRef attempt) const = 0;
};

class DiscoveryPort {
 public:
  virtual ~DiscoveryPort() = default;
  // From now on changes and a failure come through Router::on_endpoint_update().
  virtual void watch() = 0;
};

// The other dispatchers. What they report of a worker comes back through Router::on_load_gossip().
class GossipPort {
 public:
  virtual ~GossipPort() = default;
  // `jobs`: the open attempts of this dispatcher at the worker.
  virtual void announce(const std::string& worker, int jobs) = 0;
};

}  // namespace dispatcher::routing

// The interfaces between routing and the network protocols. They are independent of HTTP: another
// protocol for clients, workers, discovery or gossip is another implementation of one of these.
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

// The content of a request, passed from the client protocol to the worker protocol. Routing itself
// uses only the pipes.
struct RequestPayload {
  virtual ~RequestPayload() = default;

  // The request body if it is streamed, i.e. forwarded while it is being received.
  std::shared_ptr<streaming::Pipe> upload;
  // For a streamed reply; its memory is reserved from the start.
  std::shared_ptr<streaming::Pipe> reply;
};

// A worker's reply.
struct Reply {
  // The complete body, unless `body_stream` is set.
  std::string body;
  // Content header fields: name and value.
  std::vector<std::pair<std::string, std::string>> fields;
  // Total length of `body_stream`, if known in advance.
  std::optional<std::uint64_t> length;
  // A streamed body; replaces `body`.
  std::shared_ptr<streaming::Pipe> body_stream;
};

// Answers requests. Each request gets exactly one of these calls.
class ClientPort {
 public:
  virtual ~ClientPort() = default;
  // A streamed reply counts as the answer from its first byte on. If it breaks off later, the
  // client must be able to detect that, and no other answer follows.
  virtual void respond_with_reply(RequestRef request, Reply reply) = 0;
  // `retry_after`: when the client may retry; zero gives no advice.
  virtual void respond_with_rejection(RequestRef request, scheduling::Duration retry_after) = 0;
  virtual void respond_with_failure(RequestRef request) = 0;
};

// An attempt of a request; attempts are numbered from 0.
struct AttemptRef {
  RequestRef request;
  int attempt = 0;
  auto operator<=>(const AttemptRef&) const = default;
};

// Submits attempts to workers. A worker starts the job only with the last byte of the upload, so a
// failure before that is reported as ConnectFailed. Each end is reported exactly once, through
// Router::attempt_ended(), Router::cancellation_confirmed() or Router::health_check_ended().
class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  // `expires_at`: when the client times out. The upload is sent while it is being received.
  virtual void submit(AttemptRef attempt, const std::string& worker,
                      std::shared_ptr<const RequestPayload> payload,
                      scheduling::Time expires_at) = 0;
  // The end is reported as Cancelled once the attempt is cancelled, as NotSent if it had not been
  // sent yet, or as the attempt's own outcome if that comes first.
  virtual void cancel(AttemptRef attempt) = 0;
  // Like cancel(), but an accepted attempt ends through Router::cancellation_confirmed() once the
  // worker has confirmed that the job no longer runs. An attempt that is not accepted yet is
  // cancelled as soon as it is accepted, unless it ends before.
  virtual void cancel_and_confirm(AttemptRef attempt) = 0;
  // The caller has already ended the attempt: no end is reported.
  virtual void forget_attempt(AttemptRef attempt) = 0;
  // The last byte has been written, so the job may be running.
  virtual bool fully_sent(AttemptRef attempt) const = 0;
  virtual void check_health(const std::string& worker) = 0;
  // The worker has acknowledged the job.
  virtual bool is_accepted(AttemptRef attempt) const = 0;
};

class DiscoveryPort {
 public:
  virtual ~DiscoveryPort() = default;
  // Starts watching; changes and failures are reported through Router::on_endpoint_update().
  virtual void watch() = 0;
};

// Exchanges load with the other dispatchers. Their reports about a worker arrive through
// Router::on_load_gossip().
class GossipPort {
 public:
  virtual ~GossipPort() = default;
  // `jobs`: number of open attempts of this dispatcher at the worker.
  virtual void announce(const std::string& worker, int jobs) = 0;
};

}  // namespace dispatcher::routing

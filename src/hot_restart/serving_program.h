// Interface through which a hot restart uses the rest of the program.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "fleet/fleet_socket.h"
#include "hot_restart/adopted_requests.h"
#include "http/client_server.h"
#include "operations/cordon_list.h"

namespace dispatcher::hot_restart {

// How much of the retry budget a process may use around a hot restart. The incoming process does
// not know how much the outgoing one has used. For one window of the budget it therefore gets only
// the part that is a ratio of its requests, without the free part. The outgoing process may not use
// any.
enum class RetryBudgetLimit { Unlimited, RatioOnly, NoRetries };

class ServingProgram {
 public:
  using OnCordonCall = std::function<void(const operations::CordonChange&)>;
  using OnDrainTimeout = std::function<void()>;

  virtual ~ServingProgram() = default;

  virtual http::ClientServer& client_server() = 0;
  virtual routing::Router& router() = 0;
  virtual operations::CordonList& cordon_list() = 0;
  virtual AdoptedRequests& adopted_requests() = 0;
  virtual fleet::FleetSocket* fleet_socket() = 0;  // null: no communication with other dispatchers
  virtual const protocol::IdentifierTables& identifiers() const = 0;
  // Those in force; a reload replaces them.
  virtual const scheduling::Settings& settings() const = 0;

  // Takes over the clock offset of an outgoing process, and its endpoint list unless the list of
  // this process is newer. `snapshot_needed`: the watch cannot be resumed from that list.
  virtual void inherit_endpoints(scheduling::Duration wall_to_steady,
                                 const protocol::EndpointUpdate& list, bool snapshot_needed) = 0;
  // Whether the endpoint list may be outdated, so that the next poll requests a snapshot.
  virtual bool needs_snapshot() const = 0;
  // Whether an endpoint list is known, so that requests can be dispatched.
  virtual bool can_serve() const = 0;
  // `callback` is called when can_serve() becomes true through a response of discovery.
  virtual void on_able_to_serve(std::function<void()> callback) = 0;

  // Reloads that this process and those before it have accepted.
  virtual std::uint32_t reloads() const = 0;
  // The processes before this one have accepted that many reloads. Reads the configuration again if
  // this process did not know of all of them.
  virtual void follow_reloads(std::uint32_t reloads) = 0;
  // `callback` is called after each accepted reload.
  virtual void on_reload_accepted(std::function<void()> callback) = 0;

  // If false, another process still serves, and the health check of this one fails.
  virtual void set_serving(bool serving) = 0;
  // Applies an update that a change of the cordon list returned.
  virtual void apply_endpoint_update(const protocol::EndpointUpdate& update) = 0;
  // Applies a call that a process of this dispatcher has acknowledged to an operator, whether or
  // not the worker is listed here.
  virtual void apply_acknowledged_cordon(const operations::CordonChange& change) = 0;
  virtual void limit_retry_budget(RetryBudgetLimit limit) = 0;
  // `callback` is called for each cordon or uncordon call of an operator to this process.
  virtual void on_cordon_call(OnCordonCall callback) = 0;
  // `callback` is called when the drain timeout of a graceful shutdown expires, before the requests
  // that are still open fail. May be null.
  virtual void on_drain_timeout(OnDrainTimeout callback) = 0;
};

}  // namespace dispatcher::hot_restart

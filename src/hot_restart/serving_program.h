// What a hot restart needs of the program around it.
#pragma once

#include <functional>
#include <string>

#include "fleet/fleet_socket.h"
#include "hot_restart/adopted_requests.h"
#include "http/client_server.h"
#include "operations/cordon_list.h"

namespace dispatcher::hot_restart {

// How much of the retry budget a process may use around a hot restart. The incoming process does
// not know what the outgoing one has used, so it gets the free part only after one window of the
// budget; the outgoing process uses none any more.
enum class RetryBudgetLimit { Unlimited, WithoutFreePart, NoRetries };

class ServingProgram {
 public:
  using OnCordonCall = std::function<void(const std::string& worker, bool cordoned)>;
  using OnLastCall = std::function<void(routing::RequestRef)>;

  virtual ~ServingProgram() = default;

  virtual http::ClientServer& client_server() = 0;
  virtual routing::Router& router() = 0;
  virtual operations::CordonList& cordon_list() = 0;
  virtual AdoptedRequests& adopted_requests() = 0;
  virtual fleet::FleetSocket* fleet_socket() = 0;  // null: no talk with other dispatchers
  virtual const protocol::IdentifierTables& identifiers() const = 0;

  // Takes over the clock offset and the endpoint list of an outgoing process, unless the own list
  // is newer.
  virtual void inherit_endpoints(scheduling::Duration wall_to_steady,
                                 const protocol::EndpointUpdate& list) = 0;
  // True: an endpoint list is known, so that requests can be dispatched.
  virtual bool can_serve() const = 0;
  // For the moment in which can_serve() becomes true by an answer of discovery.
  virtual void on_able_to_serve(std::function<void()> callback) = 0;

  // False: another process still serves, and the health check of this one answers no.
  virtual void set_serving(bool serving) = 0;
  // Passes on what a change of the cordon list returned.
  virtual void apply_endpoint_update(const protocol::EndpointUpdate& update) = 0;
  // A call that an operator made at the other process. False: the worker is unknown.
  virtual bool apply_cordon(const std::string& worker, bool cordoned) = 0;
  virtual void limit_retry_budget(RetryBudgetLimit limit) = 0;
  // For each call that an operator makes at this process.
  virtual void on_cordon_call(OnCordonCall callback) = 0;
  // For each request that is still open when the time for a graceful shutdown is over. Null: none.
  virtual void on_last_call(OnLastCall callback) = 0;
};

}  // namespace dispatcher::hot_restart

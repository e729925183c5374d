// Options and services that both sides of a hot restart use.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "hot_restart/ownership.h"
#include "hot_restart/serving_program.h"
#include "operations/log.h"
#include "transport/deadlines.h"
#include "transport/gio_network.h"

namespace dispatcher::hot_restart {

// State that the incoming process takes over for its communication with the rest of the fleet.
// Empty if there was no outgoing process.
struct InheritedFleetState {
  transport::Descriptor socket;
  std::uint32_t incarnation = 0;  // 0: none
  std::vector<fleet::MembershipView::Update> members;
};

struct Options {
  std::string socket_path;  // of the local socket through which the two processes find each other
  DispatcherIdentity identity;
  transport::GioNetwork::Limits connection_limits;  // while there is only one process
  // Starts communication with the other dispatchers.
  std::function<void(InheritedFleetState)> start_fleet_socket;
  // Receives a line for each message between the processes. May be null.
  std::function<void(const std::string&)> trace;

  // Limits while there may be two processes: each may use half of the descriptors for connections
  // to workers.
  transport::GioNetwork::Limits shared_limits(std::size_t accepted) const {
    return {accepted, connection_limits.connected / 2};
  }
};

// The referenced objects must outlive both sides.
struct ProcessContext {
  GMainContext* main_context;
  ServingProgram& program;
  transport::GioNetwork& network;
  transport::Deadlines& deadlines;
  const transport::Clock& clock;
  operations::Log& log;
};

}  // namespace dispatcher::hot_restart

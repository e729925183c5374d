// The services that all HTTP components of the program share.
#pragma once

#include "operations/log.h"
#include "operations/metrics.h"
#include "protocol/messages.h"
#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

// The program owns the referenced objects and keeps them alive longer than the components.
struct Platform {
  transport::Network& network;
  transport::Deadlines& deadlines;
  const transport::Clock& clock;
  const protocol::IdentifierTables& identifier_tables;
  operations::Log& log;
  operations::Metrics& metrics;
};

}  // namespace dispatcher::http

// The services that every HTTP component of the program uses.
#pragma once

#include "operations/log.h"
#include "operations/metrics.h"
#include "protocol/messages.h"
#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

// References only: the program owns all of them and outlives the components.
struct Platform {
  transport::Network& network;
  transport::Deadlines& deadlines;
  const transport::Clock& clock;
  const protocol::IdentifierTables& words;
  operations::Log& log;
  operations::Metrics& metrics;
};

}  // namespace dispatcher::http

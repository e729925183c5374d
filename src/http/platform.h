// What every side of the program stands on.
#pragma once

#include "operations/log.h"
#include "operations/metrics.h"
#include "protocol/messages.h"
#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

struct Platform {
  transport::Network& network;
  transport::Deadlines& deadlines;
  const transport::Clock& clock;
  const protocol::Vocabulary& words;
  operations::Log& log;
  operations::Figures& figures;
};

}  // namespace dispatcher::http

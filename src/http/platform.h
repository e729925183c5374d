// What every side of the program stands on.
#pragma once

#include "../operations/figures.h"
#include "../operations/log.h"
#include "../protocol/messages.h"
#include "../transport/deadlines.h"
#include "../transport/network.h"

namespace oatledge::http {

struct Platform {
  transport::Network& network;
  transport::Deadlines& deadlines;
  const transport::Clock& clock;
  const protocol::Vocabulary& words;
  operations::Log& log;
  operations::Figures& figures;
};

}  // namespace oatledge::http

// Interface to the requests that this process has adopted from another one. They are not in the
// router: their workers' job events are handled separately.
#pragma once

#include "protocol/messages.h"

namespace dispatcher::http {

class AdoptedJobs {
 public:
  virtual ~AdoptedJobs() = default;

  // Whether the request is adopted and not answered yet.
  virtual bool holds(scheduling::RequestId id) const = 0;
  // Has no effect if holds() is false for the request.
  virtual void on_job_event(const protocol::JobEvent& event) = 0;
};

}  // namespace dispatcher::http

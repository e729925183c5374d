// Measures what a dispatcher still sends to workers after the client has left.
#pragma once

#include "testbed/hostile/hostile_setup.h"

namespace dispatcher::testbed {

// Clients close, half-close or reset their connection with hundreds of requests unread; none of
// them may begin later than 0.1 s after that. And request ids come again after their client has
// left, at the same process or at the other one of a hot restart, with many others in between: each
// runs once at most.
std::vector<HostileResult> measure_abandonment(const HostileSetup& setup);

}  // namespace dispatcher::testbed

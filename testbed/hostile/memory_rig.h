// Measures the memory of a dispatcher whose clients make it hold as much as they can.
#pragma once

#include "testbed/hostile/hostile_setup.h"

namespace dispatcher::testbed {

// As many clients as the process may have descriptors, for each pattern at a process of its own:
// half bodies, heads of very many short fields, slow writers, unread answers, open requests. Checks
// that the peak is within limits.memory_mb, that the process lives, and that another client is
// served afterwards.
std::vector<HostileResult> measure_memory(const HostileSetup& setup);

}  // namespace dispatcher::testbed

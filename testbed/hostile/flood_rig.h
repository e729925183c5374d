// Measures what other clients notice of one connection that sends messages at full speed.
#pragma once

#include <chrono>

#include "testbed/hostile/hostile_setup.h"

namespace dispatcher::testbed {

// For each kind of message at a process of its own, each time for `duration`: readiness checks,
// unsound requests, job events of unknown requests, ever new tenants, classes, request ids and
// idempotency keys; some of them also while the two processes of a hot restart run. Checks that
// others are served in time and that the memory is bounded.
std::vector<HostileResult> measure_floods(const HostileSetup& setup, std::chrono::seconds duration);

}  // namespace dispatcher::testbed

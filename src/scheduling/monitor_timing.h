// Timing of the attempt monitor's inspections.
#pragma once

#include "dispatcher/scheduling/time.h"

namespace dispatcher::scheduling {

constexpr double kOverdueFactor = 2.0;       // of the expected run time; then it is overdue
constexpr Duration kRoundTripAllowance{50};  // for the network, to the worker and back

}  // namespace dispatcher::scheduling

// The time types of the scheduling library. All times come from the caller; the library never reads
// a clock.
#pragma once

#include <chrono>

namespace dispatcher::scheduling {

using Duration = std::chrono::duration<double, std::milli>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

}  // namespace dispatcher::scheduling

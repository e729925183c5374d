// Conversions from durations to plain numbers.
#pragma once

#include <chrono>

#include "dispatcher/scheduling/time.h"

namespace dispatcher::scheduling {

inline double milliseconds(Duration duration) {
  return duration.count();
}

inline double seconds(Duration duration) {
  return duration / Duration(std::chrono::seconds(1));
}

}  // namespace dispatcher::scheduling

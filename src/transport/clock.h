// The monotonic clock used for deadlines and decisions, behind an interface so that tests can set
// the time.
#pragma once

#include <chrono>

namespace dispatcher::transport {

using Duration = std::chrono::duration<double, std::milli>;
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
};

class SteadyClock final : public Clock {
 public:
  Time now() const override { return std::chrono::steady_clock::now(); }
};

}  // namespace dispatcher::transport

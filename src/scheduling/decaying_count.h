// A count of recent events whose weights decay exponentially with age.
#pragma once

#include <cmath>

#include "dispatcher/scheduling/time.h"

namespace dispatcher::scheduling {

class DecayingCount {
 public:
  // Decays the count exponentially to `now` and returns it.
  double decay(Time now, Duration time_constant) {
    count_ *= std::exp(-((now - updated_at_) / time_constant));
    updated_at_ = now;
    return count_;
  }
  void add(double events) { count_ += events; }
  double value() const { return count_; }

 private:
  double count_ = 0;
  Time updated_at_{};
};

}  // namespace dispatcher::scheduling

// Estimates of request cost from hints and finished attempts.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>

#include "dispatcher/scheduling/cost_model.h"
#include "dispatcher/scheduling/types.h"
#include "scheduling/request_state.h"

namespace dispatcher::scheduling {

// Cost statistics of one class of requests. Work is in ms at standard speed.
struct ClassCosts {
  double mean_work_ms = 100;
  double samples = 0;
  Duration longest_timeout{0};  // assumed to be the timeout of a client's first try
  CostHintModel hints;

  double learn(double work_ms) {
    mean_work_ms += (work_ms - mean_work_ms) * std::max(0.05, 1.0 / ++samples);
    return mean_work_ms;
  }
};

// Costs of all classes. Kept across settings changes, since classes keep their indices.
class CostEstimator {
 public:
  ClassCosts& of_class(std::size_t job_class) {
    return classes_.try_emplace(job_class).first->second;
  }
  const ClassCosts& of_class(std::size_t job_class) const { return classes_.at(job_class); }

  // `priority_weight` is that of the request, see priority_weight() below.
  void on_request(Time now, double slot_work_ms, double priority_weight) {
    mean_work_ms_ += kMeanGain * (slot_work_ms - mean_work_ms_);
    mean_priority_weight_ += kMeanGain * (priority_weight - mean_priority_weight_);
    histogram_.add(now, slot_work_ms);
  }

  double mean_work_ms() const { return mean_work_ms_; }  // slot-weighted
  double mean_priority_weight() const { return mean_priority_weight_; }
  const CostHistogram& histogram() const { return histogram_; }

 private:
  static constexpr double kMeanGain = 0.05;  // weight of each new sample

  std::map<std::size_t, ClassCosts> classes_;
  CostHistogram histogram_;
  double mean_work_ms_ = 100;
  double mean_priority_weight_ = 0;
};

// The priority weight of a request before reductions for lateness or exceeded quotas.
inline double priority_weight(const RequestState& state, const Settings& settings) {
  return state.class_settings.priority_weight * (settings.weight_by_work ? state.slot_work() : 1);
}

}  // namespace dispatcher::scheduling

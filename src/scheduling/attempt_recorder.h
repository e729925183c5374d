// Accounts for attempts at the workers that run them and learns from how they end.
#pragma once

#include <cstddef>

#include "dispatcher/scheduling/types.h"
#include "scheduling/cost_estimator.h"
#include "scheduling/load_estimator.h"
#include "scheduling/outlier_ejection.h"
#include "scheduling/request_state.h"
#include "scheduling/slow_start.h"
#include "scheduling/worker.h"
#include "scheduling/worker_registry.h"

namespace dispatcher::scheduling {

// Returns the open attempt at the worker, or null.
OutstandingAttempt* find_outstanding(Worker& worker, RequestId id, int attempt);

// Maintains the totals over the open attempts of each worker, and passes ends and load reports on
// to the load estimator, the outlier ejection and the cost model.
//
// A request that fails at several workers may itself be the cause. Its first failure counts against
// the worker; a failure at a further worker counts only once yet another one has served the
// request.
class AttemptRecorder {
 public:
  // All references must outlive the recorder.
  AttemptRecorder(const Settings& settings, CostEstimator& costs, const SlowStart& slow_start,
                  const WorkerRegistry& registry, LoadEstimator& load, OutlierEjection& ejection,
                  RequestTable& requests)
      : settings_(settings),
        costs_(costs),
        slow_start_(slow_start),
        registry_(registry),
        load_(load),
        ejection_(ejection),
        requests_(requests) {}

  // Records the next attempt of the request.
  void open(Worker& worker, const RequestState& state, Time now);
  // Does nothing if the attempt is not open at the worker.
  void close(Worker& worker, const AttemptEnd& end, Time now);
  void on_report(Worker& worker, const LoadReport& report, bool with_attempt_end, Time now);

 private:
  void record_outcome(Worker& worker, std::size_t job_class, const AttemptEnd& end, Time now);
  void count_deferred_failures(RequestState& state, Time now);
  void learn_from_success(Worker& worker, const OutstandingAttempt& attempt, Time now);
  double learn_work(const Worker& worker, const OutstandingAttempt& attempt,
                    const RequestState& state, Time now);
  void learn_speed(Worker& worker, const OutstandingAttempt& attempt, double work_ms, Time now);
  void on_rejected(Worker& worker, const OutstandingAttempt& attempt, Time now);

  const Settings& settings_;
  CostEstimator& costs_;
  const SlowStart& slow_start_;
  const WorkerRegistry& registry_;
  LoadEstimator& load_;
  OutlierEjection& ejection_;
  RequestTable& requests_;
};

}  // namespace dispatcher::scheduling

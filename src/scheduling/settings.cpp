// Validation of settings.
#include <cmath>
#include <stdexcept>
#include <string>

#include "dispatcher/scheduling/types.h"
#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

void require(bool condition, const char* message) {
  if (!condition)
    throw std::invalid_argument(std::string("settings: ") + message);
}

bool finite_and_non_negative(double value) {
  return std::isfinite(value) && value >= 0;
}

void validate_retry_budget(const Settings& settings) {
  require(settings.retry_budget_free.has_value() == settings.retry_budget_window.has_value() &&
              settings.retry_budget_ratio.has_value() == settings.retry_budget_window.has_value(),
          "retry_budget_free, retry_budget_ratio and retry_budget_window must be set together");
  require(
      finite_and_non_negative(settings.retry_budget_free.value_or(0)) &&
          finite_and_non_negative(settings.retry_budget_ratio.value_or(0)) &&
          finite_and_non_negative(milliseconds(settings.retry_budget_window.value_or(Duration(0)))),
      "a retry budget value is negative or not finite");
}

void validate_class(const ClassSettings& job_class) {
  require(milliseconds(job_class.latency_objective) >= 0 && milliseconds(job_class.deadline) >= 0 &&
              milliseconds(job_class.deduplication_window) >= 0 &&
              job_class.objective_work_factor >= 0 && job_class.priority_weight >= 0,
          "a class has a negative duration, objective_work_factor or priority_weight");
}

}  // namespace

void validate(const Settings& settings) {
  require(!settings.classes.empty(), "classes must not be empty");
  require(settings.dispatchers >= 1, "balancers must be at least 1");
  require(settings.index >= 0 && settings.index < settings.dispatchers,
          "index must be in [0, balancers)");
  require(settings.max_attempts >= 1, "max_attempts must be at least 1");
  require(settings.slow_start_initial_fraction > 0 && settings.slow_start_initial_fraction <= 1,
          "cold_from must be in (0, 1]");
  require(settings.overload_multiple > 0 && milliseconds(settings.overload_window) > 0,
          "overload_multiple and overload_window must be positive");
  validate_retry_budget(settings);
  for (Duration duration :
       {settings.tick, settings.answer_slack, settings.poll_deadline, settings.drain_grace,
        settings.slow_start_duration, settings.progress_interval, settings.max_retry_after})
    require(milliseconds(duration) >= 0, "a duration is negative");
  for (const ClassSettings& job_class : settings.classes)
    validate_class(job_class);
}

}  // namespace dispatcher::scheduling

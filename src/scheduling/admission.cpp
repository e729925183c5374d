#include "scheduling/admission.h"

#include <algorithm>
#include <cmath>

#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

constexpr double kMaxHintMs = 1e7;
constexpr double kMaxSlotsOrMemory = 1e6;
// A request is answered this long, plus two ticks, before the client's timeout.
constexpr Duration kAnswerMargin{2};

double clamp_finite(double value, double minimum) {
  return std::isfinite(value) ? std::clamp(value, minimum, kMaxSlotsOrMemory) : minimum;
}

// The hint in ms; 0 if it is absent, not finite or out of range.
double usable_hint_ms(const Request& request) {
  if (!request.cost_hint)
    return 0;
  const double hint_ms = milliseconds(*request.cost_hint);
  return hint_ms > 0 && hint_ms <= kMaxHintMs ? hint_ms : 0;
}

}  // namespace

RequestState Admission::admit(const Request& request, Time now) {
  const bool has_hint = request.cost_hint && milliseconds(*request.cost_hint) > 0;
  RequestState state;
  state.request = request;
  state.request.slots = clamp_finite(request.slots, 1.0);
  state.request.memory = clamp_finite(request.memory, 0.0);
  state.pool_draw = has_hint ? 0 : std::generate_canonical<double, 53>(random_);
  state.class_settings = settings_.classes[request.job_class];
  state.max_attempts = settings_.max_attempts;
  state.cost_hint_ms = usable_hint_ms(request);
  ClassCosts& costs = costs_.of_class(request.job_class);
  if (state.cost_hint_ms > 0) {
    costs.learn(state.cost_hint_ms);
    state.work_ms = costs.hints.expected(state.cost_hint_ms);
  } else {
    state.work_ms = costs.mean_work_ms;
  }
  costs_.on_request(now, state.slot_work(), priority_weight(state, settings_));
  budget_.on_request_accepted(now);
  set_deadlines(state, costs, now);
  state.over_quota = quota_.charge(now, request.tenant, state.slot_work(), costs_.mean_work_ms());
  if (state.over_quota) {
    state.objective_deadline = state.deadline;
    state.late = true;
  }
  return state;
}

void Admission::set_deadlines(RequestState& state, ClassCosts& costs, Time now) const {
  const Request& request = state.request;
  const ClassSettings& class_settings = state.class_settings;
  costs.longest_timeout = std::max(costs.longest_timeout, request.timeout);
  const Duration elapsed = costs.longest_timeout - request.timeout;
  const Duration objective =
      std::min(class_settings.latency_objective +
                   Duration(class_settings.objective_work_factor * state.work_ms),
               costs.longest_timeout);
  state.deadline = now + request.timeout + request.transfer - 2 * settings_.tick - kAnswerMargin;
  state.objective_deadline = std::min(now + objective - elapsed, state.deadline);
  const Time earliest_end = now + Duration(state.work_ms / registry_.mean_speed());
  if (state.objective_deadline < earliest_end && elapsed > Duration(0) &&
      class_settings.late_weight <= 0) {
    state.objective_deadline = std::min(now + objective, state.deadline);
    state.late = true;
  }
}

}  // namespace dispatcher::scheduling

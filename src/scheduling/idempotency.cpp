#include "scheduling/idempotency.h"

#include <algorithm>
#include <cmath>

#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

double repeat_margin_ms(const Settings& settings) {
  const double timeout_ms = milliseconds(settings.connect_timeout.value_or(Duration(-1)));
  return timeout_ms >= 0 ? 2 * timeout_ms + 2 * milliseconds(settings.tick) : INFINITY;
}

// Whether the worker would recognize the idempotency key of an attempt that may have run.
bool recognizes_repeat(const Worker& worker, const Attempt& attempt, const ClassSettings& settings,
                       double margin_ms, Time now) {
  if (settings.idempotency == Idempotency::NonIdempotent)
    return false;
  const double left_ms =
      milliseconds(attempt.window_start + settings.deduplication_window - now) - margin_ms;
  if (!(left_ms > 0 && std::isfinite(left_ms)))
    return false;
  switch (settings.deduplication_scope) {
    case DeduplicationScope::Zone:
      return attempt.zone == worker.zone;
    case DeduplicationScope::Cell:
      return attempt.cell == worker.cell;
    case DeduplicationScope::All:
      break;
  }
  return true;
}

}  // namespace

bool may_reject(const RequestState& state) {
  return state.class_settings.idempotency == Idempotency::Idempotent || !state.any_may_have_run();
}

bool may_send(const Worker& worker, const RequestState& state, const Settings& settings, Time now) {
  const ClassSettings& class_settings = state.class_settings;
  if (std::ssize(state.attempts) >= std::min(state.max_attempts, settings.max_attempts))
    return false;
  const double margin_ms = repeat_margin_ms(settings);
  return std::ranges::all_of(state.attempts, [&](const Attempt& attempt) {
    if (attempt.open && !settings.hedging_allowed)
      return false;
    if (attempt.may_still_run() && attempt.worker == &worker)
      return false;
    if (!attempt.may_have_run || class_settings.idempotency == Idempotency::Idempotent)
      return true;
    return recognizes_repeat(worker, attempt, class_settings, margin_ms, now);
  });
}

}  // namespace dispatcher::scheduling

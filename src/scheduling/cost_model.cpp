// What the decisions stand on but that decides nothing itself: checked settings and the histogram's
// bookkeeping.
#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "dispatcher/scheduling/scheduler.h"

namespace dispatcher::scheduling {
namespace {

using std::chrono::seconds;

// Hints of the last minutes count; a bin is a quarter of an octave, from 1/64 ms up over thirty
// octaves.
constexpr Duration kHalfLife = seconds(60);
constexpr int kBinsPerOctave = 4;
constexpr int kLowestOctave = -6;

constexpr double kTrust = 10;    // jobs' worth of belief that hints are right, before any has ended
constexpr double kKeep = 0.995;  // weight kept by older jobs at each new one

double ms(Duration d) {
  return d.count();
}

}  // namespace

void validate(const Settings& s) {
  auto need = [](bool ok, const char* what) {
    if (!ok)
      throw std::invalid_argument(std::string("settings: ") + what);
  };
  need(!s.classes.empty(), "settings name no class");
  need(s.dispatchers >= 1, "balancers must be at least 1");
  need(s.index >= 0 && s.index < s.dispatchers, "index must be in [0, balancers)");
  need(s.max_attempts >= 1, "max_attempts must be at least 1");
  need(s.slow_start_initial_fraction > 0 && s.slow_start_initial_fraction <= 1,
       "cold_from must be in (0, 1]");
  need(s.overload_multiple > 0 && ms(s.overload_window) > 0,
       "tip_multiple and fall_span must be positive");
  need(s.retry_budget_free.has_value() == s.retry_budget_window.has_value() &&
           s.retry_budget_ratio.has_value() == s.retry_budget_window.has_value(),
       "the retry budget is given in part: it needs its free attempts, its share and its window");
  auto sane = [](double x) {
    return std::isfinite(x) && x >= 0;
  };
  need(sane(s.retry_budget_free.value_or(0)) && sane(s.retry_budget_ratio.value_or(0)) &&
           sane(ms(s.retry_budget_window.value_or(Duration(0)))),
       "a figure of the retry budget is negative or not finite");
  for (Duration d : {s.tick, s.answer_slack, s.poll_deadline, s.drain_grace, s.slow_start_duration,
                     s.progress_interval, s.max_retry_after})
    need(ms(d) >= 0, "a time is negative");
  for (const ClassSettings& c : s.classes) {
    need(ms(c.latency_objective) >= 0 && ms(c.deadline) >= 0 && ms(c.deduplication_window) >= 0 &&
             c.objective_work_factor >= 0 && c.priority_weight >= 0,
         "a class has a negative time, stretch or worth");
  }
}

double CostHistogram::lower_edge(std::size_t bin) {
  return std::exp2(kLowestOctave + static_cast<double>(bin) / kBinsPerOctave);
}

void CostHistogram::Bin::operator+=(const Bin& o) {
  count += o.count;
  work += o.work;
  square += o.square;
  inverse += o.inverse;
}
void CostHistogram::Bin::operator-=(const Bin& o) {
  count -= o.count;
  work -= o.work;
  square -= o.square;
  inverse -= o.inverse;
}

CostHistogram::CostHistogram() : bins_(30 * kBinsPerOctave) {}

void CostHistogram::decay(Time now) {
  double steps = std::floor(std::max(0.0, (now - decayed_) / Duration(seconds(1))));
  if (steps < 1)
    return;
  double keep = std::exp2(-Duration(steps * 1000) / kHalfLife);
  for (Bin& b : bins_) {
    b.count *= keep;
    b.work *= keep;
    b.square *= keep;
    b.inverse *= keep;
  }
  count_ *= keep;
  work_ *= keep;
  decayed_ += Duration(steps * 1000);
}

void CostHistogram::add(Time now, double work_ms) {
  if (!(work_ms > 0 && work_ms <= 1e13))
    return;
  if (!first_)
    first_ = decayed_ = now;
  decay(now);
  double octave = std::log2(work_ms) - kLowestOctave;
  auto last = static_cast<double>(bins_.size() - 1);
  Bin& b =
      bins_[static_cast<std::size_t>(std::clamp(std::floor(octave * kBinsPerOctave), 0.0, last))];
  b.count += 1;
  b.work += work_ms;
  b.square += work_ms * work_ms;
  b.inverse += 1 / work_ms;
  count_ += 1;
  work_ += work_ms;
}

double CostHistogram::work_rate(Time now) const {
  if (!first_)
    return 0;
  double age = std::max(1.0, (now - *first_) / Duration(seconds(1)));
  double half = kHalfLife / Duration(seconds(1));
  return work_ / (1000 * half / std::log(2) * (1 - std::exp2(-age / half)));
}

double CostHintModel::slope() const {
  return std::clamp((both_ + kTrust) / (hint_var_ + kTrust), 0.2, 1.0);
}

double CostHintModel::expected(double hint_ms) const {
  return bent_ > 0 ? std::pow(hint_ms, slope()) * hints_ / bent_ : hint_ms;
}

double CostHintModel::spread() const {
  return std::exp(std::sqrt(std::max(0.0, seen_var_ - slope() * both_) / (n_ + kTrust)));
}

void CostHintModel::learn(double hint_ms, double seen_ms) {
  if (!(hint_ms > 0 && seen_ms > 0))
    return;
  double x = std::log(hint_ms);
  double y = std::log(seen_ms);
  n_ = kKeep * n_ + 1;
  hint_var_ *= kKeep;
  seen_var_ *= kKeep;
  both_ *= kKeep;
  double dx = x - hint_mean_;
  double dy = y - seen_mean_;
  hint_mean_ += dx / n_;
  seen_mean_ += dy / n_;
  hint_var_ += dx * (x - hint_mean_);
  seen_var_ += dy * (y - seen_mean_);
  both_ += dx * (y - seen_mean_);
  hints_ = kKeep * hints_ + hint_ms;
  bent_ = kKeep * bent_ + std::pow(hint_ms, slope());
}

}  // namespace dispatcher::scheduling

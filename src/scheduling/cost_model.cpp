#include "dispatcher/scheduling/cost_model.h"

#include <algorithm>
#include <cmath>

#include "scheduling/units.h"

namespace dispatcher::scheduling {
namespace {

constexpr Duration kHalfLife = std::chrono::seconds(60);
constexpr Duration kDecayStep = std::chrono::seconds(1);
constexpr int kLowestOctave = -6;  // the first bin begins at 1/64 ms
constexpr double kMaxWorkMs = 1e13;
// Below this fraction of the samples, rounding errors would dominate the sums of the long pool.
constexpr double kMinLongSampleFraction = 1e-6;

constexpr double kPriorSampleCount = 10;   // weight, in samples, of the prior that hints are exact
constexpr double kDecayPerSample = 0.995;  // factor on the weight of older samples per new one
constexpr double kMinSlope = 0.2;

}  // namespace

double CostHistogram::lower_edge(std::size_t bin) {
  return std::exp2(kLowestOctave + static_cast<double>(bin) / kBinsPerOctave);
}

void CostHistogram::Bin::operator+=(const Bin& other) {
  count += other.count;
  work += other.work;
  square += other.square;
  inverse += other.inverse;
}

void CostHistogram::Bin::operator-=(const Bin& other) {
  count -= other.count;
  work -= other.work;
  square -= other.square;
  inverse -= other.inverse;
}

void CostHistogram::decay(Time now) {
  const double steps = std::floor(std::max(0.0, (now - decayed_at_) / kDecayStep));
  if (steps < 1)
    return;
  const Duration elapsed(steps * milliseconds(kDecayStep));
  const double keep = std::exp2(-elapsed / kHalfLife);
  for (Bin& bin : bins_) {
    bin.count *= keep;
    bin.work *= keep;
    bin.square *= keep;
    bin.inverse *= keep;
  }
  count_ *= keep;
  work_ *= keep;
  decayed_at_ += elapsed;
}

void CostHistogram::add(Time now, double work_ms) {
  if (!(work_ms > 0 && work_ms <= kMaxWorkMs))
    return;
  if (!first_sample_at_) {
    first_sample_at_ = now;
    decayed_at_ = now;
  }
  decay(now);
  const double octave = std::log2(work_ms) - kLowestOctave;
  const auto last_bin = static_cast<double>(bins_.size() - 1);
  const double index = std::clamp(std::floor(octave * kBinsPerOctave), 0.0, last_bin);
  Bin& bin = bins_[static_cast<std::size_t>(index)];
  bin.count += 1;
  bin.work += work_ms;
  bin.square += work_ms * work_ms;
  bin.inverse += 1 / work_ms;
  count_ += 1;
  work_ += work_ms;
}

double CostHistogram::work_rate(Time now) const {
  if (!first_sample_at_)
    return 0;
  const double age_s = std::max(1.0, seconds(now - *first_sample_at_));
  const double half_life_s = seconds(kHalfLife);
  return work_ / (1000 * half_life_s / std::log(2) * (1 - std::exp2(-age_s / half_life_s)));
}

// Mean slowdown in a pool that has `capacity_share` of the capacity, up to a factor common to both
// pools; negative if the pool is overloaded. `pool` holds the sums over the requests that it
// serves. Schroeder and Harchol-Balter, section 4: by Pollaczek-Khinchin
//   E[W] = lambda E[X^2] / (2 (1 - rho)) and E[S] = E[W] E[1/X],
// where the utilization rho is load * (the pool's fraction of the work) / capacity_share. For n
// requests with total work w, lambda is proportional to n / w.
double CostHistogram::slowdown(const Bin& pool, double utilization, double capacity_share) {
  if (!(utilization < 1))
    return -1;
  return pool.square / (capacity_share * capacity_share) / (1 - utilization) * pool.inverse /
         pool.count;
}

std::optional<double> CostHistogram::fair_cutoff(double load, double short_share) const {
  const auto pool_slowdown = [&](const Bin& pool, double capacity_share) {
    return slowdown(pool, load * pool.work / work_ / capacity_share, capacity_share);
  };
  Bin below;
  Bin all;
  for (const Bin& bin : bins_)
    all += bin;
  std::optional<double> best_cutoff;
  double best_gap = 0;
  for (std::size_t i = 0; i + 1 < bins_.size(); ++i) {
    below += bins_[i];
    if (bins_[i].count <= 0)
      continue;
    Bin above = all;
    above -= below;
    if (above.count <= kMinLongSampleFraction * all.count)
      break;
    const double short_slowdown = pool_slowdown(below, short_share);
    const double long_slowdown = pool_slowdown(above, 1 - short_share);
    if (short_slowdown < 0 || long_slowdown < 0)
      continue;
    const double gap = std::abs(std::log(short_slowdown / long_slowdown));
    if (!best_cutoff || gap < best_gap) {
      best_cutoff = lower_edge(i + 1);
      best_gap = gap;
    }
  }
  return best_cutoff;
}

double CostHistogram::rule_of_thumb_cutoff(double load) const {
  double below = 0;
  for (std::size_t i = 0; i < bins_.size(); ++i) {
    below += bins_[i].work;
    if (bins_[i].work > 0 && below > load / 2 * work_)
      return lower_edge(i);
  }
  return 0;
}

double CostHintModel::slope() const {
  return std::clamp((covariance_ + kPriorSampleCount) / (hint_variance_ + kPriorSampleCount),
                    kMinSlope, 1.0);
}

double CostHintModel::expected(double hint_ms) const {
  return shrunk_hint_sum_ > 0 ? std::pow(hint_ms, slope()) * hint_sum_ / shrunk_hint_sum_ : hint_ms;
}

double CostHintModel::spread() const {
  return std::exp(std::sqrt(std::max(0.0, actual_variance_ - slope() * covariance_) /
                            (count_ + kPriorSampleCount)));
}

void CostHintModel::learn(double hint_ms, double actual_ms) {
  if (!(hint_ms > 0 && actual_ms > 0))
    return;
  const double log_hint = std::log(hint_ms);
  const double log_actual = std::log(actual_ms);
  count_ = kDecayPerSample * count_ + 1;
  hint_variance_ *= kDecayPerSample;
  actual_variance_ *= kDecayPerSample;
  covariance_ *= kDecayPerSample;
  const double hint_change = log_hint - hint_mean_;
  const double actual_change = log_actual - actual_mean_;
  hint_mean_ += hint_change / count_;
  actual_mean_ += actual_change / count_;
  hint_variance_ += hint_change * (log_hint - hint_mean_);
  actual_variance_ += actual_change * (log_actual - actual_mean_);
  covariance_ += hint_change * (log_actual - actual_mean_);
  hint_sum_ = kDecayPerSample * hint_sum_ + hint_ms;
  shrunk_hint_sum_ = kDecayPerSample * shrunk_hint_sum_ + std::pow(hint_ms, slope());
}

}  // namespace dispatcher::scheduling

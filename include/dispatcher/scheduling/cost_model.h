// Models of request cost: the distribution of work, which determines the cutoff between short and
// long requests, and the accuracy of cost hints.
#pragma once

#include <array>
#include <cstddef>
#include <optional>

#include "dispatcher/scheduling/time.h"

namespace dispatcher::scheduling {

// A log-scale histogram of expected work whose samples decay exponentially, and cutoff searches
// over it (Schroeder and Harchol-Balter, section 4). Work is in ms at standard speed.
class CostHistogram {
 public:
  // Ignores work that is not positive or exceeds the supported range.
  void add(Time now, double work_ms);
  double samples() const { return count_; }
  // Work that arrived per ms, averaged over recent time.
  double work_rate(Time now) const;
  // The cutoff with equal mean slowdown of short and long requests when `load` of the capacity is
  // offered and the short pool holds `short_share` of the capacity; nullopt if every cutoff
  // overloads a pool.
  std::optional<double> fair_cutoff(double load, double short_share) const;
  // The cutoff below which the requests make up the fraction load/2 of the work.
  double rule_of_thumb_cutoff(double load) const;

 private:
  struct Bin {
    double count = 0;
    double work = 0;     // sum of x
    double square = 0;   // sum of x^2
    double inverse = 0;  // sum of 1/x
    void operator+=(const Bin& other);
    void operator-=(const Bin& other);
  };
  static constexpr int kBinsPerOctave = 4;
  static constexpr int kOctaves = 30;

  static double lower_edge(std::size_t bin);
  static double slowdown(const Bin& pool, double utilization, double capacity_share);
  void decay(Time now);

  std::array<Bin, std::size_t{kOctaves} * kBinsPerOctave> bins_{};
  double count_ = 0;
  double work_ = 0;
  std::optional<Time> first_sample_at_;
  Time decayed_at_{};
};

// An exponentially weighted log-log regression of the actual work of one class's requests on their
// cost hints. Imprecise hints regress to the mean; the slope says by how much.
class CostHintModel {
 public:
  // Expected work for a hint. Summed over requests it equals the sum of the hints; only the spread
  // shrinks.
  double expected(double hint_ms) const;
  // The geometric standard deviation of the actual work around its expectation, as a factor.
  double spread() const;
  void learn(double hint_ms, double actual_ms);

 private:
  double slope() const;

  double count_ = 0;
  double hint_mean_ = 0;
  double actual_mean_ = 0;
  double hint_variance_ = 0;
  double actual_variance_ = 0;
  double covariance_ = 0;
  double hint_sum_ = 0;
  double shrunk_hint_sum_ = 0;
};

}  // namespace dispatcher::scheduling

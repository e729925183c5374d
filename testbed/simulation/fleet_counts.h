// What a simulated fleet did: totals, counts by second and figures derived from them.
#pragma once

#include <cstddef>
#include <vector>

namespace dispatcher::testbed {

struct FleetCounts {
  // Requests, and how they ended.
  long requests = 0;
  long served = 0;
  long late = 0;  // of the served, after their latency objective
  long rejected = 0;
  long failed = 0;
  long lost = 0;  // with a dispatcher that was killed

  long attempts = 0;
  long hedges = 0;
  long health_checks = 0;
  long attempts_at_known_bad = 0;  // at a bad worker after a dispatcher first saw it fail

  // Of discovery.
  long polls = 0;
  long failed_polls = 0;
  long listed_endpoints = 0;  // entries in all answers
  std::vector<long> polls_by_second;
  std::vector<long> failed_polls_by_second;

  // Gossip between dispatchers, as delivered.
  long messages = 0;
  long message_bytes = 0;

  // Workers in their slow start.
  long overloaded_workers = 0;  // that stopped serving under too much work
  // The largest work sent within an overload window, as a share of what the worker endures.
  double slow_start_peak_load = 0;
  double slow_start_work_ms = 0;  // work done there

  // By the second in which requests arrived: all of them, and those served in time.
  std::vector<long> arrived_by_second;
  std::vector<long> in_time_by_second;

  // For each worker that vanished and each further dispatcher: time from the first dispatcher's
  // failure until that one avoids the worker.
  std::vector<double> learning_times_ms;

  // Of the requests that arrived in the seconds [from, to), the share served in time.
  double in_time_share(double from, double to) const;
  // From second `end` on, the seconds until the share in time is `part` of what it was before
  // `start`, and stays so for three seconds; -1: never.
  double recovery_seconds(double start, double end, double part = 0.95) const;
  // A quantile of learning_times_ms; -1: there are none.
  double learning_time_quantile(double part) const;
};

}  // namespace dispatcher::testbed

// Results of a fleet simulation: totals, counts per second and metrics derived from them.
#pragma once

#include <cstddef>
#include <vector>

namespace dispatcher::testbed {

struct FleetCounts {
  // Requests by outcome.
  long requests = 0;
  long served = 0;
  long late = 0;  // of the served: after their latency objective
  long rejected = 0;
  long failed = 0;
  long lost = 0;  // open at a dispatcher when it was killed

  long attempts = 0;
  long hedges = 0;
  long health_checks = 0;
  long attempts_at_known_bad = 0;  // at a faulty worker after the first dispatcher saw it fail

  // Discovery.
  long polls = 0;
  long failed_polls = 0;
  long listed_endpoints = 0;  // entries in all responses
  std::vector<long> polls_by_second;
  std::vector<long> failed_polls_by_second;

  // Gossip messages that the network did not lose.
  long messages = 0;
  long message_bytes = 0;

  // Workers in slow start.
  long overloaded_workers = 0;  // workers that stopped serving because too much work was sent
  // The most work sent to a worker within an overload window, as a share of its overload threshold.
  double slow_start_peak_load = 0;
  double slow_start_work_ms = 0;  // work started on these workers

  // By the second in which requests arrived: all requests, and those served in time.
  std::vector<long> arrived_by_second;
  std::vector<long> in_time_by_second;

  // For each crashed worker and each dispatcher but the first to avoid it: time from the first
  // failure that any dispatcher saw until this dispatcher avoids the worker.
  std::vector<double> learning_times_ms;

  // Share of the requests that arrived in the seconds [from, to) and were served in time.
  double in_time_share(double from, double to) const;
  // For a fault that lasts from second `start` to second `end`: seconds from `end` until the share
  // served in time is at least `fraction` of the share before the fault, in that second and over
  // three seconds from there; -1: never.
  double recovery_seconds(double start, double end, double fraction = 0.95) const;
  // A quantile (0 to 1) of learning_times_ms; -1: empty.
  double learning_time_quantile(double fraction) const;
};

}  // namespace dispatcher::testbed

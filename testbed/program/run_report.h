// Evaluates the run of a scenario, prints a summary and writes report.json with the logs.
#pragma once

#include <string>
#include <vector>

#include "scenario.pb.h"
#include "testbed/processes/process_fleet.h"
#include "testbed/stubs/cpu_starvation.h"

namespace dispatcher::testbed {

// Measurements of one run of a scenario.
struct RunResult {
  ProcessFleet::RequestCounts request_counts;
  // A step changed workers, discovery or the request rate so that requests may fail.
  bool failures_allowed = false;
  double starved_share = 0;         // see Verdict
  std::vector<double> settled_s;    // duration of each settle step
  std::vector<double> recovered_s;  // duration of each recover step
};

Verdict evaluate(const Scenario& scenario, const RunResult& result);

void print_summary(const Scenario& scenario, ProcessFleet& fleet, const RunResult& result,
                   const Verdict& verdict);

// Writes report.json and each member's log to `folder`, which is created if it is missing.
void write_report(const std::string& folder, const Scenario& scenario, ProcessFleet& fleet,
                  const RunResult& result, const Verdict& verdict);

}  // namespace dispatcher::testbed

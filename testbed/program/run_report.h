// Judges the run of a scenario, prints a summary and writes report.json with the logs.
#pragma once

#include <string>
#include <vector>

#include "scenario.pb.h"
#include "testbed/processes/process_fleet.h"
#include "testbed/stubs/cpu_starvation.h"

namespace dispatcher::testbed {

// What a run of a scenario brought.
struct RunResult {
  ProcessFleet::RequestAccount account;
  // A step made workers, discovery or the request rate a legitimate cause of failed requests.
  bool failures_allowed = false;
  double starved = 0;               // share of the time that processes waited for a core
  std::vector<double> settled_s;    // of each settle step
  std::vector<double> recovered_s;  // of each recover step
};

Verdict evaluate(const Scenario& scenario, const RunResult& result);

void print_summary(const Scenario& scenario, ProcessFleet& fleet, const RunResult& result,
                   const Verdict& verdict);

// Writes report.json and each member's log to `folder`, which is created where it is missing.
void write_report(const std::string& folder, const Scenario& scenario, ProcessFleet& fleet,
                  const RunResult& result, const Verdict& verdict);

}  // namespace dispatcher::testbed

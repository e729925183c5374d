// Runs a scenario once on a fleet of processes.
#pragma once

#include <string>
#include <vector>

#include "scenario.pb.h"
#include "testbed/processes/process_fleet.h"
#include "testbed/program/run_report.h"

namespace dispatcher::testbed {

class ScenarioRun {
 public:
  // `scenario` outlives the run.
  ScenarioRun(const Scenario& scenario, ProcessFleet::Setup setup);

  // Executes all steps and prints a line for each, then a summary. Writes a report to
  // `report_folder` unless that is empty. May be called once.
  Verdict run(const std::string& report_folder);

 private:
  void execute(const Step& step);
  // Calls `action` for each listed member, then prints their number and `result`.
  template <class Action>
  void for_each_member(const Members& members, const char* result, Action action);
  void split(const Groups& groups);
  void set_paths(const Path& path);
  void restore_paths();
  void set_discovery_fault(const ListService& fault);
  void set_workers(const Workers& workers);
  void set_rate(double per_second);
  void wait_until_settled();
  void wait_until_recovered();
  // The members that no step takes down. Clients send to these only, as each request has to be
  // answered.
  std::vector<int> steady_members() const;
  // Average share of the run during which the members that are up waited for a core.
  double cpu_wait_share();
  void print_event(const std::string& event) const;

  const Scenario& scenario_;
  ProcessFleet fleet_;
  std::vector<std::vector<int>> groups_;  // of the current split
  double started_at_s_ = 0;
  RunResult result_;
};

}  // namespace dispatcher::testbed

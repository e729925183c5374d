// Runs one soak: real dispatcher processes against the stubs, through all rounds of a plan.
#pragma once

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "testbed/soak/request_ledger.h"
#include "testbed/soak/soak_clients.h"
#include "testbed/soak/soak_plan.h"

namespace dispatcher::testbed {

struct SoakSetup {
  std::string program;
  std::string earlier_program;  // empty: none
  std::string config;
};

class SoakRun {
 public:
  SoakRun(SoakSetup setup, SoakPlan plan);

  // Runs all rounds and prints a line for each; returns all violations. If there are any, the
  // folders of the processes are kept. Call it once.
  std::vector<Violation> run();
  LedgerTotals totals() const { return ledger_.totals(); }

 private:
  void run_round(const SoakRound& round);
  void begin_faults(const SoakRound& round);
  void end_faults(const SoakRound& round);
  void change_conditions() { ++conditions_.epoch; }
  void hot_restart(const SoakRound& round);
  void hot_restart_terminated_early(const SoakRound& round);
  void restart(const SoakRound& round);
  void reload(const SoakRound& round);
  bool start_next_process(const SoakRound& round);
  void check_exit(DispatcherProcess::ExitResult ended);
  // Adds the statistics of the process at this address, once none of its requests is open.
  void add_statistics(const std::string& admin_address);
  void check_results();
  void check_statistics();
  void add_violation(const std::string& rule, const std::string& detail);

  SoakSetup setup_;
  SoakPlan plan_;
  StubServices services_;
  DispatcherProcess dispatcher_;
  SoakConditions conditions_;
  RequestLedger ledger_;
  WorkerFaults worker_faults_;
  SoakClients clients_;
  long fulfilled_ = 0;               // in the statistics of the processes
  bool statistics_complete_ = true;  // of all processes
  double started_ms_ = 0;
  std::vector<Violation> violations_;
};

}  // namespace dispatcher::testbed

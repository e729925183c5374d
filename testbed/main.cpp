// dispatcher-testbed: runs scenarios on dispatcher processes and evaluates them from outside.
#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <string>

#include "testbed/hostile/abandonment_rig.h"
#include "testbed/hostile/flood_rig.h"
#include "testbed/hostile/memory_rig.h"
#include "testbed/program/log_search.h"
#include "testbed/program/scenario_file.h"
#include "testbed/program/scenario_run.h"
#include "testbed/soak/soak_run.h"

namespace {

using namespace dispatcher::testbed;

struct FollowOptions {
  std::string folder;
  std::string id;
};

struct RunOptions {
  std::string scenario;
  std::string report;
  std::uint32_t dispatchers = 0;  // 0: as many as the scenario says
  std::uint64_t seed = 1;
  std::string program = "build/dispatcher";
  std::string config = "examples/config.json";
};

struct SoakOptions {
  SoakSetup setup{
      .program = "build/dispatcher", .earlier_program = "", .config = "examples/config.json"};
  std::uint64_t seed = 1;
  int seeds = 1;
  int rounds = 4;
  bool one_end_only = false;

  EarlierProgram earlier_program() const {
    if (setup.earlier_program.empty())
      return EarlierProgram::None;
    return one_end_only ? EarlierProgram::OneEndOnly : EarlierProgram::Drawn;
  }
};

CLI::App* add_soak_command(CLI::App& app, SoakOptions& options) {
  CLI::App* command = app.add_subcommand(
      "soak", "run random restarts, signals and faults; exit 1 if a rule was violated");
  command->add_option("--seed", options.seed, "random seed; the first one with --seeds");
  command->add_option("--seeds", options.seeds, "number of consecutive seeds to run");
  command->add_option("--rounds", options.rounds, "rounds per seed");
  command->add_option("--program", options.setup.program,
                      "dispatcher binary; default: build/dispatcher");
  command->add_option("--earlier-program", options.setup.earlier_program,
                      "binary of an earlier version, also started in some rounds");
  command->add_flag("--one-end-only", options.one_end_only,
                    "at most one process of a hot restart is of the earlier version");
  command->add_option("--config", options.setup.config,
                      "configuration file; default: examples/config.json");
  return command;
}

struct HostileOptions {
  HostileSetup setup{.program = "build/dispatcher", .config = "examples/config.json"};
  std::string rig;
  int flood_seconds = 5;
};

CLI::App* add_hostile_command(CLI::App& app, HostileOptions& options) {
  CLI::App* command = app.add_subcommand(
      "hostile", "measure the effect of misbehaving clients; exit 1 if a rule was violated");
  command->add_option("rig", options.rig, "memory, flood or abandonment")
      ->required()
      ->check(CLI::IsMember({"memory", "flood", "abandonment"}));
  command->add_option("--seconds", options.flood_seconds, "of each flood; default: 5");
  command->add_option("--memory-mb", options.setup.memory_mb, "limits.memory_mb; default: 192");
  command->add_option("--sockets", options.setup.max_sockets, "limits.sockets; default: 1024");
  command->add_option("--program", options.setup.program,
                      "dispatcher binary; default: build/dispatcher");
  command->add_option("--config", options.setup.config,
                      "configuration file; default: examples/config.json");
  return command;
}

// Returns whether no rule was violated.
bool run_hostile(const HostileOptions& options) {
  if (options.rig == "memory")
    return print_results(measure_memory(options.setup));
  if (options.rig == "flood") {
    return print_results(
        measure_floods(options.setup, std::chrono::seconds(options.flood_seconds)));
  }
  return print_results(measure_abandonment(options.setup));
}

void print_totals(const LedgerTotals& totals) {
  std::printf(
      "          %llu requests: %llu served, %llu rejected, %llu failed, %llu disconnected, %llu "
      "resent\n",
      static_cast<unsigned long long>(totals.requests),
      static_cast<unsigned long long>(totals.served),
      static_cast<unsigned long long>(totals.rejected),
      static_cast<unsigned long long>(totals.failed),
      static_cast<unsigned long long>(totals.disconnected),
      static_cast<unsigned long long>(totals.resent));
}

// Returns whether no rule was violated.
bool run_soak(const SoakOptions& options) {
  int failed = 0;
  for (int i = 0; i < options.seeds; ++i) {
    std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    SoakRun soak(options.setup, draw_soak_plan(seed, options.rounds, options.earlier_program()));
    std::vector<Violation> violations = soak.run();
    for (const Violation& violation : violations) {
      std::printf("seed %llu: rule violated: %s: %s\n", static_cast<unsigned long long>(seed),
                  violation.rule.c_str(), violation.detail.c_str());
    }
    print_totals(soak.totals());
    failed += violations.empty() ? 0 : 1;
  }
  std::printf("%d seeds passed, %d failed\n", options.seeds - failed, failed);
  return failed == 0;
}

CLI::App* add_follow_command(CLI::App& app, FollowOptions& options) {
  CLI::App* command = app.add_subcommand(
      "follow", "print a run's log lines about one request or member; exit 1 if none");
  command->add_option("run", options.folder, "folder written by run --report")
      ->required()
      ->check(CLI::ExistingDirectory);
  command
      ->add_option("id", options.id,
                   "request id of 16 hexadecimal digits, or a member's ADDRESS:PORT")
      ->required();
  return command;
}

void add_run_command(CLI::App& app, RunOptions& options) {
  CLI::App* command = app.add_subcommand("run", "run a scenario; exit 0 if it passed, 1 if not");
  command
      ->add_option("scenario", options.scenario,
                   "file in protobuf text format (proto/scenario.proto)")
      ->required();
  command->add_option("--dispatchers", options.dispatchers,
                      "number of dispatchers; default: the scenario's");
  command->add_option("--seed", options.seed,
                      "random seed of lost, duplicated and corrupted datagrams");
  command->add_option("--report", options.report, "folder for report.json and the logs");
  command->add_option("--program", options.program, "dispatcher binary; default: build/dispatcher");
  command->add_option("--config", options.config,
                      "configuration file; default: examples/config.json");
}

ProcessFleet::Setup make_setup(const Scenario& scenario, const RunOptions& options) {
  return {.program = options.program,
          .config = options.config,
          .members = static_cast<int>(scenario.dispatchers()),
          .workers = static_cast<int>(scenario.workers()),
          .period_ms = static_cast<int>(scenario.period_ms()),
          .answer_ms = static_cast<int>(scenario.answer_ms()),
          .seed = options.seed,
          .trace = !options.report.empty(),
          .slots = static_cast<int>(scenario.slots()),
          .queue_capacity = static_cast<int>(scenario.places()),
          .work_ms = static_cast<int>(scenario.work_ms()),
          .objective_ms = static_cast<int>(scenario.wanted_ms()),
          .request_rate = scenario.rate()};
}

// Repeats the scenario while the machine was too busy for a verdict. Returns whether it passed.
bool run_scenario(const RunOptions& options) {
  Scenario scenario = read_scenario(options.scenario, options.dispatchers);
  ProcessFleet::Setup setup = make_setup(scenario, options);
  for (int runs = 1;; ++runs) {
    Judgement judgement = judge(ScenarioRun(scenario, setup).run(options.report), runs);
    if (judgement != Judgement::Repeat)
      return judgement == Judgement::Passed;
    std::printf("inconclusive: the machine was short of CPU time; running the scenario again\n");
  }
}

}  // namespace

int main(int argc, char** argv) try {
  CLI::App app{"Runs scenarios on dispatcher processes, on the loopback."};
  app.require_subcommand(1);
  FollowOptions follow_options;
  RunOptions run_options;
  CLI::App* follow = add_follow_command(app, follow_options);
  add_run_command(app, run_options);
  SoakOptions soak_options;
  CLI::App* soak = add_soak_command(app, soak_options);
  HostileOptions hostile_options;
  CLI::App* hostile = add_hostile_command(app, hostile_options);
  CLI11_PARSE(app, argc, argv);
  if (follow->parsed())
    return print_log_lines(follow_options.folder, follow_options.id) > 0 ? 0 : 1;
  if (hostile->parsed())
    return run_hostile(hostile_options) ? 0 : 1;
  if (soak->parsed())
    return run_soak(soak_options) ? 0 : 1;
  return run_scenario(run_options) ? 0 : 1;
} catch (const std::invalid_argument& error) {  // "FILE:LINE:COLUMN: FAULT", known to editors
  std::fprintf(stderr, "%s\n", error.what());
  return 1;
} catch (const std::exception& error) {
  std::fprintf(stderr, "dispatcher-testbed: %s\n", error.what());
  return 1;
}

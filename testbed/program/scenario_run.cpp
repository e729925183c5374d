#include "testbed/program/scenario_run.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <thread>
#include <utility>

#include "testbed/program/scenario_file.h"
#include "testbed/stubs/cpu_starvation.h"

namespace dispatcher::testbed {
namespace {

double now_s() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

CpuTicks current_cpu_ticks() {
  std::ifstream stat("/proc/stat");
  return read_cpu_ticks(stat);
}

DiscoveryFault::Kind to_fault(ListService::Fault fault) {
  switch (fault) {
    case ListService::NONE:
      return DiscoveryFault::None;
    case ListService::DOWN:
      return DiscoveryFault::Down;
    case ListService::SLOW:
      return DiscoveryFault::Slow;
    case ListService::FEW:
      return DiscoveryFault::Limited;
    case ListService::OLD:
      return DiscoveryFault::Stale;
    case ListService::EMPTY:
      return DiscoveryFault::Empty;
  }
  return DiscoveryFault::None;
}

// DRAIN and UP are changes of the endpoint list and leave the worker without a fault.
WorkerFault to_fault(Workers::Fault fault) {
  switch (fault) {
    case Workers::VANISH:
      return WorkerFault::Unresponsive;
    case Workers::HANG:
      return WorkerFault::Hang;
    case Workers::CRAWL:
      return WorkerFault::Slow;
    case Workers::FAIL:
      return WorkerFault::Fail;
    case Workers::NONE:
    case Workers::DRAIN:
    case Workers::UP:
      break;
  }
  return WorkerFault::None;
}

std::string format_seconds(const char* format, double seconds) {
  std::array<char, 80> text{};
  std::snprintf(text.data(), text.size(), format, seconds);
  return text.data();
}

}  // namespace

ScenarioRun::ScenarioRun(const Scenario& scenario, ProcessFleet::Setup setup)
    : scenario_(scenario), fleet_(std::move(setup)) {}

Verdict ScenarioRun::run(const std::string& report_folder) {
  started_at_s_ = now_s();
  CpuTicks first_ticks = current_cpu_ticks();
  fleet_.start_all();
  print_event("all members started");
  bool requests_started = false;
  for (const Step& step : scenario_.step()) {
    execute(step);
    if (!std::exchange(requests_started, true))
      fleet_.start_requests(steady_members());
  }
  result_.request_counts = fleet_.stop_and_count_requests();
  result_.starved_share = stolen_share(first_ticks, current_cpu_ticks()) + cpu_wait_share();
  Verdict verdict = evaluate(scenario_, result_);
  print_summary(scenario_, fleet_, result_, verdict);
  if (!report_folder.empty())
    write_report(report_folder, scenario_, fleet_, result_, verdict);
  return verdict;
}

void ScenarioRun::execute(const Step& step) {
  switch (step.what_case()) {
    case Step::kStart:
      return for_each_member(step.start(), "started", [&](int i) { fleet_.start(i); });
    case Step::kCrash:
      return for_each_member(step.crash(), "crashed", [&](int i) { fleet_.crash(i); });
    case Step::kStop:
      return for_each_member(step.stop(), "suspended", [&](int i) { fleet_.suspend(i); });
    case Step::kWake:
      return for_each_member(step.wake(), "resumed", [&](int i) { fleet_.resume(i); });
    case Step::kEnd:
      return for_each_member(step.end(), "terminated", [&](int i) { fleet_.terminate(i); });
    case Step::kSplit:
      return split(step.split());
    case Step::kPath:
      return set_paths(step.path());
    case Step::kHeal:
      return restore_paths();
    case Step::kPassMs:
      return std::this_thread::sleep_for(std::chrono::milliseconds(step.pass_ms()));
    case Step::kSettle:
      return wait_until_settled();
    case Step::kListService:
      return set_discovery_fault(step.list_service());
    case Step::kWorkers:
      return set_workers(step.workers());
    case Step::kRate:
      return set_rate(step.rate());
    case Step::kRecover:
      return wait_until_recovered();
    case Step::WHAT_NOT_SET:
      return;
  }
}

template <class Action>
void ScenarioRun::for_each_member(const Members& members, const char* result, Action action) {
  std::vector<int> numbers = member_numbers(members);
  for (int number : numbers)
    action(number);
  print_event(std::to_string(numbers.size()) + " member(s) " + result);
}

void ScenarioRun::split(const Groups& groups) {
  groups_.clear();
  for (const Members& group : groups.group())
    groups_.push_back(member_numbers(group));
  fleet_.relays().split(groups_);
  print_event("network split, number of groups: " + std::to_string(groups_.size()));
}

void ScenarioRun::set_paths(const Path& path) {
  PathCondition condition{.cut = path.cut(),
                          .loss = path.loss(),
                          .duplicated = path.twice(),
                          .corrupted = path.spoilt(),
                          .delay_ms = path.delay_ms(),
                          .jitter_ms = path.jitter_ms()};
  int members = static_cast<int>(scenario_.dispatchers());
  for (int from = 0; from < members; ++from) {
    if (path.has_from() && from != static_cast<int>(path.from()))
      continue;
    for (int to = 0; to < members; ++to) {
      if (!path.has_to() || to == static_cast<int>(path.to()))
        fleet_.relays().set_path(from, to, condition);
    }
  }
  print_event("path conditions changed");
}

void ScenarioRun::restore_paths() {
  groups_.clear();
  fleet_.relays().set_all_paths({});
  print_event("all paths restored");
}

void ScenarioRun::set_discovery_fault(const ListService& fault) {
  result_.failures_allowed = true;
  fleet_.services().set_fault(
      DiscoveryFault{.kind = to_fault(fault.fault()), .amount = static_cast<int>(fault.amount())});
  print_event("discovery fault: " + ListService::Fault_Name(fault.fault()));
}

void ScenarioRun::set_workers(const Workers& workers) {
  std::vector<int> numbers = member_numbers(workers.who());
  for (int number : numbers) {
    if (workers.fault() == Workers::DRAIN) {
      fleet_.drain(number);
    } else if (workers.fault() == Workers::UP) {
      fleet_.undrain(number);
    } else {
      result_.failures_allowed = true;
      fleet_.services().set_fault(number, to_fault(workers.fault()));
    }
  }
  print_event(std::to_string(numbers.size()) +
              " worker(s): " + Workers::Fault_Name(workers.fault()));
}

void ScenarioRun::set_rate(double per_second) {
  result_.failures_allowed = true;  // an overloaded fleet may reject
  fleet_.set_request_rate(per_second);
  print_event("request rate: " + std::to_string(static_cast<int>(per_second)) + "/s");
}

void ScenarioRun::wait_until_recovered() {
  double from_s = now_s();
  std::uint64_t since = fleet_.sent_requests();
  ProcessFleet::wait_until([&] { return fleet_.recovered(since); });
  result_.recovered_s.push_back(now_s() - from_s);
  print_event(format_seconds("recovered after %.2f s", result_.recovered_s.back()));
}

void ScenarioRun::wait_until_settled() {
  double from_s = now_s();
  std::vector<std::set<int>> parts;  // the members of each group that are up
  for (const auto& group : groups_) {
    std::set<int> running;
    for (int number : group) {
      if (fleet_.up().contains(number))
        running.insert(number);
    }
    if (!running.empty())
      parts.push_back(std::move(running));
  }
  if (parts.empty())
    parts.push_back(fleet_.up());
  for (const auto& part : parts)
    ProcessFleet::wait_until([&] { return fleet_.agree(part); });
  result_.settled_s.push_back(now_s() - from_s);
  print_event(format_seconds("membership views agree after %.2f s, ", result_.settled_s.back()) +
              std::to_string(fleet_.up().size()) + " members up");
}

std::vector<int> ScenarioRun::steady_members() const {
  std::set<int> steady;
  for (std::uint32_t i = 0; i < scenario_.dispatchers(); ++i)
    steady.insert(static_cast<int>(i));
  for (const Step& step : scenario_.step()) {
    for (const Members* members : {&step.crash(), &step.stop(), &step.end()}) {
      for (int number : member_numbers(*members))
        steady.erase(number);
    }
  }
  if (steady.empty())
    steady.insert(0);
  return {steady.begin(), steady.end()};
}

double ScenarioRun::cpu_wait_share() {
  static constexpr double kMsPerSecond = 1000;
  double cpu_wait_ms = 0;
  for (int number : fleet_.up())
    cpu_wait_ms += fleet_.member(number).cpu_wait_ms();
  double lifetime_ms =
      kMsPerSecond * (now_s() - started_at_s_) * static_cast<double>(fleet_.up().size());
  return lifetime_ms > 0 ? cpu_wait_ms / lifetime_ms : 0;
}

void ScenarioRun::print_event(const std::string& event) const {
  std::printf("%8.2f s  %s\n", now_s() - started_at_s_, event.c_str());
  std::fflush(stdout);
}

}  // namespace dispatcher::testbed

#include "testbed/program/run_report.h"

#include <json/value.h>
#include <json/writer.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace dispatcher::testbed {
namespace {

constexpr long kMaxDatagramBytes = 256;

bool passed(const Verdict& verdict) {
  return verdict.rules_kept && verdict.in_time;
}

unsigned long long to_printf_argument(std::uint64_t count) {
  return count;
}

Json::Value to_json(const std::vector<double>& values) {
  Json::Value array(Json::arrayValue);
  for (double value : values)
    array.append(value);
  return array;
}

// Figures of the newest process of each member that is up.
Json::Value members_to_json(ProcessFleet& fleet) {
  Json::Value members;
  for (int number : fleet.up()) {
    Json::Value member;
    member["member"] = number;
    member["cpu_ms"] = fleet.member(number).cpu_ms();
    member["memory_kb"] = Json::UInt64{fleet.member(number).memory_kb("VmRSS")};
    member["datagrams"] = fleet.view(number)["sent"];
    members.append(member);
  }
  return members;
}

}  // namespace

Verdict evaluate(const Scenario& scenario, const RunResult& result) {
  const ProcessFleet::RequestCounts& counts = result.request_counts;
  std::uint64_t required = result.failures_allowed ? counts.answered : counts.served;
  bool rules_kept = required == counts.sent && counts.begun_twice == 0 && counts.to_drained == 0 &&
                    counts.longest_datagram <= kMaxDatagramBytes;
  bool in_time =
      static_cast<double>(counts.in_time) >= scenario.useful() * static_cast<double>(counts.begun);
  return {.rules_kept = rules_kept, .in_time = in_time, .starved_share = result.starved_share};
}

void print_summary(const Scenario& scenario, ProcessFleet& fleet, const RunResult& result,
                   const Verdict& verdict) {
  const ProcessFleet::RequestCounts& counts = result.request_counts;
  if (scenario.slots() > 0) {
    auto sent = static_cast<double>(counts.sent);
    std::printf(
        "per request sent: %.2f attempts begun, %.2f answered in time; rejected by workers %ld; "
        "longest queue at a worker %d\n",
        static_cast<double>(counts.begun) / sent, static_cast<double>(counts.in_time) / sent,
        fleet.services().rejected(), fleet.services().longest_queue());
  }
  std::printf(
      "verdict: %s; %llu requests, %llu answered, %llu served, %llu begun twice, %llu attempts at "
      "drained workers, longest datagram %ld bytes, %ld discovery polls\n",
      passed(verdict) ? "passed" : "FAILED", to_printf_argument(counts.sent),
      to_printf_argument(counts.answered), to_printf_argument(counts.served),
      to_printf_argument(counts.begun_twice), to_printf_argument(counts.to_drained),
      counts.longest_datagram, fleet.services().discovery_polls());
  std::printf("share of the time spent waiting for a core: %.3f\n", result.starved_share);
}

void write_report(const std::string& folder, const Scenario& scenario, ProcessFleet& fleet,
                  const RunResult& result, const Verdict& verdict) {
  const ProcessFleet::RequestCounts& counts = result.request_counts;
  std::filesystem::create_directories(folder);
  Json::Value report;
  report["kept"] = passed(verdict);
  report["orders"] = Json::UInt64{counts.sent};
  report["answered"] = Json::UInt64{counts.answered};
  report["served"] = Json::UInt64{counts.served};
  report["to_drained"] = Json::UInt64{counts.to_drained};
  report["in_time"] = Json::UInt64{counts.in_time};
  report["begun_twice"] = Json::UInt64{counts.begun_twice};
  report["recovered_s"] = to_json(result.recovered_s);
  report["settled_s"] = to_json(result.settled_s);
  report["turned_away"] = Json::Int64{fleet.services().rejected()};
  report["longest_line"] = fleet.services().longest_queue();
  report["list_calls"] = Json::Int64{fleet.services().discovery_polls()};
  report["members"] = members_to_json(fleet);
  report["datagrams_passed"] = Json::Int64{fleet.relays().delivered()};
  std::ofstream(folder + "/report.json") << report;
  for (std::uint32_t i = 0; i < scenario.dispatchers(); ++i) {
    std::ofstream(folder + "/dispatcher-" + std::to_string(i) + ".log")
        << fleet.member(static_cast<int>(i)).log();
  }
}

}  // namespace dispatcher::testbed

#include "testbed/program/run_report.h"

#include <json/value.h>
#include <json/writer.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace dispatcher::testbed {
namespace {

constexpr long kMaximumDatagramBytes = 256;

bool kept(const Verdict& verdict) {
  return verdict.rules && verdict.in_time;
}

unsigned long long printable(std::uint64_t count) {
  return count;
}

Json::Value to_json(const std::vector<double>& values) {
  Json::Value array(Json::arrayValue);
  for (double value : values)
    array.append(value);
  return array;
}

// Of the newest process of each member that is up.
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
  const ProcessFleet::RequestAccount& account = result.account;
  std::uint64_t required = result.failures_allowed ? account.answered : account.served;
  bool rules = required == account.sent && account.begun_twice == 0 && account.to_drained == 0 &&
               account.longest_datagram <= kMaximumDatagramBytes;
  bool in_time = static_cast<double>(account.in_time) >=
                 scenario.useful() * static_cast<double>(account.begun);
  return {.rules = rules, .in_time = in_time, .starved = result.starved};
}

void print_summary(const Scenario& scenario, ProcessFleet& fleet, const RunResult& result,
                   const Verdict& verdict) {
  const ProcessFleet::RequestAccount& account = result.account;
  if (scenario.slots() > 0) {
    auto sent = static_cast<double>(account.sent);
    std::printf(
        "orders begun for each that was handed in: %.2f; in time %.2f; turned away by workers "
        "%ld; longest line at one %d\n",
        static_cast<double>(account.begun) / sent, static_cast<double>(account.in_time) / sent,
        fleet.services().rejected(), fleet.services().longest_queue());
  }
  std::printf(
      "verdict: %s; %llu orders, %llu answered, %llu well, %llu begun twice, %llu to drained "
      "workers, longest datagram %ld bytes, %ld calls for lists\n",
      kept(verdict) ? "kept" : "BROKEN", printable(account.sent), printable(account.answered),
      printable(account.served), printable(account.begun_twice), printable(account.to_drained),
      account.longest_datagram, fleet.services().discovery_polls());
  std::printf("waited for a core: %.3f of the time\n", result.starved);
}

void write_report(const std::string& folder, const Scenario& scenario, ProcessFleet& fleet,
                  const RunResult& result, const Verdict& verdict) {
  const ProcessFleet::RequestAccount& account = result.account;
  std::filesystem::create_directories(folder);
  Json::Value report;
  report["kept"] = kept(verdict);
  report["orders"] = Json::UInt64{account.sent};
  report["answered"] = Json::UInt64{account.answered};
  report["served"] = Json::UInt64{account.served};
  report["to_drained"] = Json::UInt64{account.to_drained};
  report["in_time"] = Json::UInt64{account.in_time};
  report["begun_twice"] = Json::UInt64{account.begun_twice};
  report["recovered_s"] = to_json(result.recovered_s);
  report["settled_s"] = to_json(result.settled_s);
  report["turned_away"] = Json::Int64{fleet.services().rejected()};
  report["longest_line"] = fleet.services().longest_queue();
  report["list_calls"] = Json::Int64{fleet.services().discovery_polls()};
  report["members"] = members_to_json(fleet);
  report["datagrams_passed"] = Json::Int64{fleet.relays().passed()};
  std::ofstream(folder + "/report.json") << report;
  for (std::uint32_t i = 0; i < scenario.dispatchers(); ++i) {
    std::ofstream(folder + "/dispatcher-" + std::to_string(i) + ".log")
        << fleet.member(static_cast<int>(i)).log();
  }
}

}  // namespace dispatcher::testbed

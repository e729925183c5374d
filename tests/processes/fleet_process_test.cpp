// A fleet of the program's own processes under faults from outside: SIGKILL, SIGSTOP, SIGTERM, and
// relays on every path between them. Requests run throughout, and each gets one response. A test
// waits for the events that must happen, however long the machine takes.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>

#include "testbed/processes/process_fleet.h"

using namespace dispatcher::testbed;

namespace {

constexpr int kMembers = 8;
constexpr std::uint64_t kSeveralRounds = 4ULL * kMembers;  // datagrams of one member

ProcessFleet::Setup make_setup() {
  return {.program = std::getenv("DISPATCHER"), .config = std::getenv("DISPATCHER_CONFIG")};
}

struct EightMembers : ProcessFleet {
  explicit EightMembers(Setup setup = make_setup()) : ProcessFleet(std::move(setup)) {}
  void check_all_served() {
    RequestAccount requests = account();
    CHECK(requests.served == requests.sent);
    CHECK(requests.begun_twice == 0);  // the requests' class is not idempotent
    CHECK(requests.longest_datagram <= 256);
  }
  // By member, itself among them.
  std::map<std::string, unsigned> incarnations(int i) {
    Json::Value own_view = view(i);
    std::map<std::string, unsigned> out{
        {own_view["self"].asString(), own_view["incarnation"].asUInt()}};
    for (const Json::Value& entry : own_view["members"])
      out[entry["member"].asString()] = entry["incarnation"].asUInt();
    return out;
  }
  bool any_log_contains(const std::string& text) {
    for (int i : up()) {
      if (member(i).log().find(text) != std::string::npos)
        return true;
    }
    return false;
  }
};

}  // namespace

TEST_CASE("a join, a crash, a restart and a farewell reach all members") {
  EightMembers fleet;
  for (int i = 0; i < kMembers - 1; ++i)
    fleet.start(i);
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  fleet.start(kMembers - 1);
  fleet.wait_until_agreed();
  fleet.crash(3);
  fleet.wait_until_agreed();
  CHECK(fleet.states(fleet.view(0))["dead"] == 1);
  fleet.start(3);  // knows nothing of before
  fleet.wait_until_agreed();
  std::string command =
      std::string(std::getenv("DISPATCHER")) + " fleet --ops " + fleet.member(0).operators();
  auto print = [](const std::string& line_of_shell) {
    FILE* table = popen(line_of_shell.c_str(), "r");
    std::string printed;
    std::array<char, 256> line{};
    while (std::fgets(line.data(), line.size(), table) != nullptr)
      printed += line.data();
    CHECK(pclose(table) == 0);
    return printed;
  };
  // Between two equal digests: on a busy machine a member may be suspected for a moment meanwhile.
  std::string printed;
  std::string digest;
  fleet.wait_until([&] {
    digest = fleet.view(0)["digest"].asString();
    printed = print(command);
    return fleet.view(0)["digest"].asString() == digest;
  });
  CHECK(printed.find("digest " + digest) != std::string::npos);
  CHECK(std::ranges::count(printed, '\n') == 2 + kMembers - 1);
  CHECK(
      std::system((std::string(std::getenv("DISPATCHER")) + " fleet --ops 127.0.0.1:1 2>/dev/null")
                      .c_str()) == 1 << 8);
  CHECK(fleet.terminate(4) == 0);
  fleet.wait_until([&] { return fleet.states(fleet.view(0))["left"] == 1; });
  fleet.wait_until_agreed();
  AdminResponse page;
  fleet.wait_until([&] {  // the others alive, as before
    page = call(fleet.member(0).operators(), "GET", "/admin/stats");
    return page.figure("dispatcher.fleet.alive") == kMembers - 2;
  });
  CHECK(page.figure("dispatcher.fleet.left") == 1);
  CHECK(page.figure("dispatcher.fleet.dead") == 0);
  CHECK(page.figure("dispatcher.fleet.changes") >= 4);  // joined, dead, back, left
  CHECK(page.figure("dispatcher.fleet.sent") > 0);
  // A table that is renewed shows later changes, until its dispatcher is gone.
  FILE* table = popen((command + " --watch 0.1 2>/dev/null").c_str(), "r");
  bool killed = false;
  bool seen = false;
  std::array<char, 256> line{};
  while (std::fgets(line.data(), line.size(), table) != nullptr) {
    if (!std::exchange(killed, true))
      fleet.crash(5);
    if (!seen && std::string_view(line.data()).find("  dead ") != std::string_view::npos) {
      seen = true;
      fleet.crash(0);
    }
  }
  CHECK(seen);
  CHECK(pclose(table) == 1 << 8);
  fleet.wait_until_agreed();
  fleet.stop_requests();
}

TEST_CASE("half of the members crash at once, and come back") {
  EightMembers fleet;
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  for (int i : {4, 5, 6, 7})
    fleet.crash(i);
  fleet.wait_until_agreed();
  for (int i : {4, 5, 6, 7})
    fleet.start(i);
  fleet.wait_until_agreed();
  fleet.check_all_served();
}

TEST_CASE("two halves, and one apart from all others, find each other again") {
  EightMembers fleet;
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 5});
  using Groups = std::vector<std::vector<int>>;
  for (const Groups& groups :
       {Groups{{0, 1, 2, 3}, {4, 5, 6, 7}}, Groups{{0}, {1, 2, 3, 4, 5, 6, 7}}}) {
    fleet.relays().split(groups);
    for (const auto& group : groups)
      fleet.wait_until([&] { return fleet.agree({group.begin(), group.end()}); });
    CHECK_FALSE(fleet.agree(fleet.up()));  // each side holds the other dead
    fleet.relays().set_all_paths({});
    fleet.wait_until_agreed();
  }
  fleet.check_all_served();
}

TEST_CASE(
    "a path cut one way, overlapping halves, and a fifth of all messages lost, late or spoilt "
    "leave all "
    "alive") {
  EightMembers fleet;
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  // The fault stays until all have probed all several times over, and under it they come to agree
  // that all are alive. Not that nobody was held dead for a moment: on a machine that is busy
  // enough anybody may be.
  auto wait_until_agreed_under_fault = [&] {
    std::map<int, std::uint64_t> before;
    for (int i : fleet.up())
      before[i] = fleet.view(i)["sent"].asUInt64();
    for (int i : fleet.up()) {
      fleet.wait_until(
          [&] { return fleet.view(i)["sent"].asUInt64() > before[i] + kSeveralRounds; });
    }
    fleet.wait_until_agreed();
  };
  fleet.relays().set_path(2, 3, {.cut = true});
  wait_until_agreed_under_fault();
  fleet.relays().set_all_paths({});
  fleet.relays().split(
      {{0, 1, 2, 3, 4}, {3, 4, 5, 6, 7}});  // 0 hears 3, 3 hears 7, 0 does not hear 7
  wait_until_agreed_under_fault();
  fleet.relays().set_all_paths(
      {.loss = 0.2, .duplicated = 0.1, .corrupted = 0.05, .delay_ms = 2, .jitter_ms = 10});
  wait_until_agreed_under_fault();
  fleet.relays().set_all_paths({});
  fleet.wait_until_agreed();
  fleet.check_all_served();
}

TEST_CASE("the two processes of an upgrade are one member, which never leaves") {
  EightMembers fleet;
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  auto before = fleet.incarnations(5);
  // A process that inherits nothing takes the second of its start, which must be another one to
  // show.
  unsigned own = fleet.view(5)["incarnation"].asUInt();
  fleet.wait_until([&] {
    return std::chrono::system_clock::now() >=
           std::chrono::sys_seconds(std::chrono::seconds(own + 1));
  });
  REQUIRE(fleet.member(5).start_hot_restart());
  fleet.wait_until_agreed();
  // The membership view was transferred with each member's incarnation. On a busy machine a member
  // may be suspected for a moment and refutes that with the next incarnation; no other increase is
  // right.
  auto after = fleet.incarnations(5);
  CHECK(after.size() == before.size());
  for (const auto& [who, incarnation] : after) {
    REQUIRE(before.contains(who));
    INFO(who << " had incarnation " << before[who] << ", has " << incarnation);
    CHECK(incarnation >= before[who]);
    for (unsigned step = before[who]; step < incarnation; ++step) {
      std::string suspicion = who + " is suspect, incarnation " + std::to_string(step) + "\n";
      CHECK(fleet.any_log_contains(suspicion));
    }
  }
  CHECK(fleet.member(5).terminate_outgoing() == 0);
  fleet.wait_until_agreed();
  for (int i = 0; i < kMembers; ++i)
    CHECK(fleet.member(i).log().find("is left") == std::string::npos);
  fleet.check_all_served();
}

TEST_CASE("one that is stopped and wakes refutes its death") {
  EightMembers fleet;
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  auto incarnation = fleet.view(6)["incarnation"].asUInt();
  fleet.suspend(6);
  fleet.wait_until_agreed();
  fleet.resume(6);
  fleet.wait_until_agreed();
  CHECK(fleet.view(6)["incarnation"].asUInt() > incarnation);
  fleet.check_all_served();
}

TEST_CASE("keys are exchanged while the fleet serves, and whoever has another is a stranger") {
  const std::string one = "key { id: 1 secret: \"" + std::string(64, 'a') + "\" }\n";
  const std::string two = "key { id: 2 secret: \"" + std::string(64, 'b') + "\" }\n";
  const std::string foreign = "key { id: 1 secret: \"" + std::string(64, 'c') + "\" }\n";
  ProcessFleet::Setup setup = make_setup();
  setup.keys = one;
  EightMembers fleet(setup);
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  CHECK(fleet.view(0)["sealed"].asBool());
  std::map<int, std::uint64_t> incarnations;
  for (int i : fleet.up())
    incarnations[i] = fleet.view(i)["incarnation"].asUInt64();
  for (const std::string& text : {one + two, two + one, two}) {
    for (int i : fleet.up()) {
      std::uint64_t before = fleet.view(0)["sent"].asUInt64();
      fleet.set_keys(i, text);
      if (i == 3) {
        fleet.wait_until([&] {
          return fleet.view(0)["sent"].asUInt64() > before + 16;
        });  // half of them hold another
      }
    }
    fleet.wait_until_agreed();
  }
  for (int i : fleet.up())
    CHECK(fleet.states(fleet.view(i))["dead"] == 0);
  fleet.set_keys(7, foreign);
  std::set<int> others = {0, 1, 2, 3, 4, 5, 6};
  fleet.wait_until([&] { return fleet.agree(others); });
  CHECK(fleet.states(fleet.view(0))["dead"] == 1);
  fleet.wait_until([&] { return fleet.view(0)["dropped"]["unknown key"].asUInt() > 0; });
  fleet.set_keys(7, two);
  fleet.wait_until_agreed();
  fleet.check_all_served();
}

TEST_CASE(
    "what was recorded of a fleet counts for nothing when it is played again, and strangers are "
    "not heard") {
  ProcessFleet::Setup setup = make_setup();
  setup.keys = "key { id: 1 secret: \"" + std::string(64, 'a') + "\" }\n";
  EightMembers fleet(setup);
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({0, 1});
  fleet.relays().set_all_paths(
      {.duplicated = 1});  // each datagram comes again, from the address that it came from
  fleet.wait_until([&] { return fleet.view(0)["dropped"]["came before"].asUInt() > 40; });
  fleet.relays().set_all_paths({.corrupted = 0.5});
  fleet.wait_until([&] { return fleet.view(0)["dropped"]["wrong hash"].asUInt() > 10; });
  fleet.relays().set_all_paths({});
  fleet.wait_until_agreed();
  fleet.check_all_served();
}

TEST_CASE(
    "members that know two seeds alone find all others, also after a seed has died, and forget the "
    "dead") {
  ProcessFleet::Setup setup = make_setup();
  setup.seeds = 2;
  setup.forget_s = 10;
  EightMembers fleet(setup);
  fleet.start_all();
  fleet.wait_until_agreed();
  fleet.start_requests({1, 2});
  fleet.crash(0);
  fleet.crash(7);
  fleet.wait_until_agreed();
  CHECK(fleet.view(3)["members"].size() == 7);
  fleet.wait_until(
      [&] { return fleet.view(3)["members"].size() == 6; });  // 7 is forgotten, the seed is not
  CHECK(fleet.states(fleet.view(3))["dead"] == 1);
  fleet.start(7);  // by the other seed
  fleet.wait_until_agreed();
  fleet.start(0);
  fleet.wait_until_agreed();
  fleet.check_all_served();
}

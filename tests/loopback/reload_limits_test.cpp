// Deadlines and limits of the settings, as they hold after reloads: what an earlier file named and
// the file in force does not must have no effect any more.
#include <array>
#include <deque>

#include "tests/loopback/loopback.h"

using namespace dispatcher;
using testing::PeerSocket;

namespace {

struct JobClass {
  const char* name;
  double deadline_ms;
};
using Classes = std::vector<JobClass>;

constexpr double kShortMs = 1200;
constexpr double kLongMs = 10'000;
constexpr double kLongestCountedMs = 3000;
constexpr double kKillMarginMs = 700;  // SIGKILL comes this long after the longest deadline

const Classes kBoth{{"place-order", kShortMs}, {"group-order", kLongMs}};
const Classes kWithoutLong{{"place-order", kShortMs}};
const Classes kBothShort{{"place-order", kShortMs}, {"group-order", kShortMs}};

// A program whose only worker accepts each job and never reports its end.
class ReloadingProgram final : public testing::Loopback {
 public:
  explicit ReloadingProgram(const Classes& classes) : Loopback(16), config(example_config()) {
    config["known"]["targets"][0]["endpoint"] = worker.address();
    set_classes(classes);
    start(config);
  }

  void set_classes(const Classes& classes) {
    Json::Value lanes(Json::arrayValue);
    for (const JobClass& job_class : classes) {
      Json::Value lane = config["settings"]["Lanes"][0];
      lane["Name"] = job_class.name;
      lane["Effect"] = "unsafe";
      lane["DeadlineMs"] = job_class.deadline_ms;
      lanes.append(lane);
    }
    config["settings"]["Lanes"] = lanes;
  }
  void reload() {
    Loopback::reload(config);
    settle();
  }
  void reload(const Classes& classes) {
    set_classes(classes);
    reload();
  }
  // Sends a request on a new connection and waits until the program has handled it.
  PeerSocket& send_request(const std::string& tenant = "lanting, bento") {
    PeerSocket& client = clients_.emplace_back();
    connect_client(client);
    std::string id = "00000000000000" + std::to_string(10 + clients_.size());
    client.send("POST /api HTTP/1.1\r\nX-Correlation-Id: " + id +
                "\r\nX-Service-Class: place-order\r\nX-Account: " + tenant +
                "\r\nX-Time-Left-Ms: 9000\r\nContent-Length: 2\r\n\r\nab");
    advance(10);
    return client;
  }
  void advance(double ms) {
    for (transport::Time until = clock.at + transport::Duration(ms); clock.at < until;) {
      clock.at += transport::Duration(kStepMs);
      settle();
    }
  }
  // Returns how long after SIGTERM the open request of `client` was answered. The program must end
  // by itself before `kill_ms`.
  double time_answer(PeerSocket& client, double kill_ms) {
    double answered_ms = 0;
    for (double elapsed = 0; elapsed < kill_ms && !app->finished(); elapsed += kStepMs) {
      advance(kStepMs);
      if (answered_ms == 0 && client.receive().starts_with("HTTP/1.1 502"))
        answered_ms = elapsed + kStepMs;
    }
    CHECK(app->finished());
    return answered_ms;
  }

  Json::Value config;
  testing::UniformWorker worker{host, "202 Accepted"};

 private:
  static constexpr double kStepMs = 5;

  bool serve_peers() override { return worker.serve(); }

  std::deque<PeerSocket> clients_;
};

struct DrainCase {
  const char* name;
  Classes at_start;
  std::vector<Classes> before_sigterm;  // a reload for each
  std::vector<Classes> after_sigterm;
  double longest_ms;  // that counts for the graceful shutdown
};

const std::vector<DrainCase>& drain_cases() {
  static const std::vector<DrainCase> all{
      {"the long class is dropped", kBoth, {kWithoutLong}, {}, kShortMs},
      {"dropped, then another reload", kBoth, {kWithoutLong, kWithoutLong}, {}, kShortMs},
      {"dropped and brought back", kBoth, {kWithoutLong, kBoth}, {}, kLongestCountedMs},
      {"dropped and brought back shorter", kBoth, {kWithoutLong, kBothShort}, {}, kShortMs},
      {"its deadline is shortened", kBoth, {kBothShort}, {}, kShortMs},
      {"its deadline is lengthened", kBothShort, {kBoth}, {}, kLongestCountedMs},
      {"a long class is added", kWithoutLong, {kBoth}, {}, kLongestCountedMs},
      {"absent from the start", kWithoutLong, {}, {}, kShortMs},
      {"no reload", kBoth, {}, {}, kLongestCountedMs},
      {"dropped after SIGTERM", kBoth, {}, {kWithoutLong}, kShortMs},
      {"added after SIGTERM", kWithoutLong, {}, {kBoth}, kShortMs},
      {"dropped and brought back after SIGTERM", kBoth, {}, {kWithoutLong, kBoth}, kShortMs}};
  return all;
}

}  // namespace

// Guards against a graceful shutdown that counts the deadline of a class that a reload has dropped
// and lasts until SIGKILL: docs/incidents/dropped-class-at-shutdown.md.
TEST_CASE("the drain timeout follows the longest deadline in force", "[reload]") {
  for (const DrainCase& drain : drain_cases()) {
    INFO(drain.name);
    ReloadingProgram program(drain.at_start);
    for (const Classes& classes : drain.before_sigterm)
      program.reload(classes);
    PeerSocket& client = program.send_request();
    program.app->terminate();
    for (const Classes& classes : drain.after_sigterm)
      program.reload(classes);
    double kill_ms = drain.longest_ms + kKillMarginMs;
    double answered_ms = program.time_answer(client, kill_ms);
    CHECK(answered_ms >= drain.longest_ms);
    CHECK(answered_ms < kill_ms);
  }
}

TEST_CASE("a class that is dropped and brought back is unknown in between", "[reload]") {
  ReloadingProgram program(kBoth);
  for (bool listed : {false, true}) {
    program.reload(listed ? kBoth : Classes{{"group-order", kLongMs}});
    CHECK(program.send_request().receive().starts_with("HTTP/1.1 400") != listed);
  }
}

// Guards against a tenant that keeps being served, outside all quotas, after a reload has dropped
// it: the same incident.
TEST_CASE("a tenant that is dropped and brought back is unknown in between", "[reload]") {
  ReloadingProgram program(kBoth);
  for (const char* tenant : {"other", "lanting, bento"}) {
    program.config["settings"]["Tenants"][0]["Name"] = tenant;
    program.reload();
    for (const std::string account : {"other", "lanting, bento"}) {
      bool rejected = program.send_request(account).receive().starts_with("HTTP/1.1 400");
      CHECK(rejected == (account != tenant));
    }
  }
}

// Guards against writing to a connection that the worker's host may have closed: the same incident.
TEST_CASE("a reload shortens the time for which idle connections are kept", "[reload]") {
  ReloadingProgram program(kBoth);
  program.send_request();
  program.advance(100);
  CHECK(program.worker.open_connections() == 1);
  program.config["settings"]["Permissions"]["ConnIdleMs"] = 400;
  program.reload();
  program.advance(100);
  CHECK(program.worker.open_connections() == 0);
}

// Guards against a limit of open requests that a reload leaves as it was: the same incident.
TEST_CASE("a reload changes the limit of open requests", "[reload]") {
  ReloadingProgram program(kBoth);
  std::size_t open = 0;
  for (int limit : {2, 1, 4}) {
    program.config["settings"]["Permissions"]["MaxOpen"] = limit;
    program.reload();
    while (!program.send_request().receive().starts_with("HTTP/1.1 503"))
      ++open;
    CHECK(program.app->router().open_requests() == open);
    CHECK(open == std::max<std::size_t>(limit, 2));
  }
}

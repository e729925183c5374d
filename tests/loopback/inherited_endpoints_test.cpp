// The endpoint list and the clock offset of an outgoing process, inherited by a program that
// already has an endpoint list.
#include "tests/loopback/loopback.h"

using namespace dispatcher;

namespace {

constexpr std::int64_t kOwnRevision = 20;
constexpr double kStartedMs = 5000;
constexpr double kOffsetMs = 250;

struct RunningProgram final : testing::Loopback {
  RunningProgram() : Loopback(13) {
    Json::Value config = example_config();
    config["known"]["rev"] = Json::Int64(kOwnRevision);
    config["known"]["targets"][0]["boot_ms"] = kStartedMs;
    start(config);
  }
  bool serve_peers() override { return false; }

  std::string first_listed_worker() { return app->cordon_list().listed().begin()->first; }
  std::optional<transport::Time> start_time(const std::string& uid) {
    return app->cordon_list().listed().at(uid).entry.online_since;
  }
  protocol::EndpointUpdate inherited_list(std::int64_t revision) {
    protocol::WorkerEndpoint worker = app->cordon_list().listed().begin()->second;
    worker.uid = "inherited";
    return {revision, true, {worker}};
  }
};

}  // namespace

// Guards against applying a late Welcome message only in part: if the clock offset changed but not
// the start times, the next update would look like a restart of every worker.
TEST_CASE("an inherited list that is older than the own list only shifts the start times",
          "[inherit]") {
  RunningProgram program;
  std::string uid = program.first_listed_worker();
  REQUIRE(program.start_time(uid) == transport::Time(transport::Duration(kStartedMs)));
  program.app->inherit_endpoints(transport::Duration(kOffsetMs),
                                 program.inherited_list(kOwnRevision - 1), false);
  CHECK(program.app->cordon_list().listed().count("inherited") == 0);
  CHECK(program.app->cordon_list().revision() == kOwnRevision);
  CHECK(program.start_time(uid) == transport::Time(transport::Duration(kStartedMs + kOffsetMs)));
  CHECK(program.app->identifiers().wall_to_steady.count() == kOffsetMs);
}

TEST_CASE("an inherited list that is newer than the own list replaces it", "[inherit]") {
  RunningProgram program;
  program.app->inherit_endpoints(transport::Duration(kOffsetMs),
                                 program.inherited_list(kOwnRevision + 1), false);
  CHECK(program.app->cordon_list().listed().size() == 1);
  CHECK(program.app->cordon_list().listed().count("inherited") == 1);
  CHECK(program.app->cordon_list().revision() == kOwnRevision + 1);
}

// Guards against resuming the watch from a revision of an earlier discovery:
// docs/incidents/discovery-moved-before-hot-restart.md.
TEST_CASE("the watch resumes from an inherited list unless that needs a snapshot", "[inherit]") {
  for (bool snapshot_needed : {false, true}) {
    RunningProgram program;
    program.app->inherit_endpoints(transport::Duration(0), program.inherited_list(kOwnRevision + 1),
                                   snapshot_needed);
    CHECK(program.app->needs_snapshot() == snapshot_needed);
    CHECK(program.app->cordon_list().listed().count("inherited") == 1);
  }
}

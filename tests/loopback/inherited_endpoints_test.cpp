// The endpoint list and the clock offset of an outgoing process, taken over by a program that has a
// list of its own already.
#include "tests/loopback/loopback.h"

using namespace dispatcher;

namespace {

constexpr std::int64_t kOwnRevision = 20;
constexpr double kStartedMs = 5000;
constexpr double kOffsetMs = 250;

struct StartedProgram final : testing::Loopback {
  StartedProgram() : Loopback(13) {
    Json::Value config = example();
    config["known"]["rev"] = Json::Int64(kOwnRevision);
    config["known"]["targets"][0]["boot_ms"] = kStartedMs;
    start(config);
  }
  bool serve() override { return false; }

  std::string first_worker() { return app->cordon_list().listed().begin()->first; }
  std::optional<transport::Time> start_time(const std::string& uid) {
    return app->cordon_list().listed().at(uid).entry.online_since;
  }
  protocol::EndpointUpdate inherited(std::int64_t revision) {
    protocol::WorkerEndpoint worker = app->cordon_list().listed().begin()->second;
    worker.uid = "inherited";
    return {revision, true, {worker}};
  }
};

}  // namespace

// Guards against a late Welcome of which only a part counts: with another clock offset the next
// update would look like a restart of every worker.
TEST_CASE("a list that is older than the own one only moves the start times", "[inherit]") {
  StartedProgram program;
  std::string uid = program.first_worker();
  REQUIRE(program.start_time(uid) == transport::Time(transport::Duration(kStartedMs)));
  program.app->inherit_endpoints(transport::Duration(kOffsetMs),
                                 program.inherited(kOwnRevision - 1));
  CHECK(program.app->cordon_list().listed().count("inherited") == 0);
  CHECK(program.app->cordon_list().revision() == kOwnRevision);
  CHECK(program.start_time(uid) == transport::Time(transport::Duration(kStartedMs + kOffsetMs)));
  CHECK(program.app->identifiers().wall_to_steady.count() == kOffsetMs);
}

TEST_CASE("a list that is newer than the own one replaces it", "[inherit]") {
  StartedProgram program;
  program.app->inherit_endpoints(transport::Duration(kOffsetMs),
                                 program.inherited(kOwnRevision + 1));
  CHECK(program.app->cordon_list().listed().size() == 1);
  CHECK(program.app->cordon_list().listed().count("inherited") == 1);
  CHECK(program.app->cordon_list().revision() == kOwnRevision + 1);
}

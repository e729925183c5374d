// A job event names a request and a worker, no attempt, and a worker repeats it until it is
// answered: one of an earlier attempt can arrive while a retry runs at the same worker.
#include <array>

#include "tests/loopback/request_race.h"

using namespace dispatcher;
using testing::kFirstRequest;
using testing::RequestRace;
using testing::Stage;

namespace {

constexpr const char* kRepeatableClass = "group-order";
constexpr const char* kUnrepeatableClass = "place-order";
constexpr double kLongestRetryDelayMs = 2000;

// How the first attempt ends, so that the only worker gets the request again.
struct FirstEnd {
  const char* name;
  Stage stage;
  std::function<void(RequestRace&)> apply;
};

void report_end(RequestRace& race, const std::string& state) {
  race.send_job_event(race.callback_one, state, kFirstRequest);
}

const std::array<FirstEnd, 3>& first_ends() {
  static const std::array<FirstEnd, 3> all{{{"reset", Stage::Sent,
                                             [](RequestRace& race) {
                                               race.worker_connections.front().socket.reset();
                                             }},
                                            {"reported as lost", Stage::Accepted,
                                             [](RequestRace& race) {
                                               report_end(race, "lost");
                                             }},
                                            {"handed back", Stage::Accepted, [](RequestRace& race) {
                                               report_end(race, "returned");
                                             }}}};
  return all;
}

bool retry_began(const RequestRace& race) {
  return race.attempts_begun == 2;
}

void end_first_attempt(RequestRace& race, const FirstEnd& end) {
  end.apply(race);
  race.open_attempt.clear();
  for (double waited_ms = 0; !retry_began(race) && waited_ms < kLongestRetryDelayMs; ++waited_ms)
    race.pass(1);
  REQUIRE(retry_began(race));
}

void accept(RequestRace& race) {
  RequestRace::WorkerConnection& retry = race.worker_connections.back();
  retry.socket.send(RequestRace::kAcceptedAnswer);
  retry.accepted = true;
  race.settle();
}

void check_served(RequestRace& race) {
  INFO(race.log_text);
  CHECK(race.duplicate_attempts == 0);
  CHECK(race.client.receive().starts_with("HTTP/1.1 200"));
  CHECK(race.app->router().open_requests() == 0);
}

}  // namespace

// Guards against a third attempt at a worker where the second runs: a late end of the first was
// taken for the second's.
TEST_CASE("a late end of an earlier attempt leaves one attempt at the worker", "[late]") {
  for (const FirstEnd& first : first_ends()) {
    for (const char* late_state : {"lost", "returned", "failed"}) {
      for (bool accepted_before : {true, false}) {
        INFO(first.name << ", late: " << late_state << ", the retry is accepted "
                        << (accepted_before ? "before it" : "after it"));
        RequestRace race(kRepeatableClass, first.stage);
        end_first_attempt(race, first);
        if (accepted_before)
          accept(race);
        report_end(race, late_state);
        race.settle();
        if (!accepted_before)
          accept(race);
        race.worker_succeeds = true;
        race.pass(3000);
        check_served(race);
      }
    }
  }
}

// Guards against a third attempt at a worker that has not confirmed the cancellation of the second.
TEST_CASE("no attempt follows at a worker that does not confirm a cancellation", "[late]") {
  for (int status : {RequestRace::kNoAnswer, 500}) {
    INFO("cancellations are answered with " << status);
    RequestRace race(kRepeatableClass, Stage::Sent);
    end_first_attempt(race, first_ends()[0]);
    accept(race);
    race.cancellation_status = status;
    report_end(race, "lost");
    race.worker_succeeds = true;
    race.pass(6000);
    CHECK(race.cancellations > 0);
    CHECK(race.attempts_begun == 2);
    CHECK(race.duplicate_attempts == 0);
    CHECK(race.client.receive().starts_with("HTTP/1.1 502"));
    CHECK(race.app->router().open_requests() == 0);
  }
}

// Guards against a client that waits for nothing: the worker knows no such job any more.
TEST_CASE("a cancellation of a job that is over is a confirmation", "[late]") {
  RequestRace race(kRepeatableClass, Stage::Accepted);
  end_first_attempt(race, first_ends()[1]);
  accept(race);
  race.cancellation_status = 404;
  race.open_attempt.clear();
  report_end(race, "lost");
  race.worker_succeeds = true;
  race.pass(3000);
  check_served(race);
}

// Guards against a second run of a job that must not run twice: a repeated "handed back" of the
// first attempt says nothing of the second.
TEST_CASE("a repeated hand-back ends no retry that must not run twice", "[late]") {
  RequestRace race(kUnrepeatableClass, Stage::Accepted);
  end_first_attempt(race, first_ends()[2]);
  accept(race);
  report_end(race, "returned");
  race.pass(3000);
  CHECK(race.attempts_begun == 2);
  CHECK(race.open_attempt == kFirstRequest);  // not cancelled: no other could follow
  report_end(race, "done");
  race.settle();
  check_served(race);
}

// A job that the worker really loses twice is sent a third time, before its client's time is up.
TEST_CASE("a retry that is lost too is followed by another", "[late]") {
  RequestRace race(kRepeatableClass, Stage::Accepted);
  end_first_attempt(race, first_ends()[1]);
  accept(race);
  report_end(race, "lost");
  race.open_attempt.clear();
  race.worker_succeeds = true;
  race.pass(3000);
  CHECK(race.attempts_begun == 3);
  check_served(race);
}

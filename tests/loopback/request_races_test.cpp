// Every two events that can happen to a request, in both orders and in one turn of the loop, on
// real sockets of the loopback and an injected clock: the whole program between a client, a worker
// and discovery. In every race the rules hold as seen from outside, and nothing is left over.
#include "tests/loopback/request_race.h"

using namespace dispatcher;
using testing::kFirstRequest;
using testing::kSecondRequest;
using testing::RequestRace;
using testing::Stage;

namespace {

// ---- What can happen ----

struct Event {
  const char* name;
  std::function<void(RequestRace&)> apply;
};

const std::vector<Event>& events() {
  auto ends = [](RequestRace& race,
                 bool accepted_ends) {  // the first attempt, as the worker sees it
    if (race.open_attempt == kFirstRequest &&
        (accepted_ends || !race.worker_connections.front().accepted))
      race.open_attempt.clear();
  };
  static const std::vector<Event> all = {
      {"the client ends",
       [](RequestRace& race) {
         race.client.finish();
         race.client_left = true;
       }},
      {"the client resets",
       [](RequestRace& race) {
         race.client.reset();
         race.client_left = true;
       }},
      {"the client sends ahead",
       [](RequestRace& race) {
         race.send_request(race.client, kSecondRequest);
       }},
      {"202",
       [](RequestRace& race) {
         race.worker_connections.front().socket.send(RequestRace::kAcceptedAnswer);
         race.worker_connections.front().accepted = true;
       }},
      {"handed back",
       [ends](RequestRace& race) {
         RequestRace::WorkerConnection& line = race.worker_connections.front();
         if (!line.id.empty() && !line.accepted && !line.answered && !line.broken)
           --race.may_have_run;
         line.answered = true;
         line.socket.send(
             "HTTP/1.1 503 Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
         ends(race, false);
       }},
      {"500",
       [ends](RequestRace& race) {
         race.worker_connections.front().answered = true;
         race.worker_connections.front().socket.send(
             "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
         ends(race, false);
       }},
      {"the worker ends its connection",
       [ends](RequestRace& race) {
         race.worker_connections.front().socket.close();
         race.worker_connections.front().broken = true;
         ends(race, false);
       }},
      {"the worker resets it",
       [ends](RequestRace& race) {
         race.worker_connections.front().socket.reset();
         race.worker_connections.front().broken = true;
         ends(race, false);
       }},
      {"done",
       [ends](RequestRace& race) {
         race.send_job_event(race.callback_one, "done", kFirstRequest);
         race.served = true;
         ends(race, true);
       }},
      {"failed",
       [ends](RequestRace& race) {
         race.send_job_event(race.callback_two, "failed", kFirstRequest);
         race.failure_reported = true;
         ends(race, true);
       }},
      {"the worker is leaving",
       [](RequestRace& race) {
         race.change("draining");
       }},
      {"the worker is removed",
       [](RequestRace& race) {
         race.change("removed");
       }},
      {"the worker has restarted",
       [](RequestRace& race) {
         race.change("up", 7000);
       }},
      {"SIGTERM",
       [](RequestRace& race) {
         race.app->terminate();
       }},
      {"the client's time is up",
       [](RequestRace& race) {
         race.clock.at += transport::Duration(5000);
       }},
  };
  return all;
}

std::vector<int> statuses(std::string bytes) {
  protocol::Parser parser(protocol::Parser::Kind::Response);
  parser.feed(bytes);
  std::vector<int> out;
  while (auto message = parser.next())
    out.push_back(message->status);
  CHECK(parser.idle());  // nothing is cut
  return out;
}

enum class Order { OneTurn, Apart };

void replay(const std::string& job_class, Stage stage, const Event& first, const Event& second,
            Order order) {
  RequestRace race(job_class, stage);
  auto leaves = [](const Event& event) {
    return std::string_view(event.name).starts_with("the worker is ");
  };
  first.apply(race);
  if (order == Order::Apart) {
    race.settle();
    race.worker_closed = leaves(first);
  }
  second.apply(race);
  int attempts_before_leaving = race.attempts_begun;
  // What has not been read before the clock moved came, for the program, when it was.
  if (order == Order::OneTurn && race.submitted_at.contains(kSecondRequest))
    race.submitted_at[kSecondRequest] = race.clock.at;
  while (!race.is_at_rest()) {
  }
  race.settle();
  race.worker_closed |= leaves(first) || leaves(second);
  race.worker_succeeds = true;
  race.pass(7000);
  std::vector<int> got = statuses(race.client.receive());
  bool ahead = first.name == std::string("the client sends ahead") ||
               second.name == std::string("the client sends ahead");
  INFO(race.log_text);
  CHECK(race.duplicate_attempts == 0);
  CHECK(race.attempts_after_closing == 0);
  CHECK(race.excess_time_left_ms <= 0);
  CHECK(race.app->router().open_requests() == 0);
  if (race.client_left) {
    CHECK(race.attempts_begun == attempts_before_leaving);
    CHECK(race.open_attempt.empty());  // given up where it had begun
    CHECK(got.size() <= 1);
  } else {
    std::size_t wanted = ahead ? 2 : 1;
    // A close between two requests lets the client send the second again elsewhere.
    if (!(race.client.ended && got.size() == 1))
      CHECK(got.size() == wanted);
    REQUIRE(!got.empty());
    if (got[0] == 200)
      CHECK(race.served);
    CHECK((got[0] == 200 || got[0] == 502 || got[0] == 503));
    if (got[0] == 503)
      CHECK(race.may_have_run == 0);  // a refusal says so
    if (got[0] == 502)
      CHECK((race.attempts_begun > 0 || race.failure_reported));  // what has not begun is refused
  }
  // Nothing is left over once all have gone.
  race.client.close();
  race.callback_one.close();
  race.callback_two.close();
  race.more_callbacks.clear();
  for (RequestRace::WorkerConnection& line : race.worker_connections)
    line.socket.close();
  race.pass(3000);
  CHECK(race.network.accepted() == 0);
  REQUIRE(fcntl(testing::kMaximumDescriptors - 1, F_GETFD) <
          0);  // none beyond what at_rest() looks at
  CHECK(RequestRace::open_descriptors() <= race.initial_descriptors);
  CHECK(race.deadlines.size() <= race.initial_deadlines);
}

void replay_all(const std::string& job_class) {
  for (Stage stage : {Stage::LastByteHeldBack, Stage::Sent, Stage::Accepted}) {
    for (const Event& first : events()) {
      for (const Event& second : events()) {
        if (&first == &second)
          continue;
        for (Order order : {Order::OneTurn, Order::Apart}) {
          INFO("stage " << static_cast<int>(stage) << ": " << first.name
                        << (order == Order::OneTurn ? ", and in the same turn: " : ", then: ")
                        << second.name);
          replay(job_class, stage, first, second, order);
        }
      }
    }
  }
}

}  // namespace

TEST_CASE("every two of what can happen to a command that must not run twice", "[unsafe]") {
  replay_all("place-order");
}

TEST_CASE("every two of what can happen to a command that may be repeated", "[keyed]") {
  replay_all("group-order");
}

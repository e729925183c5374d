// Hot restarts in a row: what a process has to do for requests that it has adopted from the process
// before it, and for messages that concern the processes on both sides of it.
#include <array>
#include <ranges>

#include "tests/loopback/middle_process.h"

using namespace dispatcher;
using hot_restart::Message;
using testing::LinkPeer;
using testing::MiddleProcess;

namespace {

constexpr scheduling::RequestId kAdopted = 0xa1;
constexpr const char* kAdoptedText = "00000000000000a1";
constexpr scheduling::RequestId kForeign = 0xb1;  // not known to the process
constexpr const char* kForeignText = "00000000000000b1";

constexpr std::array kClasses{"place-order", "group-order"};  // unsafe and keyed

struct JobEnd {
  const char* state;
  const char* response;  // begin of the response to the client
};
constexpr std::array kJobEnds{JobEnd{"done", "HTTP/1.1 200"}, JobEnd{"failed", "HTTP/1.1 502"},
                              JobEnd{"returned", "HTTP/1.1 502"}, JobEnd{"lost", "HTTP/1.1 502"}};

}  // namespace

// Guards against a result that is acknowledged and dropped, since only the router was asked for the
// request: docs/incidents/result-after-two-hot-restarts.md.
TEST_CASE("a forwarded job event reaches an adopted request", "[middle]") {
  for (const char* job_class : kClasses) {
    for (const JobEnd& end : kJobEnds) {
      for (bool from_successor : {true, false}) {
        INFO(job_class << " " << end.state << (from_successor ? ", successor" : ", predecessor"));
        MiddleProcess process;
        process.adopt(kAdopted, job_class);
        process.hand_over();
        LinkPeer& sender = from_successor ? *process.successor : *process.predecessor;
        CHECK_FALSE(process.forward(sender, process.job_event(kAdoptedText, "started")));
        CHECK_FALSE(process.forward(sender, process.job_event(kAdoptedText, "running")));
        CHECK(process.clients.front().receive().empty());
        CHECK_FALSE(process.forward(sender, process.job_event(kAdoptedText, end.state)));
        std::string response = process.clients.front().receive();
        CHECK(response.starts_with(end.response));
        CHECK((response.find("made") != std::string::npos) == (end.state == std::string("done")));
        CHECK(process.app->adopted_requests().size() == 0);
      }
    }
  }
}

// Guards against 502 at the end of a process that has adopted the request: the same incident.
TEST_CASE("a process that ends hands its adopted requests to its successor", "[middle]") {
  for (const char* job_class : kClasses) {
    MiddleProcess process;
    Message adopted = process.adopt(kAdopted, job_class);
    process.hand_over();
    process.drain();
    Message released = process.take(*process.successor, Message::kAdoptedRequest);
    CHECK(released.SerializeAsString() == adopted.SerializeAsString());
    testing::PeerSocket connection(process.successor->take_descriptor().release());
    connection.send("answer of the successor");
    CHECK(process.clients.front().receive() == "answer of the successor");
    CHECK(process.worker.calls().empty());  // the job is not cancelled
    // An event that has crossed with the request comes again.
    CHECK(process.forward(*process.successor, process.job_event(kAdoptedText, "done")));
  }
}

// Guards against dropping an event that a worker reports to the process that has just released the
// request: the same incident.
TEST_CASE("a job event for a released request follows it to the successor", "[middle]") {
  for (bool from_worker : {true, false}) {
    MiddleProcess process;
    process.adopt(kAdopted, "place-order");
    process.hand_over();
    process.drain();
    process.take(*process.successor, Message::kAdoptedRequest);
    std::string event = process.job_event(kAdoptedText, "done");
    if (from_worker) {
      process.end_busy_callback(event);
      process.acknowledge(*process.predecessor, event);
      CHECK(process.busy_callback.receive().empty());  // the successor has not received it yet
      process.acknowledge(*process.successor, event);
      CHECK(process.busy_callback.receive().starts_with("HTTP/1.1 204"));
    } else {
      process.predecessor->send(hot_restart::make_job_event_forward(5, event));
      process.acknowledge(*process.successor, event);
      CHECK_FALSE(process.take_receipt(*process.predecessor).retry());
    }
  }
}

// Guards against dropping an event for a request two processes away: the same incident.
TEST_CASE("a job event for an unknown request is passed on to the process behind", "[middle]") {
  for (bool from_successor : {true, false}) {
    for (bool retry : {true, false}) {
      MiddleProcess process;
      process.hand_over();
      LinkPeer& sender = from_successor ? *process.successor : *process.predecessor;
      LinkPeer& receiver = from_successor ? *process.predecessor : *process.successor;
      std::string event = process.job_event(kForeignText, "done");
      sender.send(hot_restart::make_job_event_forward(7, event));
      Message forward = process.take(receiver, Message::kJobEventForward);
      CHECK(forward.job_event_forward().body() == event);
      CHECK_FALSE(process.has_message(sender));  // the receipt has to wait
      receiver.send(
          hot_restart::make_job_event_receipt(forward.job_event_forward().number(), retry));
      hot_restart::JobEventReceipt receipt = process.take_receipt(sender);
      CHECK(receipt.number() == 7);
      CHECK(receipt.retry() == retry);
    }
  }
}

TEST_CASE("a job event that was passed on to a process that ends comes again", "[middle]") {
  MiddleProcess process;
  process.hand_over();
  std::string event = process.job_event(kForeignText, "done");
  process.successor->send(hot_restart::make_job_event_forward(7, event));
  process.take(*process.predecessor, Message::kJobEventForward);
  process.end_predecessor();
  CHECK(process.take_receipt(*process.successor).retry());
  CHECK_FALSE(process.forward(*process.successor, event));  // nobody is left who could know it
}

TEST_CASE("the job of an adopted request is cancelled when its client leaves", "[middle]") {
  MiddleProcess process;
  process.adopt(kAdopted, "place-order");
  process.hand_over();
  process.clients.front().close();
  process.settle();
  CHECK(process.worker.calls() ==
        std::vector<std::string>{std::string("DELETE /jobs/") + kAdoptedText});
  CHECK(process.app->adopted_requests().size() == 0);
}

// Guards against a second run of a request whose id a process two restarts back has accepted.
TEST_CASE("a successor learns the ids of the predecessor and of adopted requests", "[middle]") {
  MiddleProcess process({kForeign});
  process.adopt(kAdopted, "place-order");
  process.hand_over();
  for (scheduling::RequestId id : {kAdopted, kForeign})
    CHECK(std::ranges::count(process.transfer.request_ids(), id) >= 1);
  process.predecessor->send(hot_restart::make_request_accepted(0xc1));
  CHECK(process.take(*process.successor, Message::kRequestAccepted).request_accepted().id() ==
        0xc1);
}

TEST_CASE("cordon calls are passed on in both directions", "[middle]") {
  MiddleProcess process;
  process.hand_over();
  for (bool cordoned : {true, false}) {
    for (bool from_successor : {true, false}) {
      LinkPeer& sender = from_successor ? *process.successor : *process.predecessor;
      LinkPeer& receiver = from_successor ? *process.predecessor : *process.successor;
      sender.send(hot_restart::make_cordon_call(process.cordon_change(cordoned)));
      Message call = process.take(receiver, Message::kCordonCall);
      CHECK(call.cordon_call().uid() == MiddleProcess::kWorker);
      CHECK(call.cordon_call().cordoned() == cordoned);
    }
  }
}

// Guards against forgetting a call that another process has acknowledged, since the worker is not
// listed here: docs/incidents/cordon-of-an-unlisted-worker.md.
TEST_CASE("a cordon call for a worker that is not listed yet holds, and is passed on", "[middle]") {
  constexpr const char* kUnlisted = "s-unlisted";
  constexpr double kOverloadWindowMs = 2000;  // for which recently started workers are left out
  for (bool from_successor : {true, false}) {
    for (bool uncordoned : {true, false}) {
      MiddleProcess process;
      process.advance(kOverloadWindowMs);
      auto call = [&](LinkPeer& sender, bool cordoned) {
        process.advance(1);
        sender.send(hot_restart::make_cordon_call(process.cordon_change(cordoned, kUnlisted)));
        process.settle();
      };
      if (!from_successor)
        call(*process.predecessor, true);
      process.hand_over();
      if (from_successor)
        call(*process.successor, true);
      CHECK(process.transfer.cordons_size() == (from_successor ? 0 : 1));
      if (uncordoned)
        call(from_successor ? *process.successor : *process.predecessor, false);
      process.list_worker(kUnlisted);
      const auto& cordons = process.app->cordon_list().cordons_by_uid();
      REQUIRE(cordons.contains(kUnlisted));
      CHECK(cordons.at(kUnlisted).uncordon_time.has_value() == uncordoned);
      CHECK(process.app->router().avoids(kUnlisted));  // uncordoned: while it warms up
    }
  }
}

// Guards against settings of the start that a reload has replaced:
// docs/incidents/dropped-class-at-shutdown.md.
TEST_CASE("the transfer leaves out workers by the slow start in force", "[middle]") {
  constexpr double kOverloadWindowMs = 2000;  // for which a process that takes over leaves them out
  for (double slow_start_ms : {100.0, 60'000.0}) {
    MiddleProcess process;
    process.advance(kOverloadWindowMs);
    CHECK_FALSE(process.app->router().avoids(MiddleProcess::kWorker));
    process.reload_slow_start(slow_start_ms);
    process.hand_over();
    CHECK(process.app->router().avoids(MiddleProcess::kWorker) ==
          (slow_start_ms > kOverloadWindowMs));
  }
}

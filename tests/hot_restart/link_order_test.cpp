// The order of messages on the link between two processes: messages before Welcome, a late Welcome,
// and Ready, which is sent only once the process can serve.
#include <future>
#include <set>
#include <string>

#include "testbed/stubs/address.h"
#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/http_transfer.h"
#include "tests/hot_restart/outgoing_stub.h"
#include "tests/hot_restart/process_scene.h"

using namespace dispatcher;
using hot_restart::Message;
using testbed::DiscoveryFault;
using testing::LinkPeer;
using testing::OutgoingStub;

namespace {

constexpr double kOutgoingOffsetMs = -1234.5;  // a value that no process would measure

// Starts the program as the incoming process, with the stub as the outgoing one.
struct IncomingProcessHarness : testing::ProcessHarness {
  IncomingProcessHarness() {
    dispatcher.crash();
    fleet.set_fault(DiscoveryFault{DiscoveryFault::Down});
    stub.emplace(socket_path());
  }
  std::string socket_path() const { return dispatcher.folder() + "/tmp/oatledge.sock"; }

  // Returns a socket that listens on the address for clients.
  int listen_for_clients() const {
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = testbed::parse_address(dispatcher.address());
    REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(descriptor, 64) == 0);
    return descriptor;
  }
  Message welcome(int workers) {
    Message message;
    hot_restart::Welcome& welcome = *message.mutable_welcome();
    welcome.set_wall_to_steady(kOutgoingOffsetMs);
    welcome.set_revision(1);
    for (int i = 0; i < workers; ++i) {
      hot_restart::ListedEndpoint& endpoint = *welcome.add_endpoints();
      endpoint.set_uid("s-" + std::to_string(i + 1));
      endpoint.set_address(fleet.worker_address(i));
      endpoint.set_zone("room");
      endpoint.set_kind("std");
      endpoint.set_size(8);
      endpoint.set_ready(true);
    }
    return message;
  }
  void transfer_ownership(LinkPeer& peer) {
    peer.await(Message::kReady);
    Message message;
    message.mutable_ownership_transfer();
    peer.send(message);
  }
  void check_program_serves() {
    for (int i = 0; i < 10; ++i)
      CHECK(testbed::submit_request(dispatcher.address(), make_request()).status == 200);
  }
  // Returns the Welcome that the program sends to a further incoming process.
  hot_restart::Welcome welcome_of_program() {
    LinkPeer peer(transport::connect_local(socket_path()));
    peer.send(hot_restart::make_hello({"toy", dispatcher.address()}));
    return peer.await(Message::kWelcome).welcome();
  }

  std::optional<OutgoingStub> stub;
};

// Adds a cordon with a time far in the past.
void add_cordon(hot_restart::CordonRecords& records, const std::string& uid) {
  hot_restart::CordonRecord& record = *records.Add();
  record.set_uid(uid);
  record.set_cordoned_at(1);
}

std::size_t count(const std::string& text, const std::string& part) {
  std::size_t found = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++found;
  return found;
}

std::string job_event(const std::string& id) {
  return R"({"id":")" + id + R"(","from":"s-1","state":"done","result":""})";
}

}  // namespace

// Guards against an incoming process that takes the first packet for the answer to Hello. An
// outgoing process of an earlier version sends request ids before Welcome.
TEST_CASE("an incoming process handles messages before Welcome and inherits the endpoint list") {
  IncomingProcessHarness harness;
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  LinkPeer peer = harness.stub->accept();
  peer.send(hot_restart::make_request_accepted(0xf0001));
  peer.send(hot_restart::make_job_event_forward(7, job_event("00000000000f0002")));
  peer.send(harness.welcome(3), harness.listen_for_clients());
  CHECK(peer.await(Message::kJobEventReceipt).job_event_receipt().number() == 7);
  harness.transfer_ownership(peer);
  REQUIRE(started.get());
  CHECK(harness.log_contains("cached endpoint list has 3 workers"));
  harness.check_program_serves();
  testbed::ClientRequest duplicate = harness.make_request();
  duplicate.id = 0xf0001;
  CHECK(testbed::submit_request(harness.dispatcher.address(), duplicate).status != 200);
  CHECK(harness.started_attempts().count("00000000000f0001") == 0);
}

// Guards against dropping the endpoint list and the clock offset of a Welcome that arrives after
// the timeout of one second.
TEST_CASE("a Welcome after the timeout is applied like one in time") {
  IncomingProcessHarness harness;
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  LinkPeer peer = harness.stub->accept();
  harness.wait_until([&] { return harness.log_contains("cached endpoint list has 0 workers"); });
  peer.send(hot_restart::make_request_accepted(0xf0001));
  peer.send(harness.welcome(3), harness.listen_for_clients());
  harness.transfer_ownership(peer);
  REQUIRE(started.get());
  harness.check_program_serves();
  hot_restart::Welcome next = harness.welcome_of_program();
  CHECK(next.wall_to_steady() == kOutgoingOffsetMs);
  CHECK(next.endpoints_size() == 3);
  CHECK(next.revision() == 1);
}

// Guards against a Welcome that is only partly applied after the first link has ended.
TEST_CASE("a Welcome on a second link is applied like one on the first") {
  IncomingProcessHarness harness;
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  std::optional<LinkPeer> first = harness.stub->accept();
  first.reset();
  LinkPeer peer = harness.stub->accept();
  peer.send(harness.welcome(3), harness.listen_for_clients());
  harness.transfer_ownership(peer);
  REQUIRE(started.get());
  harness.check_program_serves();
  CHECK(harness.welcome_of_program().wall_to_steady() == kOutgoingOffsetMs);
}

// Guards against an incoming process that takes over before it can dispatch a request.
TEST_CASE("an incoming process does not send Ready before it has an endpoint list") {
  IncomingProcessHarness harness;
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  LinkPeer peer = harness.stub->accept();
  peer.send(harness.welcome(0), harness.listen_for_clients());
  harness.wait_until([&] { return harness.log_contains("a poll failed"); });
  CHECK(testbed::call_admin(harness.dispatcher.admin_address(), "GET", "/admin/health").status ==
        503);
  CHECK_FALSE(peer.receive(transport::Duration(0)));
  harness.fleet.set_fault(DiscoveryFault{});
  harness.transfer_ownership(peer);
  REQUIRE(started.get());
  harness.check_program_serves();
}

// Guards against settings and an address of discovery that only the outgoing process has read:
// docs/incidents/discovery-moved-before-hot-restart.md.
TEST_CASE("an incoming process follows the reloads of the outgoing process") {
  enum class Told { InWelcome, InLateWelcome, InTransfer, AfterTransfer };
  for (Told told : {Told::InWelcome, Told::InLateWelcome, Told::InTransfer, Told::AfterTransfer}) {
    INFO("told " << static_cast<int>(told));
    IncomingProcessHarness harness;
    testbed::StubDiscovery moved(testbed::process_loopback_address());
    moved.add_endpoint("s-1", harness.fleet.worker_address(0));
    if (told == Told::InWelcome)
      harness.dispatcher.set_discovery(moved.address());
    auto started =
        std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
    LinkPeer peer = harness.stub->accept();
    if (told == Told::InLateWelcome)
      harness.wait_until([&] { return harness.log_contains("cached endpoint list has 0"); });
    Message welcome = harness.welcome(3);
    if (told <= Told::InLateWelcome) {
      harness.dispatcher.set_discovery(moved.address());
      welcome.mutable_welcome()->set_reloads(1);
    }
    peer.send(welcome, harness.listen_for_clients());
    peer.await(Message::kReady);
    if (told <= Told::InLateWelcome) {
      harness.wait_until([&] { return moved.polls() > 0; });
    } else {
      CHECK(moved.polls() == 0);
    }
    harness.dispatcher.set_discovery(moved.address());
    Message transfer;
    transfer.mutable_ownership_transfer()->set_reloads(told <= Told::InTransfer ? 1 : 0);
    peer.send(transfer);
    REQUIRE(started.get());
    if (told == Told::AfterTransfer)
      peer.send(hot_restart::make_reload_accepted(1));
    harness.wait_until([&] { return moved.polls() > 0; });
    hot_restart::Welcome next = harness.welcome_of_program();
    CHECK(next.reloads() >= 1);
    CHECK(harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.cfg_accepted") == 0);
    moved.stop();
  }
}

// Guards against resuming the watch from a revision of another discovery: the same incident.
TEST_CASE("a list that may be outdated is replaced by a snapshot") {
  for (bool snapshot_needed : {false, true}) {
    IncomingProcessHarness harness;
    harness.fleet.set_fault(DiscoveryFault{});
    auto started =
        std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
    LinkPeer peer = harness.stub->accept();
    Message welcome = harness.welcome(2);  // at revision 1, as the list of discovery, which has 3
    welcome.mutable_welcome()->set_snapshot_needed(snapshot_needed);
    peer.send(welcome, harness.listen_for_clients());
    harness.transfer_ownership(peer);
    REQUIRE(started.get());
    // The process that crashed before has requested a snapshot too.
    harness.wait_until([&] { return count(harness.dispatcher.log(), "list 3 1") >= 2; });
    CHECK(count(harness.dispatcher.log(), "poll snapshot") == (snapshot_needed ? 2 : 1));
  }
}

// Guards against losing an operator's cordon or uncordon call to the incoming process: the outgoing
// process may send its own cordons before it learns of the call.
TEST_CASE("a cordon call to the incoming process persists when it crosses with the transfer") {
  IncomingProcessHarness harness;
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  LinkPeer peer = harness.stub->accept();
  Message welcome = harness.welcome(3);
  add_cordon(*welcome.mutable_welcome()->mutable_cordons(), "s-2");
  add_cordon(*welcome.mutable_welcome()->mutable_cordons(), "s-3");
  peer.send(welcome, harness.listen_for_clients());
  peer.await(Message::kReady);
  CHECK(testbed::call_admin(harness.dispatcher.admin_address(), "POST", "/admin/cordon?id=s-1")
            .status == 200);
  CHECK(testbed::call_admin(harness.dispatcher.admin_address(), "POST", "/admin/uncordon?id=s-2")
            .status == 200);
  Message transfer;
  add_cordon(*transfer.mutable_ownership_transfer()->mutable_cordons(), "s-2");
  peer.send(transfer);  // without s-1, and without s-3, uncordoned in the meantime
  REQUIRE(started.get());
  std::set<std::string> cordoned;
  const hot_restart::Welcome next = harness.welcome_of_program();
  for (const hot_restart::CordonRecord& record : next.cordons()) {
    if (!record.has_uncordoned_at())
      cordoned.insert(record.uid());
  }
  CHECK(cordoned == std::set<std::string>{"s-1"});
}

// Guards against losing an operator's cordon call to the incoming process when Welcome arrives
// after it.
TEST_CASE("a cordon call to the incoming process persists when Welcome arrives after it") {
  IncomingProcessHarness harness;
  harness.fleet.set_fault(DiscoveryFault{});
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  LinkPeer peer = harness.stub->accept();
  harness.wait_until([&] {
    return testbed::call_admin(harness.dispatcher.admin_address(), "POST", "/admin/cordon?id=s-1")
               .status == 200;
  });
  peer.send(harness.welcome(3), harness.listen_for_clients());
  harness.transfer_ownership(peer);
  REQUIRE(started.get());
  hot_restart::Welcome next = harness.welcome_of_program();
  REQUIRE(next.cordons_size() == 1);
  CHECK(next.cordons(0).uid() == "s-1");
}

// Guards against a cordon call to the incoming process that never reaches the outgoing one, since
// the link broke: docs/incidents/cordon-of-an-unlisted-worker.md.
TEST_CASE("a cordon call to the incoming process is sent again after the link has broken") {
  IncomingProcessHarness harness;
  harness.fleet.set_fault(DiscoveryFault{});
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  std::optional<LinkPeer> first = harness.stub->accept();
  harness.wait_until([&] {
    return testbed::call_admin(harness.dispatcher.admin_address(), "POST", "/admin/cordon?id=s-1")
               .status == 200;
  });
  first.reset();
  LinkPeer peer = harness.stub->accept();
  peer.send(harness.welcome(3), harness.listen_for_clients());
  hot_restart::CordonCall call = peer.await(Message::kCordonCall).cordon_call();
  CHECK(call.uid() == "s-1");
  CHECK(call.cordoned());
  harness.transfer_ownership(peer);
  REQUIRE(started.get());
  CHECK(harness.welcome_of_program().cordons_size() == 1);
}

// Guards against a cordon call to the incoming process that undoes a later uncordon call to the
// outgoing one: the same incident.
TEST_CASE("an uncordon call to the outgoing process holds against an earlier cordon call") {
  IncomingProcessHarness harness;
  harness.fleet.set_fault(DiscoveryFault{});
  auto started =
      std::async(std::launch::async, [&] { return harness.dispatcher.start_hot_restart(); });
  LinkPeer peer = harness.stub->accept();
  peer.send(harness.welcome(3), harness.listen_for_clients());
  peer.await(Message::kReady);
  CHECK(testbed::call_admin(harness.dispatcher.admin_address(), "POST", "/admin/cordon?id=s-1")
            .status == 200);
  double cordoned_at = peer.await(Message::kCordonCall).cordon_call().called_at();
  Message transfer;
  add_cordon(*transfer.mutable_ownership_transfer()->mutable_cordons(), "s-1");
  hot_restart::CordonRecord& record = *transfer.mutable_ownership_transfer()->mutable_cordons(0);
  record.set_cordoned_at(cordoned_at);
  record.set_uncordoned_at(cordoned_at + 1);
  peer.send(transfer);
  REQUIRE(started.get());
  hot_restart::Welcome next = harness.welcome_of_program();
  REQUIRE(next.cordons_size() == 1);
  CHECK(next.cordons(0).has_uncordoned_at());
}

// Guards against events that reach an incoming process before Welcome, and against a worker's call
// that waits for a receipt from a process that does not serve yet.
TEST_CASE(
    "an outgoing process sends nothing before Welcome and forwards no job events before the "
    "transfer") {
  testing::ProcessHarness harness;
  LinkPeer peer(transport::connect_local(harness.dispatcher.folder() + "/tmp/oatledge.sock"));
  CHECK(testbed::submit_request(harness.dispatcher.address(), harness.make_request()).status ==
        200);
  testbed::BlockingConnection worker(
      testbed::BlockingConnection::dial(harness.dispatcher.address()));
  std::string event = job_event("00000000000f0003");
  REQUIRE(worker.send("POST /_jobs/news HTTP/1.1\r\nContent-Length: " +
                      std::to_string(event.size()) + "\r\n\r\n" + event));
  REQUIRE(worker.readable(std::chrono::seconds(30)));
  testbed::HttpHead head;
  REQUIRE(testbed::read_head(worker, head));
  CHECK(testbed::status_code(head) == 204);
  CHECK_FALSE(peer.receive(transport::Duration(0)));
  peer.send(hot_restart::make_hello({"toy", harness.dispatcher.address()}));
  auto first = peer.receive(transport::Duration(30'000));
  REQUIRE(first);
  CHECK(first->has_welcome());
  peer.send(hot_restart::make_ready());
  peer.await(Message::kOwnershipTransfer);
}

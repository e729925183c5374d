// Hot restarts. First a model of which process accepts connections, explored over every order of
// events at the two processes and their link. Then the program as two processes between stubs on
// real sockets, checked by the order and the number of events, not by times.
#include <csignal>

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <future>
#include <set>

#include "hot_restart/ownership.h"
#include "tests/hot_restart/process_scene.h"

using namespace dispatcher;
using namespace dispatcher::testbed;
using hot_restart::IncomingOwnership;
using hot_restart::OutgoingOwnership;
using testing::kFulfilledMetric;
using testing::kRelayedMetric;
using testing::ProcessHarness;

namespace {

// A model of the two processes and the link between them. `outgoing_accepts` and `incoming_accepts`
// say which process accepts connections on the listening socket.
struct OwnershipModel {
  enum class MessageKind {
    Hello,
    Welcome,
    Rejection,
    Ready,
    OwnershipTransfer,
    JobEvent,
    Unreadable
  };
  OutgoingOwnership outgoing{{"n0", "a:1"}};
  IncomingOwnership incoming;
  std::deque<MessageKind> to_outgoing;
  std::deque<MessageKind> to_incoming;
  bool linked = false;
  bool outgoing_alive = true;
  bool incoming_alive = true;
  bool outgoing_accepts = true;
  bool incoming_accepts = false;
  bool incoming_will_connect = true;  // for the first time or again
  bool outgoing_noticed_end = true;
  bool incoming_noticed_end = true;

  // Ends the link. Each side that is alive notices it later, after the messages already on the way.
  void end_link() {
    linked = false;
    if (outgoing_alive)
      outgoing_noticed_end = false;
    if (incoming_alive)
      incoming_noticed_end = false;
  }
  void carry_out(OutgoingOwnership::Action action) {
    switch (action) {
      case OutgoingOwnership::Action::None:
        return;
      case OutgoingOwnership::Action::SendWelcome:
        return send(to_incoming, MessageKind::Welcome);
      case OutgoingOwnership::Action::SendRejection:
        return send(to_incoming, MessageKind::Rejection);
      case OutgoingOwnership::Action::TransferOwnership:
        outgoing_accepts = false;
        return send(to_incoming, MessageKind::OwnershipTransfer);
      case OutgoingOwnership::Action::Reclaim:
        outgoing_accepts = true;
        return;
      case OutgoingOwnership::Action::CloseLink:
        end_link();
        outgoing_noticed_end = true;
        to_outgoing.clear();
        return;
    }
  }
  void carry_out(IncomingOwnership::Action action) {
    switch (action) {
      case IncomingOwnership::Action::None:
        return;
      case IncomingOwnership::Action::SendReady:
        return send(to_outgoing, MessageKind::Ready);
      case IncomingOwnership::Action::Serve:
      case IncomingOwnership::Action::ServeAlone:
        incoming_accepts = true;
        return;
      case IncomingOwnership::Action::CloseLink:
        end_link();
        incoming_noticed_end = true;
        to_incoming.clear();
        return carry_out(incoming.on_link_ended());
      case IncomingOwnership::Action::Reconnect:
        incoming_will_connect = true;
        return;
    }
  }
  void send(std::deque<MessageKind>& queue, MessageKind message) {
    if (linked)
      queue.push_back(message);
  }
  // Runs one of the possible events. Returns false if it cannot happen in this state.
  bool step(int event) {
    switch (event) {
      case 0:  // the incoming process connects
        if (!incoming_alive || !incoming_will_connect)
          return false;
        incoming_will_connect = false;
        if (!outgoing_alive)
          return carry_out(incoming.on_no_listener()), true;
        if (!outgoing.can_accept_link() || !outgoing_noticed_end)
          return incoming_will_connect = true, false;  // disconnected; it reconnects
        linked = true;
        to_outgoing.clear();
        to_incoming.clear();
        send(to_outgoing, MessageKind::Hello);
        return true;
      case 1: {  // the outgoing process receives a message
        if (!outgoing_alive || to_outgoing.empty())
          return false;
        MessageKind message = to_outgoing.front();
        to_outgoing.pop_front();
        if (message == MessageKind::Hello) {
          carry_out(outgoing.on_hello(hot_restart::kProtocolVersion, {"n0", "a:1"}));
        } else if (message == MessageKind::Ready) {
          carry_out(outgoing.on_ready());
        } else if (message == MessageKind::Unreadable) {
          carry_out(outgoing.on_invalid_message());
        }
        return true;
      }
      case 2: {  // the incoming process receives a message
        if (!incoming_alive || to_incoming.empty())
          return false;
        MessageKind message = to_incoming.front();
        to_incoming.pop_front();
        if (message == MessageKind::Welcome) {
          carry_out(incoming.on_welcome());
        } else if (message == MessageKind::OwnershipTransfer) {
          carry_out(incoming.on_ownership_transfer());
        } else if (message == MessageKind::Unreadable) {
          carry_out(incoming.on_invalid_message());
        }
        return true;
      }
      case 3:  // the incoming process dies
        return incoming_alive && !terminate(incoming_alive, incoming_accepts);
      case 4:  // the outgoing process dies
        return outgoing_alive && !terminate(outgoing_alive, outgoing_accepts);
      case 5:  // the outgoing process notices the end of the link, after all messages before it
        if (!outgoing_alive || outgoing_noticed_end || !to_outgoing.empty())
          return false;
        return outgoing_noticed_end = true, carry_out(outgoing.on_link_ended()), true;
      case 6:  // the incoming process notices the end of the link
        if (!incoming_alive || incoming_noticed_end || !to_incoming.empty())
          return false;
        return incoming_noticed_end = true, carry_out(incoming.on_link_ended()), true;
      case 7:  // a message to the outgoing process is corrupted
        return corrupt_next(to_outgoing);
      case 8:  // a message to the incoming process is corrupted
        return corrupt_next(to_incoming);
      case 9:  // the incoming process forwards a job event once it serves
        if (!linked || incoming.state() != IncomingOwnership::State::Serving ||
            !to_outgoing.empty())
          return false;
        return send(to_outgoing, MessageKind::JobEvent), true;
      default:  // the outgoing process forwards a job event after the transfer
        if (!linked || outgoing.state() != OutgoingOwnership::State::Transferred ||
            to_incoming.size() > 1)
          return false;
        return send(to_incoming, MessageKind::JobEvent), true;
    }
  }
  bool terminate(bool& alive, bool& accepts) {
    alive = accepts = false;
    if (linked)
      end_link();
    return false;
  }
  bool corrupt_next(std::deque<MessageKind>& queue) {
    if (queue.empty() || queue.front() == MessageKind::Unreadable)
      return false;
    queue.front() = MessageKind::Unreadable;
    return true;
  }
};

}  // namespace

// Explores all orders of events depth first, with each process dying and each message being
// corrupted at every point, up to three such faults.
TEST_CASE("both processes never accept connections at once, and a surviving one finally does") {
  long states = 0;
  std::function<void(const OwnershipModel&, int, int)> explore = [&](const OwnershipModel& state,
                                                                     int depth, int faults) {
    ++states;
    REQUIRE_FALSE((state.outgoing_accepts && state.incoming_accepts));
    // Without further faults, a process that is alive finally accepts connections.
    OwnershipModel settled = state;
    for (int i = 0; i < 100; ++i) {
      for (int event : {5, 6, 1, 2, 0})
        settled.step(event);
    }
    if (settled.outgoing_alive || settled.incoming_alive)
      REQUIRE((settled.outgoing_accepts != settled.incoming_accepts));
    if (state.outgoing_alive && state.incoming_alive && faults == 0)
      REQUIRE(settled.incoming_accepts);
    if (depth == 0)
      return;
    for (int event = 0; event <= 10; ++event) {
      bool is_fault = event == 3 || event == 4 || event == 7 || event == 8;
      if (is_fault && faults == 3)
        continue;
      OwnershipModel next = state;
      if (next.step(event))
        explore(next, depth - 1, faults + is_fault);
    }
  };
  explore(OwnershipModel(), 11, 0);
  CHECK(states > 1000);
}

TEST_CASE("an incoming process of another version or dispatcher is rejected") {
  OutgoingOwnership outgoing({"n0", "a:1"});
  CHECK(outgoing.on_hello(hot_restart::kProtocolVersion + 1, {"n0", "a:1"}) ==
        OutgoingOwnership::Action::SendRejection);
  CHECK(outgoing.on_hello(hot_restart::kProtocolVersion, {"n1", "a:1"}) ==
        OutgoingOwnership::Action::SendRejection);
  CHECK(outgoing.on_hello(hot_restart::kProtocolVersion, {"n0", "a:2"}) ==
        OutgoingOwnership::Action::SendRejection);
  CHECK(outgoing.can_accept_link());
  IncomingOwnership incoming;
  CHECK(incoming.on_rejection() == IncomingOwnership::Action::ServeAlone);
}

// ---- The program as processes ----

TEST_CASE(
    "three hot restarts under load: each request is answered once and started once, no connection "
    "ends, and the metrics add up") {
  ProcessHarness harness;
  std::atomic<bool> stopped{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      PersistentClient client(harness.dispatcher.address());
      for (int n = 0; !stopped; ++n) {
        ClientRequest request =
            harness.make_request("news=1&work=" + std::to_string(1 + (n * 7 + i * 13) % 40));
        ClientResponse response = i < 6 ? client.submit_request(request)
                                        : submit_request(harness.dispatcher.address(), request);
        bool expected =
            response.status == 200 && response.complete && response.body == pattern_sha(0, 100);
        ++(expected ? served : failed);
        if (!expected)
          harness.print_unexpected_response(request, response);
      }
    });
  }
  long fulfilled = 0;
  long relayed = 0;
  auto add_final_metrics = [&](const std::string& admin_address) {
    AdminResponse stats;
    harness.wait_until([&] {
      return (stats = harness.stats(admin_address)).metric("dispatcher.open_requests") == 0;
    });
    fulfilled += stats.metric(kFulfilledMetric);
    relayed += stats.metric(kRelayedMetric);
  };
  for (int round = 0; round < 3; ++round) {
    int before = served;
    harness.wait_until([&] { return served > before + 100; });
    REQUIRE(harness.dispatcher.start_hot_restart());
    before = served;
    harness.wait_until([&] { return served > before + 50; });
    add_final_metrics(harness.dispatcher.outgoing_admin_address());
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
  }
  stopped = true;
  for (std::thread& client : clients)
    client.join();
  add_final_metrics(harness.dispatcher.admin_address());
  CHECK(failed == 0);
  CHECK(fulfilled == served);
  auto started = harness.started_attempts();
  CHECK(started.size() == static_cast<std::size_t>(served));
  CHECK(relayed == served);
  for (const auto& [id, count] : started)
    CHECK(count == 1);
}

TEST_CASE(
    "a partly sent request moves to the incoming process, and a job event reaches the outgoing "
    "one") {
  ProcessHarness harness;
  PersistentClient partial(harness.dispatcher.address());
  PersistentClient idle(harness.dispatcher.address());
  PersistentClient busy(harness.dispatcher.address());
  CHECK(partial.submit_request(harness.make_request()).status == 200);
  partial.send_raw(
      "POST /api?news=1 HTTP/1.1\r\nX-Correlation-Id: 00000000000f0001\r\nX-Service-Cl");
  // The job starts in the outgoing process and ends after the transfer. The worker reports it to
  // the address that both processes share.
  std::thread slow(
      [&] { CHECK(busy.submit_request(harness.make_request("news=1&work=1500")).status == 200); });
  harness.wait_until([&] {
    return harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.open_requests") ==
           1;
  });
  REQUIRE(harness.dispatcher.start_hot_restart());
  CHECK(harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.open_requests") == 0);
  partial.send_raw(
      "ass: place-order\r\nX-Account: lanting-bento\r\nX-Time-Left-Ms: 5000\r\nContent-Length: "
      "4\r\n\r\nhe");
  partial.send_raw("lf");
  harness.wait_until([&] { return harness.started_attempts().contains("00000000000f0001"); });
  CHECK(idle.submit_request(harness.make_request()).status == 200);
  CHECK(harness.dispatcher.terminate_outgoing() == 0);
  slow.join();
  CHECK(busy.submit_request(harness.make_request()).status == 200);
}

TEST_CASE("a request whose job outlasts the outgoing process is answered by the incoming one") {
  ProcessHarness harness;
  PersistentClient client(harness.dispatcher.address());
  ClientRequest request = harness.make_request("news=1&late=5000");
  request.time_left_ms = 20'000;
  std::thread slow([&] {
    ClientResponse response = client.submit_request(request);
    CHECK(response.status == 200);
    CHECK(response.body == pattern_sha(0, 100));
    CHECK(client.submit_request(harness.make_request()).status == 200);  // on the same connection
  });
  harness.wait_until([&] { return harness.started_attempts().size() == 1; });
  REQUIRE(harness.dispatcher.start_hot_restart());
  CHECK(harness.dispatcher.terminate_outgoing() == 0);
  CHECK(harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.open_requests") == 1);
  slow.join();
  CHECK(harness.stats(harness.dispatcher.admin_address()).metric(kFulfilledMetric) == 2);
  for (const auto& [id, count] : harness.started_attempts())
    CHECK(count == 1);
}

namespace {

// With shorter deadlines an outgoing process ends sooner. Without hedging each request is started
// once.
constexpr const char* kShortDeadlines = R"({"settings": {
  "Permissions": {"ParallelTries": false},
  "Lanes": [
    {"Name": "place-order", "Effect": "unsafe", "Group": "all", "AimMs": 300.0, "DeadlineMs": 600.0,
     "Worth": 2.0, "LateWorth": 0.5, "MemorySpanMs": 5000.0},
    {"Name": "group-order", "Effect": "keyed", "Group": "all", "AimMs": 400.0, "DeadlineMs": 600.0,
     "Worth": 5.0, "LateWorth": 0.3, "MemorySpanMs": 15000.0}]}})";

// Submits a request whose job is held back, and then a short one on the same connection.
std::vector<ClientResponse> submit_held_request(ProcessHarness& harness,
                                                const std::string& job_class) {
  PersistentClient client(harness.dispatcher.address());
  ClientRequest request = harness.make_request("news=1&held=1");
  request.job_class = job_class;
  request.time_left_ms = 30'000;
  return {client.submit_request(request), client.submit_request(harness.make_request())};
}

// Submits a request of each class, and ends their jobs after `restarts` hot restarts in a row:
// while the last outgoing process still runs, or after its end.
void check_served_across_restarts(int restarts, bool last_outgoing_ends) {
  INFO(restarts << " restarts, the last outgoing process "
                << (last_outgoing_ends ? "has ended" : "still runs"));
  ProcessHarness harness(kShortDeadlines);
  std::vector<std::future<std::vector<ClientResponse>>> clients;
  for (const char* job_class : {"place-order", "group-order"}) {
    clients.push_back(std::async(std::launch::async, [&harness, job_class] {
      return submit_held_request(harness, job_class);
    }));
  }
  harness.wait_until([&] { return harness.started_attempts().size() == 2; });
  for (int restart = 1; restart <= restarts; ++restart) {
    REQUIRE(harness.dispatcher.start_hot_restart());
    if (restart < restarts || last_outgoing_ends)
      CHECK(harness.dispatcher.terminate_outgoing() == 0);
  }
  harness.fleet.release_held_events();
  for (auto& client : clients) {
    for (const ClientResponse& response : client.get()) {
      CHECK(response.status == 200);
      CHECK(response.body == pattern_sha(0, 100));
    }
  }
  for (const auto& [id, count] : harness.started_attempts())
    CHECK(count == 1);
  if (!last_outgoing_ends)
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
}

}  // namespace

// Guards against a result that is acknowledged and dropped, and against a failure at the end of a
// process that has adopted the request: docs/incidents/result-after-two-hot-restarts.md.
TEST_CASE("an order is served across one, two and three hot restarts in a row") {
  for (int restarts : {1, 2, 3}) {
    for (bool last_outgoing_ends : {false, true})
      check_served_across_restarts(restarts, last_outgoing_ends);
  }
}

TEST_CASE(
    "SIGHUP during hot restarts: both processes reload the configuration, and each request is "
    "answered once") {
  ProcessHarness harness;
  std::atomic<bool> stopped{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::thread requests([&] {
    PersistentClient client(harness.dispatcher.address());
    while (!stopped) {
      ClientRequest request = harness.make_request();
      ClientResponse response = client.submit_request(request);
      ++(response.status == 200 ? served : failed);
      if (response.status != 200)
        harness.print_unexpected_response(request, response);
    }
  });
  for (int round = 0; round < 3; ++round) {
    int before = served;
    int outgoing_pid = harness.dispatcher.pid();
    harness.wait_until([&] { return served > before + 20; });
    std::atomic<bool> restarted{false};
    std::thread signals([&] {
      while (!restarted)
        kill(outgoing_pid, SIGHUP), std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
    bool started = harness.dispatcher.start_hot_restart();
    kill(harness.dispatcher.pid(), SIGHUP);
    restarted = true;
    signals.join();
    REQUIRE(started);
    for (const std::string* admin_address :
         {&harness.dispatcher.admin_address(), &harness.dispatcher.outgoing_admin_address()}) {
      harness.wait_until(
          [&] { return harness.stats(*admin_address).metric("dispatcher.cfg_accepted") > 0; });
    }
    before = served;
    harness.wait_until([&] { return served > before + 20; });
    CHECK(harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.cfg_invalid") == 0);
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
  }
  stopped = true;
  requests.join();
  CHECK(failed == 0);
  for (const auto& [id, count] : harness.started_attempts())
    CHECK(count == 1);
}

// Guards against a process that watches the discovery address of the environment, although a reload
// has moved discovery: docs/incidents/discovery-moved-before-hot-restart.md.
TEST_CASE("discovery as of the last SIGHUP is watched after one, two and three hot restarts") {
  enum class Reload { None, Moved, MovedBack };
  for (Reload reload : {Reload::None, Reload::Moved, Reload::MovedBack}) {
    ProcessHarness harness;
    StubDiscovery second(process_loopback_address());
    for (int i = 0; i < 3; ++i)
      second.add_endpoint("s-" + std::to_string(i + 1), harness.fleet.worker_address(i));
    int reloads = 0;
    auto move_discovery = [&](const std::string& address) {
      harness.dispatcher.set_discovery(address);
      kill(harness.dispatcher.pid(), SIGHUP);
      ++reloads;
      harness.wait_until([&] {
        return harness.stats(harness.dispatcher.admin_address())
                   .metric("dispatcher.cfg_accepted") == reloads;
      });
    };
    // Without SIGHUP the address in the file has no effect, as the environment goes first.
    if (reload == Reload::None) {
      harness.dispatcher.set_discovery(second.address());
    } else {
      move_discovery(second.address());
    }
    if (reload == Reload::MovedBack)
      move_discovery(harness.fleet.discovery_address());
    bool watches_second = reload == Reload::Moved;
    for (int restarts = 1; restarts <= 3; ++restarts) {
      INFO("reload " << static_cast<int>(reload) << ", restart " << restarts);
      REQUIRE(harness.dispatcher.start_hot_restart());
      CHECK(harness.dispatcher.terminate_outgoing() == 0);
      long polls_of_first = harness.fleet.discovery_polls();
      long polls_of_second = second.polls();
      harness.wait_until([&] {
        return harness.fleet.discovery_polls() > polls_of_first || second.polls() > polls_of_second;
      });
      CHECK((second.polls() > polls_of_second) == watches_second);
    }
    // A change there arrives.
    if (watches_second) {
      second.set_state("s-1", "draining");
    } else {
      harness.fleet.set_state(0, "draining");
    }
    harness.wait_until([&] {
      return harness.stats(harness.dispatcher.admin_address())
                 .metric("dispatcher.out_of_rotation") == 1;
    });
    second.stop();
  }
}

TEST_CASE(
    "a cordoned worker stays cordoned across a hot restart, and calls apply to both processes") {
  ProcessHarness harness;
  CHECK(call_admin(harness.dispatcher.admin_address(), "POST", "/admin/cordon?id=s-1").status ==
        200);
  REQUIRE(harness.dispatcher.start_hot_restart());
  for (int i = 0; i < 30; ++i)
    CHECK(submit_request(harness.dispatcher.address(), harness.make_request()).status == 200);
  for (const ReceivedAttempt& attempt : harness.fleet.received_attempts())
    CHECK(attempt.uid != "s-1");
  // A call to either process applies to both.
  CHECK(call_admin(harness.dispatcher.admin_address(), "POST", "/admin/cordon?id=s-2").status ==
        200);
  harness.wait_until([&] {
    return harness.stats(harness.dispatcher.outgoing_admin_address())
               .metric("dispatcher.out_of_rotation") == 2;
  });
  CHECK(call_admin(harness.dispatcher.outgoing_admin_address(), "POST", "/admin/uncordon?id=s-1")
            .status == 200);
  harness.wait_until([&] {
    return harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.out_of_rotation") ==
           1;
  });
  CHECK(harness.dispatcher.terminate_outgoing() == 0);
  CHECK(harness.stats(harness.dispatcher.admin_address()).metric("dispatcher.out_of_rotation") ==
        1);
}

TEST_CASE("a surviving process continues to serve") {
  ProcessHarness harness;
  auto serves = [&] {
    return submit_request(harness.dispatcher.address(), harness.make_request()).status == 200;
  };
  SECTION("the incoming process dies after the transfer") {
    REQUIRE(harness.dispatcher.start_hot_restart());
    harness.dispatcher.kill_newest();
    harness.wait_until([&] { return harness.log_contains("accepting connections again"); });
    CHECK(serves());
    REQUIRE(harness.dispatcher.start_hot_restart());  // a further process finds it
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
  }
  SECTION("the configuration of the incoming process is malformed") {
    std::string path = harness.dispatcher.folder() + "/config.json";
    std::string text;
    std::getline(std::ifstream(path), text, '\0');
    std::ofstream(path) << "{";
    CHECK_FALSE(harness.dispatcher.start_hot_restart());
    std::ofstream(path) << text;
    REQUIRE(harness.dispatcher.start_hot_restart());
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
  }
  SECTION("the only process is killed and leaves its socket file behind") {
    harness.dispatcher.kill_newest();
  }
  SECTION("a second hot restart follows the first") {
    PersistentClient client(harness.dispatcher.address());
    REQUIRE(harness.dispatcher.start_hot_restart());
    CHECK(client.submit_request(harness.make_request()).status == 200);
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
    REQUIRE(harness.dispatcher.start_hot_restart());
    CHECK(client.submit_request(harness.make_request()).status == 200);
    CHECK(harness.dispatcher.terminate_outgoing() == 0);
    CHECK(client.submit_request(harness.make_request()).status == 200);
  }
  SECTION("a regular file is at the path of the socket") {
    std::string path = harness.dispatcher.folder() + "/tmp/oatledge.sock";
    std::filesystem::remove(path);
    std::ofstream(path) << "unrelated";
    harness.dispatcher.kill_newest();
    CHECK(harness.log_contains("exists and is not a socket"));
    std::string text;
    std::getline(std::ifstream(path), text);
    CHECK(text == "unrelated");
  }
  CHECK(serves());
  CHECK(harness.dispatcher.terminate() == 0);
}

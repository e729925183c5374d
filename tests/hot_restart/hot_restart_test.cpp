// Upgrades. First who takes new jobs, over every order of what can happen to the two processes and
// their link; then the program as two processes, between stubs on real sockets, with verdicts
// by order and count.
#include <csignal>

#include <atomic>
#include <deque>
#include <filesystem>
#include <fstream>
#include <set>

#include "hot_restart/ownership.h"
#include "tests/hot_restart/process_scene.h"

using namespace dispatcher;
using namespace dispatcher::testbed;
using hot_restart::IncomingOwnership;
using hot_restart::OutgoingOwnership;
using testing::kRelayed;
using testing::kServed;
using testing::Scene;

namespace {

// The two sides and the link between them, as the program joins them. `accepting` is what a side
// does with the listening socket.
struct World {
  enum class Sent { Hello, Welcome, Rejection, Ready, OwnershipTransfer, JobEvent, Garbage };
  OutgoingOwnership outgoing{{"n0", "a:1"}};
  IncomingOwnership incoming;
  std::deque<Sent> to_outgoing;
  std::deque<Sent> to_incoming;
  bool linked = false;
  bool outgoing_lives = true;
  bool incoming_lives = true;
  bool outgoing_accepts = true;
  bool incoming_accepts = false;
  bool incoming_waits = true;  // waits: to ask (again)
  bool outgoing_heard_end = true;
  bool incoming_heard_end = true;

  void cut() {  // by whichever side; each hears of it in its own time, after what was on its way
    linked = false;
    if (outgoing_lives)
      outgoing_heard_end = false;
    if (incoming_lives)
      incoming_heard_end = false;
  }
  void act(OutgoingOwnership::Action what) {
    switch (what) {
      case OutgoingOwnership::Action::None:
        return;
      case OutgoingOwnership::Action::SendWelcome:
        return say(to_incoming, Sent::Welcome);
      case OutgoingOwnership::Action::SendRejection:
        return say(to_incoming, Sent::Rejection);
      case OutgoingOwnership::Action::TransferOwnership:
        outgoing_accepts = false;
        return say(to_incoming, Sent::OwnershipTransfer);
      case OutgoingOwnership::Action::Reclaim:
        outgoing_accepts = true;
        return;
      case OutgoingOwnership::Action::CloseLink:
        cut();
        outgoing_heard_end = true;
        to_outgoing.clear();
        return;
    }
  }
  void act(IncomingOwnership::Action what) {
    switch (what) {
      case IncomingOwnership::Action::None:
        return;
      case IncomingOwnership::Action::SendReady:
        return say(to_outgoing, Sent::Ready);
      case IncomingOwnership::Action::Serve:
      case IncomingOwnership::Action::ServeAlone:
        incoming_accepts = true;
        return;
      case IncomingOwnership::Action::CloseLink:
        cut();
        incoming_heard_end = true;
        to_incoming.clear();
        return act(incoming.on_link_ended());
      case IncomingOwnership::Action::AskAgain:
        incoming_waits = true;
        return;
    }
  }
  void say(std::deque<Sent>& to, Sent what) {
    if (linked)
      to.push_back(what);
  }
  // What can happen next; false: that cannot happen now.
  bool step(int what) {
    switch (what) {
      case 0:  // the incoming process asks
        if (!incoming_lives || !incoming_waits)
          return false;
        incoming_waits = false;
        if (!outgoing_lives)
          return act(incoming.on_no_listener()), true;
        if (!outgoing.can_accept_link() || !outgoing_heard_end)
          return incoming_waits = true, false;  // hung up on; it asks again
        linked = true;
        to_outgoing.clear();
        to_incoming.clear();
        say(to_outgoing, Sent::Hello);
        return true;
      case 1: {  // the outgoing process hears something
        if (!outgoing_lives || to_outgoing.empty())
          return false;
        Sent s = to_outgoing.front();
        to_outgoing.pop_front();
        if (s == Sent::Hello) {
          act(outgoing.on_hello(hot_restart::kProtocolVersion, {"n0", "a:1"}));
        } else if (s == Sent::Ready) {
          act(outgoing.on_ready());
        } else if (s == Sent::Garbage) {
          act(outgoing.on_invalid_message());
        }
        return true;
      }
      case 2: {  // the incoming process hears something
        if (!incoming_lives || to_incoming.empty())
          return false;
        Sent s = to_incoming.front();
        to_incoming.pop_front();
        if (s == Sent::Welcome) {
          act(incoming.on_welcome());
        } else if (s == Sent::OwnershipTransfer) {
          act(incoming.on_ownership_transfer());
        } else if (s == Sent::Garbage) {
          act(incoming.on_invalid_message());
        }
        return true;
      }
      case 3:
        return incoming_lives && !kill(incoming_lives, incoming_accepts);
      case 4:
        return outgoing_lives && !kill(outgoing_lives, outgoing_accepts);
      case 5:  // the end of the link is heard, after all that came before it
        if (!outgoing_lives || outgoing_heard_end || !to_outgoing.empty())
          return false;
        return outgoing_heard_end = true, act(outgoing.on_link_ended()), true;
      case 6:
        if (!incoming_lives || incoming_heard_end || !to_incoming.empty())
          return false;
        return incoming_heard_end = true, act(incoming.on_link_ended()), true;
      case 7:
        return garble(to_outgoing);
      case 8:
        return garble(to_incoming);
      case 9:  // what the two talk about once the incoming serves
        if (!linked || incoming.state() != IncomingOwnership::State::Serving ||
            !to_outgoing.empty())
          return false;
        return say(to_outgoing, Sent::JobEvent), true;
      default:
        if (!linked || outgoing.state() != OutgoingOwnership::State::Transferred ||
            to_incoming.size() > 1)
          return false;
        return say(to_incoming, Sent::JobEvent), true;
    }
  }
  bool kill(bool& lives, bool& accepts) {
    lives = accepts = false;
    if (linked)
      cut();
    return false;
  }
  bool garble(std::deque<Sent>& queue) {
    if (queue.empty() || queue.front() == Sent::Garbage)
      return false;
    queue.front() = Sent::Garbage;
    return true;
  }
};

}  // namespace

// Depth first over all that can happen, with each side dying and each message garbled at every
// point.
TEST_CASE("at no moment do both processes take new jobs, and in the end one that lives does") {
  long worlds = 0;
  std::function<void(const World&, int, int)> go = [&](const World& w, int depth, int troubles) {
    ++worlds;
    REQUIRE_FALSE((w.outgoing_accepts && w.incoming_accepts));
    // Left alone from here, whoever lives takes jobs.
    World rest = w;
    for (int i = 0; i < 100; ++i) {
      for (int what : {5, 6, 1, 2, 0})
        rest.step(what);
    }
    if (rest.outgoing_lives || rest.incoming_lives)
      REQUIRE((rest.outgoing_accepts != rest.incoming_accepts));
    if (w.outgoing_lives && w.incoming_lives && troubles == 0)
      REQUIRE(rest.incoming_accepts);
    if (depth == 0)
      return;
    for (int what = 0; what <= 10; ++what) {
      bool trouble = what == 3 || what == 4 || what == 7 || what == 8;
      if (trouble && troubles == 3)
        continue;
      World next = w;
      if (next.step(what))
        go(next, depth - 1, troubles + trouble);
    }
  };
  go(World(), 11, 0);
  CHECK(worlds > 1000);
}

TEST_CASE("another version and another dispatcher are turned away") {
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

// ---- As processes ----

TEST_CASE(
    "three upgrades under orders: each gets one answer, none begins twice, no connection ends, "
    "figures add "
    "up") {
  Scene s;
  std::atomic<bool> over{false};
  std::atomic<int> served{0};
  std::atomic<int> other{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < 8; ++i) {
    clients.emplace_back([&, i] {
      Regular client(s.dispatcher.address());
      for (int n = 0; !over; ++n) {
        Order o = s.order("news=1&work=" + std::to_string(1 + (n * 7 + i * 13) % 40));
        Answer a = i < 6 ? client.submit_request(o) : submit_request(s.dispatcher.address(), o);
        bool right = a.status == 200 && a.whole && a.body == pattern_sha(0, 100);
        ++(right ? served : other);
        if (!right)
          s.note_wrong(o, a);
      }
    });
  }
  long fulfilled = 0;
  long relayed = 0;
  auto keep = [&](const std::string& operators) {
    Call last;
    s.until([&] { return (last = s.stats(operators)).figure("dispatcher.open_requests") == 0; });
    fulfilled += last.figure(kServed);
    relayed += last.figure(kRelayed);
  };
  for (int round = 0; round < 3; ++round) {
    int before = served;
    s.until([&] { return served > before + 100; });
    REQUIRE(s.dispatcher.start_hot_restart());
    before = served;
    s.until([&] { return served > before + 50; });
    keep(s.dispatcher.outgoing_admin_address());
    CHECK(s.dispatcher.terminate_outgoing() == 0);
  }
  over = true;
  for (std::thread& t : clients)
    t.join();
  keep(s.dispatcher.operators());
  CHECK(other == 0);
  CHECK(fulfilled == served);
  auto begun = s.begun();
  CHECK(begun.size() == static_cast<std::size_t>(served));
  CHECK(relayed == served);
  for (const auto& [id, n] : begun)
    CHECK(n == 1);
}

TEST_CASE("what is half sent goes along, and a job's call-back finds its process") {
  Scene s;
  Regular half(s.dispatcher.address());
  Regular silent(s.dispatcher.address());
  Regular busy(s.dispatcher.address());
  CHECK(half.submit_request(s.order()).status == 200);
  half.begin("POST /api?news=1 HTTP/1.1\r\nX-Correlation-Id: 00000000000f0001\r\nX-Service-Cl");
  // Its job begins at the old process and ends after the change; the worker calls the address
  // that both share.
  std::thread slow([&] { CHECK(busy.submit_request(s.order("news=1&work=1500")).status == 200); });
  s.until(
      [&] { return s.stats(s.dispatcher.operators()).figure("dispatcher.open_requests") == 1; });
  REQUIRE(s.dispatcher.start_hot_restart());
  CHECK(s.stats(s.dispatcher.operators()).figure("dispatcher.open_requests") == 0);
  half.begin(
      "ass: place-order\r\nX-Account: lanting-bento\r\nX-Time-Left-Ms: 5000\r\nContent-Length: "
      "4\r\n\r\nhe");
  half.begin("lf");
  s.until([&] { return s.begun().contains("00000000000f0001"); });
  CHECK(silent.submit_request(s.order()).status == 200);
  CHECK(s.dispatcher.terminate_outgoing() == 0);
  slow.join();
  CHECK(busy.submit_request(s.order()).status == 200);
}

TEST_CASE("a job that outlives its process is answered by the next") {
  Scene s;
  Regular client(s.dispatcher.address());
  Order order = s.order("news=1&late=5000");
  order.time_left_ms = 20'000;
  std::thread slow([&] {
    Answer a = client.submit_request(order);
    CHECK(a.status == 200);
    CHECK(a.body == pattern_sha(0, 100));
    CHECK(client.submit_request(s.order()).status == 200);  // on the same connection
  });
  s.until([&] { return s.begun().size() == 1; });
  REQUIRE(s.dispatcher.start_hot_restart());
  CHECK(s.dispatcher.terminate_outgoing() == 0);
  CHECK(s.stats(s.dispatcher.operators()).figure("dispatcher.open_requests") == 1);
  slow.join();
  CHECK(s.stats(s.dispatcher.operators()).figure(kServed) == 2);
  for (const auto& [id, n] : s.begun())
    CHECK(n == 1);
}

TEST_CASE(
    "SIGHUP in the middle of upgrades: both processes read the file, and every order is answered "
    "once") {
  Scene s;
  std::atomic<bool> over{false};
  std::atomic<int> served{0};
  std::atomic<int> other{0};
  std::thread orders([&] {
    Regular client(s.dispatcher.address());
    while (!over) {
      Order order = s.order();
      Answer answer = client.submit_request(order);
      ++(answer.status == 200 ? served : other);
      if (answer.status != 200)
        s.note_wrong(order, answer);
    }
  });
  for (int round = 0; round < 3; ++round) {
    int before = served;
    int old = s.dispatcher.pid();
    s.until([&] { return served > before + 20; });
    std::atomic<bool> up{false};
    std::thread signals([&] {
      while (!up)
        kill(old, SIGHUP), std::this_thread::sleep_for(std::chrono::milliseconds(1));
    });
    bool started = s.dispatcher.start_hot_restart();
    kill(s.dispatcher.pid(), SIGHUP);
    up = true;
    signals.join();
    REQUIRE(started);
    for (const std::string* at :
         {&s.dispatcher.operators(), &s.dispatcher.outgoing_admin_address()})
      s.until([&] { return s.stats(*at).figure("dispatcher.cfg_accepted") > 0; });
    before = served;
    s.until([&] { return served > before + 20; });
    CHECK(s.stats(s.dispatcher.operators()).figure("dispatcher.cfg_invalid") == 0);
    CHECK(s.dispatcher.terminate_outgoing() == 0);
  }
  over = true;
  orders.join();
  CHECK(other == 0);
  for (const auto& [id, n] : s.begun())
    CHECK(n == 1);
}

TEST_CASE("an order worker that is out by hand stays out over an upgrade") {
  Scene s;
  CHECK(call(s.dispatcher.operators(), "POST", "/admin/cordon?id=s-1").status == 200);
  REQUIRE(s.dispatcher.start_hot_restart());
  for (int i = 0; i < 30; ++i)
    CHECK(submit_request(s.dispatcher.address(), s.order()).status == 200);
  for (const Seen& seen : s.fleet.seen())
    CHECK(seen.uid != "s-1");
  // A call at either address counts at both.
  CHECK(call(s.dispatcher.operators(), "POST", "/admin/cordon?id=s-2").status == 200);
  s.until([&] {
    return s.stats(s.dispatcher.outgoing_admin_address()).figure("dispatcher.out_of_rotation") == 2;
  });
  CHECK(call(s.dispatcher.outgoing_admin_address(), "POST", "/admin/uncordon?id=s-1").status ==
        200);
  s.until(
      [&] { return s.stats(s.dispatcher.operators()).figure("dispatcher.out_of_rotation") == 1; });
  CHECK(s.dispatcher.terminate_outgoing() == 0);
  CHECK(s.stats(s.dispatcher.operators()).figure("dispatcher.out_of_rotation") == 1);
}

TEST_CASE("the one that lives serves on") {
  Scene s;
  auto serves = [&] {
    return submit_request(s.dispatcher.address(), s.order()).status == 200;
  };
  SECTION("the new one dies after taking over") {
    REQUIRE(s.dispatcher.start_hot_restart());
    s.dispatcher.kill_newest();
    s.until([&] { return s.logged("accepts connections again"); });
    CHECK(serves());
    REQUIRE(s.dispatcher.start_hot_restart());  // and a further one finds it
    CHECK(s.dispatcher.terminate_outgoing() == 0);
  }
  SECTION("the new one's configuration is broken") {
    std::string path = s.dispatcher.folder() + "/config.json";
    std::string text;
    std::getline(std::ifstream(path), text, '\0');
    std::ofstream(path) << "{";
    CHECK_FALSE(s.dispatcher.start_hot_restart());
    std::ofstream(path) << text;
    REQUIRE(s.dispatcher.start_hot_restart());
    CHECK(s.dispatcher.terminate_outgoing() == 0);
  }
  SECTION("it was killed outright, and its socket lies there") {
    s.dispatcher.kill_newest();
  }
  SECTION("a second upgrade before the first has ended") {
    Regular client(s.dispatcher.address());
    REQUIRE(s.dispatcher.start_hot_restart());
    CHECK(client.submit_request(s.order()).status == 200);
    CHECK(s.dispatcher.terminate_outgoing() == 0);
    REQUIRE(s.dispatcher.start_hot_restart());
    CHECK(client.submit_request(s.order()).status == 200);
    CHECK(s.dispatcher.terminate_outgoing() == 0);
    CHECK(client.submit_request(s.order()).status == 200);
  }
  SECTION("a file stands where the socket should") {
    std::string path = s.dispatcher.folder() + "/tmp/oatledge.sock";
    std::filesystem::remove(path);
    std::ofstream(path) << "mine";
    s.dispatcher.kill_newest();
    CHECK(s.logged("and no socket"));
    std::string text;
    std::getline(std::ifstream(path), text);
    CHECK(text == "mine");
  }
  CHECK(serves());
  CHECK(s.dispatcher.end() == 0);
}

// Every two of what can happen to a command, in both orders and in one turn of the loop, on real
// sockets of the loopback and an injected clock: the whole program between a client, an order
// worker and discovery. Whatever crosses, the rules hold from outside, and nothing is left over. A
// play goes on when the network is at rest.
#include <functional>
#include <list>

#include "tests/loopback/loopback.h"

using namespace dispatcher;
using testing::Door;
using testing::Wire;

namespace {

constexpr const char* kAhead = "00000000000000a2";  // the command that is sent ahead

enum class Stage {
  Held,
  Sent,
  Taken
};  // of the first attempt: its last byte held back, written, answered 202

struct Scene final : testing::Loopback {
  struct Line {  // to the worker
    Wire wire;
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::string id;  // of the submit that came on it
    transport::Time began{};
    bool begins = false;
    bool broken = false;  // its first bytes came; we ended it
    bool taken = false;
    bool answered = false;  // 202 was written; another answer was
  };
  struct Watch {
    Wire wire;
    protocol::Parser parser{protocol::Parser::Kind::Request};
    bool asked = false;
  };

  Scene(const std::string& job_class, Stage stage) : Loopback(11), klass(job_class) {
    Json::Value config = example();
    config["discovery"] = lists.address;
    config["known"]["targets"][0]["endpoint"] = worker.address;
    start(config);
    for (Wire* w : {&client, &news_one, &news_two})
      dial(*w);
    settle();
    // Used once, so that none is a newcomer whose first request is waited for.
    for (Wire* w : {&news_one, &news_two}) {
      tell(*w, "started", "00000000000000ff");
      settle();
      CHECK(w->pull().starts_with("HTTP/1.1 204"));
    }
    descriptors = open_descriptors();
    waiting = deadlines.size();
    command(client, "00000000000000a1");
    settle();
    REQUIRE(calls.size() == 1);
    if (stage == Stage::Held)
      return;
    pass(3);
    REQUIRE(calls.front().id == "00000000000000a1");
    if (stage == Stage::Taken) {
      calls.front().wire.say(kTaken);
      calls.front().taken = true;
      settle();
    }
  }

  static constexpr const char* kTaken = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

  // ---- Time and the network ----

  void pass(double ms) {  // in steps that no deadline of the program is longer than
    for (transport::Time until = clock.at + transport::Duration(ms); clock.at < until;) {
      clock.at = std::min(until, clock.at + transport::Duration(500));
      for (Watch& w : watches) {  // a watch is answered in time, with no change
        if (w.asked)
          answer(w, "[]");
      }
      settle();
    }
  }

  // ---- The sides ----

  void dial(Wire& w) const {
    w.fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(w.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::size_t colon = listen_at.find(':');
    sockaddr_in to = testing::address_of(host, std::stoi(listen_at.substr(colon + 1)));
    sockaddr_in from = testing::address_of(host, 0);
    REQUIRE(bind(w.fd, reinterpret_cast<sockaddr*>(&from), sizeof from) == 0);
    REQUIRE(connect(w.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }

  void command(const Wire& w, const std::string& id) {
    handed_in[id] = clock.at;
    w.say("POST /api HTTP/1.1\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: " + klass +
          "\r\nX-Account: lanting, bento\r\nX-Time-Left-Ms: 5000\r\nX-Weight-Hint: 200000\r\n" +
          "Idempotency-Key: k-" + id + "\r\nContent-Length: 2\r\n\r\nab");
  }

  void tell(const Wire& w, const std::string& state, const std::string& id) const {
    std::string body =
        R"({"id":")" + id + R"(","from":"s-a","state":")" + state + R"(","result":"made"})";
    w.say("POST /_jobs/news HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body);
  }

  void answer(Watch& w, const std::string& targets) {
    if (targets != "[]")
      ++revision;
    std::string body =
        R"({"rev":)" + std::to_string(revision) + R"(,"all":false,"targets":)" + targets + "}";
    w.wire.say("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body);
    w.asked = false;
  }

  // Told with the next answer that the watch waits for.
  void change(const std::string& state, int boot_ms = 0) {
    changes.push_back(R"([{"uid":"s-a","endpoint":")" + worker.address +
                      R"(","az":"room","model":"std","state":")" + state + R"(","boot_ms":)" +
                      std::to_string(boot_ms) + "}]");
    tell_changes();
  }
  void tell_changes() {
    for (Watch& w : watches) {
      if (w.asked && !changes.empty())
        answer(w, std::exchange(changes, {changes.begin() + 1, changes.end()})[0]);
    }
  }

  bool serve() override {
    bool some = false;
    for (int fd; (fd = lists.next()) >= 0; some = true)
      watches.emplace_back().wire.fd = fd;
    for (int fd; (fd = worker.next()) >= 0; some = true)
      calls.emplace_back().wire.fd = fd;
    for (Watch& w : watches) {
      w.parser.feed(w.wire.pull());
      while (auto m = w.parser.next()) {
        some = w.asked = true;
        if (m->target.find("wait=0") != std::string::npos ||
            m->target.find("index") == std::string::npos)
          answer(w, "[]");
      }
    }
    tell_changes();
    std::erase_if(watches, [](const Watch& w) { return w.wire.ended; });
    for (Line& line : calls)
      some |= serve(line);
    return some;
  }

  bool serve(Line& line) {
    bool before = line.wire.ended;
    std::string got = line.wire.pull();
    if (!got.empty() && !line.begins) {
      line.begins = true;
      line.began = clock.at;
      too_late += closed_to_it && got.starts_with("POST");
    }
    line.parser.feed(got);
    while (auto m = line.parser.next())
      heard(line, *m);
    // A close before the 202 gives the attempt up.
    if (!before && line.wire.ended && !line.taken && out == line.id)
      out.clear();
    return !got.empty() || before != line.wire.ended;
  }

  void heard(Line& line, const protocol::Message& m) {
    std::string id =
        m.method == "DELETE" ? m.target.substr(6) : std::string(m.header("X-Correlation-Id"));
    if (m.method == "DELETE") {
      if (out == id)
        out.clear();
      return line.wire.say("HTTP/1.1 204 No Content\r\n\r\n");
    }
    line.id = id;
    ++begun;
    may_have_run += id == "00000000000000a1";
    twice += !out.empty() && out == id;
    // What was left to its client when it went out, at the most; a further attempt too.
    double told = std::stod(std::string(m.header("X-Time-Left-Ms")));
    told_over = std::max(told_over,
                         told - (handed_in[id] + transport::Duration(5000) - line.began).count());
    out = id;
    if (!good)
      return;
    line.wire.say(kTaken);
    line.taken = true;
    tell(news_three(), "done", id);
    out.clear();
    served = true;
  }

  Wire& news_three() {  // from here on a call-back comes on a connection of its own
    dial(more_news.emplace_back());
    return more_news.back();
  }

  std::string klass;
  Door lists{host};
  Door worker{host};
  std::list<Line> calls;
  std::list<Watch> watches;
  std::list<Wire> more_news;
  Wire client;
  Wire news_one;
  Wire news_two;
  std::vector<std::string> changes;  // that have not been told yet
  int revision = 5;
  std::string out;  // the command whose attempt has neither ended nor been given up at the worker
  bool good = false;
  bool client_left = false;
  bool closed_to_it = false;
  bool served = false;
  bool said_failed = false;
  int too_late = 0;
  int begun = 0;
  int twice = 0;
  int may_have_run = 0;
  double told_over = -1e9;  // ms
  std::map<std::string, transport::Time> handed_in;
  std::size_t descriptors = 0;
  std::size_t waiting = 0;
};

// ---- What can happen ----

struct Event {
  const char* name;
  std::function<void(Scene&)> happens;
};

const std::vector<Event>& events() {
  auto ends = [](Scene& s, bool given_up) {  // the first attempt, by the worker's word
    if (s.out == "00000000000000a1" && (given_up || !s.calls.front().taken))
      s.out.clear();
  };
  static const std::vector<Event> all = {
      {"the client ends",
       [](Scene& s) {
         s.client.finish(), s.client_left = true;
       }},
      {"the client resets",
       [](Scene& s) {
         s.client.reset(), s.client_left = true;
       }},
      {"the client sends ahead",
       [](Scene& s) {
         s.command(s.client, kAhead);
       }},
      {"202",
       [](Scene& s) {
         s.calls.front().wire.say(Scene::kTaken), s.calls.front().taken = true;
       }},
      {"handed back",
       [ends](Scene& s) {
         Scene::Line& line = s.calls.front();
         if (!line.id.empty() && !line.taken && !line.answered && !line.broken)
           --s.may_have_run;
         line.answered = true;
         line.wire.say("HTTP/1.1 503 Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
         ends(s, false);
       }},
      {"500",
       [ends](Scene& s) {
         s.calls.front().answered = true;
         s.calls.front().wire.say("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
         ends(s, false);
       }},
      {"the worker ends its connection",
       [ends](Scene& s) {
         s.calls.front().wire.close(), s.calls.front().broken = true, ends(s, false);
       }},
      {"the worker resets it",
       [ends](Scene& s) {
         s.calls.front().wire.reset(), s.calls.front().broken = true, ends(s, false);
       }},
      {"done",
       [ends](Scene& s) {
         s.tell(s.news_one, "done", "00000000000000a1");
         s.served = true, ends(s, true);
       }},
      {"failed",
       [ends](Scene& s) {
         s.tell(s.news_two, "failed", "00000000000000a1"), s.said_failed = true, ends(s, true);
       }},
      {"the worker is leaving",
       [](Scene& s) {
         s.change("draining");
       }},
      {"the worker is removed",
       [](Scene& s) {
         s.change("removed");
       }},
      {"the worker has restarted",
       [](Scene& s) {
         s.change("up", 7000);
       }},
      {"SIGTERM",
       [](Scene& s) {
         s.app->terminate();
       }},
      {"the client's time is up",
       [](Scene& s) {
         s.clock.at += transport::Duration(5000);
       }},
  };
  return all;
}

std::vector<int> statuses(std::string bytes) {
  protocol::Parser parser(protocol::Parser::Kind::Response);
  parser.feed(bytes);
  std::vector<int> out;
  while (auto m = parser.next())
    out.push_back(m->status);
  CHECK(parser.idle());  // nothing is cut
  return out;
}

enum class Order { OneTurn, Apart };

void play(const std::string& klass, Stage stage, const Event& first, const Event& second,
          Order order) {
  Scene s(klass, stage);
  auto leaves = [](const Event& e) {
    return std::string_view(e.name).starts_with("the worker is ");
  };
  first.happens(s);
  if (order == Order::Apart) {
    s.settle();
    s.closed_to_it = leaves(first);
  }
  second.happens(s);
  int begun_before_left = s.begun;
  // What has not been read before the clock moved came, for the program, when it was.
  if (order == Order::OneTurn && s.handed_in.contains(kAhead))
    s.handed_in[kAhead] = s.clock.at;
  while (!s.at_rest()) {
  }
  s.settle();
  s.closed_to_it |= leaves(first) || leaves(second);
  s.good = true;
  s.pass(7000);
  std::vector<int> got = statuses(s.client.pull());
  bool ahead = first.name == std::string("the client sends ahead") ||
               second.name == std::string("the client sends ahead");
  INFO(s.log_text);
  CHECK(s.twice == 0);
  CHECK(s.too_late == 0);
  CHECK(s.told_over <= 0);
  CHECK(s.app->router().open_requests() == 0);
  if (s.client_left) {
    CHECK(s.begun == begun_before_left);
    CHECK(s.out.empty());  // given up where it had begun
    CHECK(got.size() <= 1);
  } else {
    std::size_t wanted = ahead ? 2 : 1;
    // A close between two requests lets the client send the second again elsewhere.
    if (!(s.client.ended && got.size() == 1))
      CHECK(got.size() == wanted);
    REQUIRE(!got.empty());
    if (got[0] == 200)
      CHECK(s.served);
    CHECK((got[0] == 200 || got[0] == 502 || got[0] == 503));
    if (got[0] == 503)
      CHECK(s.may_have_run == 0);  // a refusal says so
    if (got[0] == 502)
      CHECK((s.begun > 0 || s.said_failed));  // what has not begun is refused
  }
  // Nothing is left over once all have gone.
  s.client.close();
  s.news_one.close();
  s.news_two.close();
  s.more_news.clear();
  for (Scene::Line& line : s.calls)
    line.wire.close();
  s.pass(3000);
  CHECK(s.network.accepted() == 0);
  REQUIRE(fcntl(testing::kMostDescriptors - 1, F_GETFD) <
          0);  // none beyond what at_rest() looks at
  CHECK(Scene::open_descriptors() <= s.descriptors);
  CHECK(s.deadlines.size() <= s.waiting);
}

void play_all(const std::string& klass) {
  for (Stage stage : {Stage::Held, Stage::Sent, Stage::Taken}) {
    for (const Event& first : events()) {
      for (const Event& second : events()) {
        if (&first == &second)
          continue;
        for (Order order : {Order::OneTurn, Order::Apart}) {
          INFO("stage " << static_cast<int>(stage) << ": " << first.name
                        << (order == Order::OneTurn ? ", and in the same turn: " : ", then: ")
                        << second.name);
          play(klass, stage, first, second, order);
        }
      }
    }
  }
}

}  // namespace

TEST_CASE("every two of what can happen to a command that must not run twice", "[unsafe]") {
  play_all("place-order");
}

TEST_CASE("every two of what can happen to a command that may be repeated", "[keyed]") {
  play_all("group-order");
}

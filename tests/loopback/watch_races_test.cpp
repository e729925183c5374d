// Replays every pair of events that can happen to the watch on discovery, in one loop turn and with
// a delay between them, on real loopback sockets and an injected clock. In every race a change must
// take effect within 6 s after discovery knows it and is reachable: from then on a draining worker
// gets no requests.
#include <functional>
#include <list>

#include "tests/loopback/loopback.h"

using namespace dispatcher;
using testing::Listener;
using testing::PeerSocket;

namespace {

constexpr double kMaxEffectDelayMs = 6000;
constexpr double kStepMs = 50;
// Allowance for discovery's answer to the poll that brings the change.
constexpr double kAnswerMs = 20;

struct Deployment {
  const char* name;
  int dispatchers;
  bool pushed;
};

struct WatchRace final : testing::Loopback {
  struct WatchConnection {
    PeerSocket socket;
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::optional<transport::Time> polled;
    std::optional<transport::Time> wait_ends;  // if there are no changes until then
    bool silent = false;
    bool snapshot = false;
    bool refused = false;
    int from_revision = 0;
  };

  explicit WatchRace(const Deployment& deployment) : Loopback(12) {
    config = example_config();
    config["discovery"] = discovery.address;
    config["known"]["targets"][0]["endpoint"] = worker.address;
    config["settings"]["Balancers"] = deployment.dispatchers;
    config["settings"]["Index"] = deployment.dispatchers - 1;  // the one whose polls wait longest
    if (deployment.pushed)
      config["settings"]["Discovery"] = "automatic";
    start(config);
    advance(4000);  // in a large fleet the first poll may be delayed
    REQUIRE(watches.size() == 1);
    REQUIRE(watches.front().polled);
  }

  void advance(double ms) {
    for (transport::Time until = clock.at + transport::Duration(ms); clock.at < until;) {
      clock.at += transport::Duration(kStepMs);
      settle();
    }
  }

  void reload() {
    config["discovery"] = other_discovery.address;
    Loopback::reload(config);
  }

  bool serve_peers() override {
    bool active = false;
    for (Listener* listener : {&discovery, &other_discovery}) {
      for (int fd; (fd = listener->accept()) >= 0; active = true)
        watches.emplace_back().socket.fd = fd;
    }
    for (WatchConnection& watch : watches) {
      watch.parser.feed(watch.socket.receive());
      while (auto message = watch.parser.next()) {
        active = true;
        watch.polled = clock.at;
        watch.refused = clock.at < refuses_until;
        std::size_t index = message->target.find("index=");
        std::size_t wait = message->target.find("wait=");
        watch.snapshot = index == std::string::npos;
        watch.from_revision = watch.snapshot ? 0 : std::stoi(message->target.substr(index + 6));
        watch.wait_ends =
            clock.at +
            transport::Duration(watch.snapshot ? 0 : std::stod(message->target.substr(wait + 5)));
      }
      active |= answer(watch);
    }
    std::erase_if(watches, [](const WatchConnection& watch) {
      return watch.socket.closed_by_program || watch.socket.fd < 0;
    });
    return active;
  }

  bool answer(WatchConnection& watch) {
    if (!watch.polled || watch.silent)
      return false;
    // The poll has waited too long in discovery's queue, although new polls would be served by now.
    if (watch.refused) {
      if (clock.at - *watch.polled < transport::Duration(3000))
        return false;
      watch.socket.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      watch.polled.reset();
      return true;
    }
    bool has_changes = watch.from_revision < revision || watch.snapshot;
    if (!has_changes && clock.at < *watch.wait_ends)
      return false;
    watch.polled.reset();
    watch.socket.send(response(list(watch.snapshot || sends_snapshots, has_changes)));
    return true;
  }

  std::string list(bool all, bool has_changes) const {
    std::string targets;
    if (has_changes || all) {
      targets = R"({"uid":"s-a","endpoint":")" + worker.address +
                R"(","az":"room","model":"std","state":")" + (changed ? "draining" : "up") +
                R"(","boot_ms":0,"note":{"of":["no","use"]}})";
    }
    return "{\n  \"rev\": " + std::to_string(revision) +
           ",\n  \"all\": " + (all ? "true" : "false") + ",\n  \"targets\": [" + targets + "]\n}";
  }

  static std::string response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void for_each_watch(const std::function<void(WatchConnection&)>& action) {
    for (WatchConnection& watch : watches)
      action(watch);
  }
  // Answers the waiting poll, if there is one.
  void answer_with(const std::string& bytes, bool then_silent = false) {
    for_each_watch([&](WatchConnection& watch) {
      if (!watch.polled || watch.silent)
        return;
      watch.socket.send(bytes);
      watch.polled.reset();
      watch.silent = then_silent;
    });
  }

  Listener discovery{host};
  Listener other_discovery{host};
  Listener worker{host};
  Json::Value config;
  std::list<WatchConnection> watches;
  int revision = 5;
  bool changed = false;
  bool sends_snapshots = false;
  transport::Time refuses_until{};
};

struct Event {
  const char* name;
  std::function<void(WatchRace&)> apply;
};

const std::vector<Event>& events() {
  using WatchConnection = WatchRace::WatchConnection;
  static const std::vector<Event> all = {
      {"discovery falls silent",
       [](WatchRace& race) {
         race.for_each_watch([](WatchConnection& watch) { watch.silent = true; });
       }},
      {"discovery closes the connection",
       [](WatchRace& race) {
         race.for_each_watch([](WatchConnection& watch) { watch.socket.close(); });
       }},
      {"discovery resets the connection",
       [](WatchRace& race) {
         race.for_each_watch([](WatchConnection& watch) { watch.socket.reset(); });
       }},
      {"an answer 503",
       [](WatchRace& race) {
         race.answer_with("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
       }},
      {"an answer without changes",
       [](WatchRace& race) {
         race.answer_with(WatchRace::response(race.list(false, false)));
       }},
      {"the head of an answer, then silence",
       [](WatchRace& race) {
         race.answer_with("HTTP/1.1 200 OK\r\nContent-Le", true);
       }},
      {"half of an answer, then silence",
       [](WatchRace& race) {
         race.answer_with("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":", true);
       }},
      {"an answer that is not JSON",
       [](WatchRace& race) {
         race.answer_with(WatchRace::response("{\"rev\":5,"));
       }},
      {"a list with wrong types",
       [](WatchRace& race) {
         race.answer_with(WatchRace::response(R"({"rev":"5","all":1,"targets":{}})"));
       }},
      {"an older revision",
       [](WatchRace& race) {
         race.answer_with(WatchRace::response(R"({"rev":2,"all":false,"targets":[]})"));
       }},
      {"two answers at once",
       [](WatchRace& race) {
         std::string one = WatchRace::response(race.list(false, false));
         race.answer_with(one + one);
       }},
      {"snapshots from now on",
       [](WatchRace& race) {
         race.sends_snapshots = true;
       }},
      {"polls of the next 2 s are refused",
       [](WatchRace& race) {
         race.refuses_until = race.clock.at + transport::Duration(2000);
       }},
      {"SIGHUP changes the address of discovery",
       [](WatchRace& race) {
         race.reload();
       }},
  };
  return all;
}

double replay(const Deployment& deployment, const Event& first, const Event& second,
              double apart_ms) {
  WatchRace race(deployment);
  first.apply(race);
  if (apart_ms > 0)
    race.advance(apart_ms);
  second.apply(race);
  // Discovery knows the change from here on and is reachable once it refuses no polls any more.
  race.changed = true;
  ++race.revision;
  transport::Time since = std::max(race.clock.at, race.refuses_until);
  race.settle();
  while (!race.app->router().avoids("s-a") &&
         race.clock.at - since < transport::Duration(2 * kMaxEffectDelayMs))
    race.advance(kStepMs);
  INFO(race.log_text);
  double took_ms = (race.clock.at - since).count();
  CHECK(took_ms + kAnswerMs <= kMaxEffectDelayMs);
  // The watch recovers on a single connection, even if a poll after the change was made within the
  // 2 s, refused 3 s later and followed by the longest backoff of 1.5 s.
  race.advance(7000);
  CHECK(std::ranges::count_if(
            race.watches, [](const auto& watch) { return watch.polled && !watch.silent; }) == 1);
  CHECK(race.watches.size() == 1);
  return took_ms;
}

}  // namespace

TEST_CASE("a change takes effect in time after any two events on the watch", "[watch]") {
  double longest_ms = 0;
  for (const Deployment& deployment : {Deployment{"polled, 3 dispatchers", 3, false},
                                       Deployment{"polled, 300 dispatchers", 300, false},
                                       Deployment{"pushed, 300 dispatchers", 300, true}}) {
    for (const Event& first : events()) {
      for (const Event& second : events()) {
        for (double apart_ms : {0.0, kStepMs, 1000.0}) {
          INFO(deployment.name << ": " << first.name << ", " << apart_ms
                               << " ms later: " << second.name);
          longest_ms = std::max(longest_ms, replay(deployment, first, second, apart_ms));
        }
      }
    }
  }
  WARN("a change took effect after " << longest_ms << " ms at the most");
}

// Every two of what can happen to the watch on discovery, in one turn of the loop and apart, on
// real sockets of the loopback and an injected clock. Whatever crosses, a change counts 6 s after
// discovery had it and could be reached: from then on an worker that is leaving gets nothing.
#include <functional>
#include <list>

#include "tests/loopback/loopback.h"

using namespace dispatcher;
using testing::Door;
using testing::Wire;

namespace {

constexpr double kCounts = 6000;
constexpr double kStep = 50;    // ms
constexpr double kAnswer = 20;  // of discovery, to the call that brings the change

struct Setting {
  const char* name;
  int dispatchers;
  bool pushed;
};

struct WatchScene final : testing::Loopback {
  struct Line {
    Wire wire;
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::optional<transport::Time> asked;
    std::optional<transport::Time> until;  // a call that waits here, and when it is over
    bool silent = false;
    bool whole = false;
    bool refused = false;  // whole: it asked for all
    int from = 0;
  };

  explicit WatchScene(const Setting& setting) : Loopback(12) {
    config = example();
    config["discovery"] = here.address;
    config["known"]["targets"][0]["endpoint"] = worker.address;
    config["settings"]["Balancers"] = setting.dispatchers;
    config["settings"]["Index"] = setting.dispatchers - 1;  // whose watch waits longest
    if (setting.pushed)
      config["settings"]["Discovery"] = "automatic";
    start(config);
    pass(4000);  // a first call may be put off where dispatchers are many; then the watch stands
    REQUIRE(lines.size() == 1);
    REQUIRE(lines.front().asked);
  }

  void pass(double ms) {
    for (transport::Time until = clock.at + transport::Duration(ms); clock.at < until;) {
      clock.at += transport::Duration(kStep);
      settle();
    }
  }

  void reload() {
    config["discovery"] = there.address;
    auto nothing = [](const char*) {
      return std::string();
    };
    app->reload(program::read_config(config.toStyledString(), nothing, transport::Duration(0),
                                     program::Occasion::Reload, app->in_force()));
  }

  bool serve() override {
    bool some = false;
    for (Door* door : {&here, &there}) {
      for (int fd; (fd = door->next()) >= 0; some = true)
        lines.emplace_back().wire.fd = fd;
    }
    for (Line& line : lines) {
      line.parser.feed(line.wire.pull());
      while (auto m = line.parser.next()) {
        some = true;
        line.asked = clock.at;
        line.refused = clock.at < refuses_until;
        std::size_t index = m->target.find("index=");
        std::size_t wait = m->target.find("wait=");
        line.whole = index == std::string::npos;
        line.from = line.whole ? 0 : std::stoi(m->target.substr(index + 6));
        line.until =
            clock.at + transport::Duration(line.whole ? 0 : std::stod(m->target.substr(wait + 5)));
      }
      some |= tell(line);
    }
    std::erase_if(lines, [](const Line& line) { return line.wire.ended || line.wire.fd < 0; });
    return some;
  }

  bool tell(Line& line) {
    if (!line.asked || line.silent)
      return false;
    if (line.refused) {  // it has waited too long for its turn, though others would be served by
                         // now
      if (clock.at - *line.asked < transport::Duration(3000))
        return false;
      line.wire.say("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      return line.asked.reset(), true;
    }
    bool news = line.from < revision || line.whole;
    if (!news && clock.at < *line.until)
      return false;
    return line.asked.reset(), line.wire.say(written(list(line.whole || whole_lists, news))), true;
  }

  std::string list(bool all, bool news) const {
    std::string targets;
    if (news || all) {
      targets = R"({"uid":"s-a","endpoint":")" + worker.address +
                R"(","az":"room","model":"std","state":")" + (changed ? "draining" : "up") +
                R"(","boot_ms":0,"note":{"of":["no","use"]}})";
    }
    return "{\n  \"rev\": " + std::to_string(revision) +
           ",\n  \"all\": " + (all ? "true" : "false") + ",\n  \"targets\": [" + targets + "]\n}";
  }

  static std::string written(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void each(const std::function<void(Line&)>& call) {
    for (Line& line : lines)
      call(line);
  }
  // To the call that waits; where none does, to nobody.
  void answer_with(const std::string& bytes, bool then_silent = false) {
    each([&](Line& line) {
      if (!line.asked || line.silent)
        return;
      line.wire.say(bytes), line.asked.reset(), line.silent = then_silent;
    });
  }

  Door here{host};
  Door there{host};
  Door worker{host};
  Json::Value config;
  std::list<Line> lines;
  int revision = 5;
  bool changed = false;
  bool whole_lists = false;
  transport::Time refuses_until{};
};

struct Event {
  const char* name;
  std::function<void(WatchScene&)> happens;
};

const std::vector<Event>& events() {
  using Line = WatchScene::Line;
  static const std::vector<Event> all = {
      {"it falls silent",
       [](WatchScene& s) {
         s.each([](Line& line) { line.silent = true; });
       }},
      {"it ends",
       [](WatchScene& s) {
         s.each([](Line& line) { line.wire.close(); });
       }},
      {"it is reset",
       [](WatchScene& s) {
         s.each([](Line& line) { line.wire.reset(); });
       }},
      {"503",
       [](WatchScene& s) {
         s.answer_with("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
       }},
      {"an answer with no change",
       [](WatchScene& s) {
         s.answer_with(WatchScene::written(s.list(false, false)));
       }},
      {"the head of an answer, then silence",
       [](WatchScene& s) {
         s.answer_with("HTTP/1.1 200 OK\r\nContent-Le", true);
       }},
      {"half of an answer, then silence",
       [](WatchScene& s) {
         s.answer_with("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":", true);
       }},
      {"no JSON",
       [](WatchScene& s) {
         s.answer_with(WatchScene::written("{\"rev\":5,"));
       }},
      {"a list of the wrong types",
       [](WatchScene& s) {
         s.answer_with(WatchScene::written(R"({"rev":"5","all":1,"targets":{}})"));
       }},
      {"an older revision",
       [](WatchScene& s) {
         s.answer_with(WatchScene::written(R"({"rev":2,"all":false,"targets":[]})"));
       }},
      {"two answers at once",
       [](WatchScene& s) {
         std::string one = WatchScene::written(s.list(false, false));
         s.answer_with(one + one);
       }},
      {"whole lists from now on",
       [](WatchScene& s) {
         s.whole_lists = true;
       }},
      {"calls of the next 2 s are refused",
       [](WatchScene& s) {
         s.refuses_until = s.clock.at + transport::Duration(2000);
       }},
      {"SIGHUP moves discovery",
       [](WatchScene& s) {
         s.reload();
       }},
  };
  return all;
}

double play(const Setting& setting, const Event& first, const Event& second, double apart) {
  WatchScene s(setting);
  first.happens(s);
  if (apart > 0)
    s.pass(apart);
  second.happens(s);
  // The change: known to discovery from here on, which can be reached once it refuses nobody any
  // more.
  s.changed = true;
  ++s.revision;
  transport::Time since = std::max(s.clock.at, s.refuses_until);
  s.settle();
  while (!s.app->router().avoids("s-a") && s.clock.at - since < transport::Duration(2 * kCounts))
    s.pass(kStep);
  INFO(s.log_text);
  double took = (s.clock.at - since).count();
  CHECK(took + kAnswer <= kCounts);
  // And the watch stands again, on one connection, also where the call after the change, made
  // within the 2 s, was refused 3 s later and the longest pause of 1.5 s followed.
  s.pass(7000);
  CHECK(std::ranges::count_if(s.lines,
                              [](const auto& line) { return line.asked && !line.silent; }) == 1);
  CHECK(s.lines.size() == 1);
  return took;
}

}  // namespace

TEST_CASE("every two of what can happen to the watch on discovery", "[watch]") {
  double longest = 0;
  for (const Setting& setting :
       {Setting{"asked, few dispatchers", 3, false}, Setting{"asked, 300", 300, false},
        Setting{"pushed, 300", 300, true}}) {
    for (const Event& first : events()) {
      for (const Event& second : events()) {
        for (double apart : {0.0, kStep, 1000.0}) {
          INFO(setting.name << ": " << first.name << ", " << apart << " ms later: " << second.name);
          longest = std::max(longest, play(setting, first, second, apart));
        }
      }
    }
  }
  WARN("a change counted " << longest << " ms later at the most");
}

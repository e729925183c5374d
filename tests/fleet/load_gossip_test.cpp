// What dispatchers tell each other, without sockets.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "fleet/load_gossip.h"

using namespace dispatcher::fleet;

namespace {

constexpr int kFleet = 100;

std::string worker(int i) {
  return "s-" + std::to_string(i);
}

// The first worker that dispatcher `self` is near to.
std::string near_worker(int self) {
  for (int i = 0;; ++i) {
    auto near = neighborhood_of(worker(i), kFleet);
    if (std::count(near.begin(), near.end(), self))
      return worker(i);
  }
}

// All that `from` tells of a worker now, as the first that hears of it gets it.
std::string tells(LoadGossip& from, double ms, const std::string& worker, int jobs) {
  from.announce(Time(Duration(ms)), worker, jobs);
  auto messages = from.due(Time(Duration(ms) + kLeft));  // whether it rose or fell
  return messages.empty() ? std::string() : messages[0].bytes;
}

Time at(double ms) {
  return Time(Duration(ms));
}

struct Heard {
  std::map<std::string, int> jobs;
  LoadGossip::Changed changed = [this](const std::string& worker, int n) {
    jobs[worker] = n;
  };
};

// A dispatcher, the worker it is near to, and what two others that are near say of it.
struct Three {
  std::string w = near_worker(0);
  LoadGossip self{0, kFleet};
  Heard heard;
  Heard unused;
  std::vector<int> others = (self.list({w}, heard.changed), self.listeners(w));
  LoadGossip first{others.at(0), kFleet};
  LoadGossip second{others.at(1), kFleet};
  Three() { first.list({w}, unused.changed), second.list({w}, unused.changed); }
};

}  // namespace

TEST_CASE("as many dispatchers are near to each worker, and few workers near to each") {
  std::map<int, int> of_each;
  for (int i = 0; i < 600; ++i) {
    auto near = neighborhood_of(worker(i), kFleet);
    REQUIRE(std::set<int>(near.begin(), near.end()).size() == 8);
    for (int d : near)
      ++of_each[d];
  }
  for (int d = 0; d < kFleet; ++d) {  // 48 on average
    CHECK(of_each[d] > 20);
    CHECK(of_each[d] < 80);
  }
  CHECK(neighborhood_of("s-1", 3).size() == 3);  // in a small fleet all are near
  LoadGossip alone(0, 1);
  Heard heard;
  alone.list({"s-1"}, heard.changed);
  CHECK(tells(alone, 0, "s-1", 2).empty());
}

TEST_CASE("what one tells the others near hear, and nobody else") {
  Three t;
  REQUIRE(t.others.size() == 7);
  std::string two = tells(t.self, 0, t.w, 2);
  CHECK(two.size() == 3);
  CHECK(tells(t.self, 0, t.w, 2).empty());  // nothing new
  for (int d = 1; d < kFleet; ++d) {
    LoadGossip receiver(d, kFleet);
    Heard heard;
    receiver.list({t.w}, heard.changed);
    CHECK(receiver.take(at(0), 0, two, heard.changed));
    bool near = std::count(t.others.begin(), t.others.end(), d) > 0;
    CHECK(heard.jobs ==
          (near ? std::map<std::string, int>{{t.w, 2}} : std::map<std::string, int>{}));
  }
}

TEST_CASE("the latest number of each sender counts, and none for ever") {
  Three t;
  std::string three = tells(t.first, 0, t.w, 3);
  std::string one = tells(t.second, 0, t.w, 1);
  std::string none = tells(t.second, 1, t.w, 0);
  auto take = [&](double ms, int sender, const std::string& message) {
    CHECK(t.self.take(at(ms), t.others[sender], message, t.heard.changed));
    return t.heard.jobs.at(t.w);
  };
  CHECK(take(0, 0, three) == 3);
  CHECK(take(0, 0, three) == 3);  // doubled on the way
  CHECK(take(5000, 1, one) == 4);
  t.self.expire(at(10001), t.heard.changed);
  CHECK(t.heard.jobs.at(t.w) == 1);
  CHECK(take(10002, 1, none) == 0);
  t.self.list({}, t.heard.changed);  // gone from the own list: gossip does not bring it back
  CHECK(take(10003, 0, three) == 0);
}

TEST_CASE("a count that fell waits while somebody is idle, and rides where a message goes anyway") {
  LoadGossip a(0, 3);
  LoadGossip b(1, 3);  // a small fleet: all are near to all
  Heard heard;
  Heard at_b;
  a.list({"s-1", "s-2", "s-3"}, heard.changed);
  b.list({"s-1", "s-2", "s-3"}, at_b.changed);
  auto hear = [&](const std::vector<LoadGossip::Message>& messages) {
    for (const auto& m : messages) {
      if (m.to == 1)
        CHECK(b.take(at(0), 0, m.bytes, at_b.changed));
    }
    return messages.size();
  };
  auto announce = [&](double ms, const std::string& w, int jobs) {
    a.announce(at(ms), w, jobs);
    return hear(a.due(at(ms)));
  };
  CHECK(announce(0, "s-1", 2) == 2);   // one to each of the others
  CHECK(announce(10, "s-1", 1) == 2);  // nobody is known to be idle: somebody may wait for the slot
  CHECK(announce(20, "s-2", 1) == 2);
  CHECK(announce(30, "s-2", 0) == 0);  // s-2 has nothing to do now
  CHECK(announce(40, "s-1", 0) == 0);
  CHECK(at_b.jobs == std::map<std::string, int>{{"s-1", 1}, {"s-2", 1}, {"s-3", 0}});
  SECTION("until the longest that it may wait") {
    CHECK(hear(a.due(at(329))) == 0);
    CHECK(hear(a.due(at(331))) == 2);
    CHECK(at_b.jobs == std::map<std::string, int>{{"s-1", 0}, {"s-2", 0}, {"s-3", 0}});
    CHECK_FALSE(a.waits());
  }
  SECTION("until something rises, in one message with it") {
    CHECK(announce(50, "s-3", 1) == 2);
    CHECK(at_b.jobs == std::map<std::string, int>{{"s-1", 0}, {"s-2", 0}, {"s-3", 1}});
  }
  SECTION("and is not told where it has risen again") {
    CHECK(announce(50, "s-1", 1) == 0);
    CHECK(announce(60, "s-2", 1) == 0);
    CHECK_FALSE(a.waits());
  }
  SECTION("or goes with a datagram of another kind") {
    std::string bytes = a.riding(at(50), 1, 200);
    CHECK(bytes.size() == 6);
    CHECK(b.take(at(50), 0, bytes, at_b.changed));
    CHECK(at_b.jobs == std::map<std::string, int>{{"s-1", 0}, {"s-2", 0}, {"s-3", 0}});
    CHECK(hear(a.due(at(400))) == 1);  // the third has not heard yet
    CHECK_FALSE(a.waits());
  }
  SECTION("and what stands is told again in half the time that it counts") {
    CHECK(announce(50, "s-3", 1) == 2);
    CHECK(hear(a.due(at(5000))) == 0);
    CHECK(hear(a.due(at(5400))) == 2);
    a.hears(2, false);  // it is held dead
    CHECK(announce(5401, "s-3", 2) == 1);
    CHECK_FALSE(a.waits());
    a.hears(2, true);  // and has started again
    CHECK(hear(a.due(at(5402))) == 1);
  }
}

TEST_CASE("what is told of many workers at once fits the room that a seal leaves") {
  LoadGossip a(0, 2);
  Heard heard;
  std::vector<std::string> all;
  for (int i = 0; i < 200; ++i)
    all.push_back(worker(i));
  a.list(all, heard.changed);
  for (const std::string& w : all)
    a.announce(at(0), w, 1);
  std::size_t told = 0;
  for (const auto& m : a.due(at(0), 223)) {
    CHECK(m.bytes.size() <= 223);
    told += m.bytes.size() / 3;
  }
  CHECK(told >= 199);  // two may share a short name
}

TEST_CASE("what is no message of ours changes nothing") {
  Three t;
  std::string good = tells(t.first, 0, t.w, 3);
  std::string wrong_version = good + good;
  std::string too_long;
  wrong_version[3] = static_cast<char>(2 << 4 | 1);
  while (too_long.size() <= kLongest)
    too_long += good;
  for (const std::string& bad : {std::string(), good.substr(0, 1), good.substr(0, 2), good + "x",
                                 wrong_version, too_long, std::string(255, '\0')})
    CHECK_FALSE(t.self.take(at(0), t.others[0], bad, t.heard.changed));
  CHECK(t.heard.jobs.at(t.w) == 0);
}

TEST_CASE("no single dispatcher can make the fleet look full") {
  std::vector<std::string> all;
  for (int i = 0; i < 600; ++i)
    all.push_back(worker(i));
  LoadGossip a(0, kFleet);
  Heard heard;
  a.list(all, heard.changed);
  for (const std::string& w : all) {  // it claims 15 at each, whether it is near or not
    LoadGossip twin(neighborhood_of(w, kFleet)[0] == 0 ? neighborhood_of(w, kFleet)[1]
                                                       : neighborhood_of(w, kFleet)[0],
                    kFleet);
    Heard unused;
    twin.list({w}, unused.changed);
    CHECK(a.take(at(0), 1, tells(twin, 0, w, 15), heard.changed));
  }
  int believed = 0;
  for (const auto& [w, n] : heard.jobs)
    believed += n;
  CHECK(believed == kMaxJobsPerSender);
}

// Guards against jobs of a process that has been restarted, which the others count for ten seconds.
TEST_CASE("a process that restates its counts replaces what the one before it announced") {
  Three s;
  Heard at_first;
  s.first.take(at(0), 0, tells(s.self, 0, s.w, 5), at_first.changed);
  REQUIRE(at_first.jobs[s.w] == 5);
  LoadGossip restarted(0, kFleet);
  SECTION("before the first endpoint list") {
    restarted.restate_counts(at(1000));
    CHECK(restarted.due(at(1000)).empty());
    restarted.list({s.w}, s.unused.changed);
  }
  SECTION("after it") {
    restarted.list({s.w}, s.unused.changed);
    CHECK(restarted.due(at(1000)).empty());
    restarted.restate_counts(at(1000));
  }
  auto messages = restarted.due(at(1000));
  CHECK(messages.size() == s.others.size());
  for (const LoadGossip::Message& message : messages)
    s.first.take(at(1001), 0, message.bytes, at_first.changed);
  CHECK(at_first.jobs[s.w] == 0);
  CHECK(restarted.due(at(2000)).empty());
}

// What dispatchers tell each other, without sockets.
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "../../src/fleet/loads.h"

using namespace oatledge::fleet;

namespace {

constexpr int kFleet = 100;

std::string worker(int i) { return "s-" + std::to_string(i); }

// The first worker that dispatcher `self` is near to.
std::string near_worker(int self) {
  for (int i = 0;; ++i) {
    auto near = near_to(worker(i), kFleet);
    if (std::count(near.begin(), near.end(), self)) return worker(i);
  }
}

Time at(double ms) { return Time(Duration(ms)); }

struct Heard {
  std::map<std::string, int> jobs;
  Loads::Changed changed = [this](const std::string& worker, int n) { jobs[worker] = n; };
};

// A dispatcher, the worker it is near to, and what two others that are near say of it.
struct Three {
  std::string w = near_worker(0);
  Loads self{0, kFleet};
  Heard heard, unused;
  std::vector<int> others = (self.list({w}, heard.changed), self.listeners(w));
  Loads first{others.at(0), kFleet}, second{others.at(1), kFleet};
  Three() { first.list({w}, unused.changed), second.list({w}, unused.changed); }
};

}  // namespace

TEST_CASE("as many dispatchers are near to each worker, and few workers near to each") {
  std::map<int, int> of_each;
  for (int i = 0; i < 600; ++i) {
    auto near = near_to(worker(i), kFleet);
    REQUIRE(std::set<int>(near.begin(), near.end()).size() == 8);
    for (int d : near) ++of_each[d];
  }
  for (int d = 0; d < kFleet; ++d) {  // 48 on average
    CHECK(of_each[d] > 20);
    CHECK(of_each[d] < 80);
  }
  CHECK(near_to("s-1", 3).size() == 3);  // in a small fleet all are near
  Loads alone(0, 1);
  Heard heard;
  alone.list({"s-1"}, heard.changed);
  CHECK(alone.tell("s-1", 2).empty());
}

TEST_CASE("what one tells the others near hear, and nobody else") {
  Three t;
  REQUIRE(t.others.size() == 7);
  std::string two = t.self.tell(t.w, 2);
  CHECK(two.size() == 3);
  CHECK(t.self.tell(t.w, 2).empty());  // nothing new
  for (int d = 1; d < kFleet; ++d) {
    Loads receiver(d, kFleet);
    Heard heard;
    receiver.list({t.w}, heard.changed);
    CHECK(receiver.take(at(0), 0, two, heard.changed));
    bool near = std::count(t.others.begin(), t.others.end(), d) > 0;
    CHECK(heard.jobs == (near ? std::map<std::string, int>{{t.w, 2}} : std::map<std::string, int>{}));
  }
}

TEST_CASE("the latest number of each sender counts, and none for ever") {
  Three t;
  std::string three = t.first.tell(t.w, 3), one = t.second.tell(t.w, 1), none = t.second.tell(t.w, 0);
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
  t.self.list({}, t.heard.changed);  // gone from the own list: hearsay does not bring it back
  CHECK(take(10003, 0, three) == 0);
}

TEST_CASE("what is no message of ours changes nothing") {
  Three t;
  std::string good = t.first.tell(t.w, 3), wrong_version = good + good, too_long;
  wrong_version[3] = static_cast<char>(2 << 4 | 1);
  while (too_long.size() <= kLongest) too_long += good;
  for (const std::string& bad : {std::string(), good.substr(0, 1), good.substr(0, 2), good + "x",
                                 wrong_version, too_long, std::string(255, '\0')})
    CHECK_FALSE(t.self.take(at(0), t.others[0], bad, t.heard.changed));
  CHECK(t.heard.jobs.at(t.w) == 0);
}

TEST_CASE("no single dispatcher can make the fleet look full") {
  std::vector<std::string> all;
  for (int i = 0; i < 600; ++i) all.push_back(worker(i));
  Loads a(0, kFleet);
  Heard heard;
  a.list(all, heard.changed);
  for (const std::string& w : all) {  // it claims 15 at each, whether it is near or not
    Loads twin(near_to(w, kFleet)[0] == 0 ? near_to(w, kFleet)[1] : near_to(w, kFleet)[0], kFleet);
    Heard unused;
    twin.list({w}, unused.changed);
    CHECK(a.take(at(0), 1, twin.tell(w, 15), heard.changed));
  }
  int believed = 0;
  for (const auto& [w, n] : heard.jobs) believed += n;
  CHECK(believed == kMostOfOne);
}

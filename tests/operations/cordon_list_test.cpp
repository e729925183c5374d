// Cordons that operators call for at any process of a hot restart, in every order in which the
// calls and the endpoint list can arrive.
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "operations/cordon_list.h"

using namespace dispatcher;
using operations::CordonChange;
using operations::CordonList;
using scheduling::Readiness;

namespace {

constexpr const char* kWorker = "s-1";

scheduling::Time at(double ms) {
  return scheduling::Time(scheduling::Duration(ms));
}

protocol::WorkerEndpoint endpoint(const std::string& uid, Readiness readiness = Readiness::Ready) {
  protocol::WorkerEndpoint listed;
  listed.uid = uid;
  listed.entry.readiness = readiness;
  listed.entry.online_since = at(1);
  return listed;
}

// Lists the worker and returns what the scheduler is told of it.
scheduling::WorkerEntry list_worker(CordonList& list, bool snapshot) {
  return list.apply({1, snapshot, {endpoint(kWorker)}}).entries.at(0).entry;
}

void remove_worker(CordonList& list, bool snapshot) {
  std::vector<protocol::WorkerEndpoint> entries;
  if (!snapshot)
    entries.push_back(endpoint(kWorker, Readiness::Removed));
  list.apply({2, snapshot, entries});
}

CordonChange change(bool cordoned, double ms, const std::string& uid = kWorker) {
  return {.worker = uid, .cordoned = cordoned, .time = at(ms)};
}

// The state that a further process of a hot restart gets.
CordonList next_process(const CordonList& list) {
  CordonList next;
  next.replace_cordons(list.cordons_by_uid());
  return next;
}

}  // namespace

// Guards against forgetting a call that another process has acknowledged, since the worker is not
// listed here: docs/incidents/cordon-of-an-unlisted-worker.md.
TEST_CASE("an acknowledged cordon of an unlisted worker holds once the worker is listed") {
  for (bool snapshot : {true, false}) {
    for (int restarts : {0, 1, 2, 3}) {
      INFO((snapshot ? "snapshot" : "delta") << " after " << restarts << " restarts");
      CordonList list;
      CHECK(list.apply_acknowledged(change(true, 10)));
      for (int i = 0; i < restarts; ++i)
        list = next_process(list);
      CHECK(list_worker(list, snapshot).readiness == Readiness::Draining);
      remove_worker(list, snapshot);
      CHECK(list_worker(list, snapshot).readiness == Readiness::Draining);
      remove_worker(list, snapshot);
      CHECK(list.apply_acknowledged(change(false, 20)));
      scheduling::WorkerEntry uncordoned = list_worker(list, snapshot);
      CHECK(uncordoned.readiness == Readiness::Ready);
      CHECK(uncordoned.online_since == at(20));  // it may have been restarted in between
    }
  }
}

// Guards against two processes that end with different answers to two calls that crossed.
TEST_CASE("of two acknowledged calls the later one holds, whichever arrives first") {
  for (bool later_cordons : {true, false}) {
    for (bool listed_first : {true, false}) {
      std::vector<Readiness> outcomes;
      for (bool later_first : {true, false}) {
        CordonList list;
        if (listed_first)
          list_worker(list, true);
        list.apply_acknowledged(change(later_first == later_cordons, later_first ? 20 : 10));
        list.apply_acknowledged(change(later_first != later_cordons, later_first ? 10 : 20));
        CordonList next = next_process(list);
        for (CordonList* process : {&list, &next})
          outcomes.push_back(list_worker(*process, true).readiness);
      }
      Readiness expected = later_cordons ? Readiness::Draining : Readiness::Ready;
      CHECK(outcomes == std::vector<Readiness>(4, expected));
    }
  }
}

TEST_CASE("a repeated cordon call is later than an uncordon call that arrives after it") {
  CordonList list;
  list_worker(list, true);
  CHECK(list.cordon(kWorker, at(10)));
  CHECK(list.cordon(kWorker, at(30)));
  CHECK_FALSE(list.apply_acknowledged(change(false, 20)));
  CHECK(list_worker(list, true).readiness == Readiness::Draining);
  CHECK(list.uncordon(kWorker, at(40)));  // one call undoes both
  CHECK(list_worker(list, true).readiness == Readiness::Ready);
}

TEST_CASE("a call for an unknown worker is rejected and records nothing") {
  CordonList list;
  list_worker(list, true);
  CHECK_FALSE(list.cordon("s-unknown", at(10)));
  CHECK_FALSE(list.uncordon("s-unknown", at(10)));
  CHECK(list.cordons_by_uid().empty());
  // An uncordon call for a worker that is not cordoned leaves its start time alone.
  CHECK(list.uncordon(kWorker, at(10)));
  CHECK(list_worker(list, true).online_since == at(1));
  remove_worker(list, true);
  CHECK_FALSE(list.uncordon(kWorker, at(11)));
  CHECK_FALSE(list.cordon(kWorker, at(11)));
}

TEST_CASE("the start time is as reported once discovery reports a restart during the cordon") {
  CordonList list;
  list_worker(list, true);
  list.cordon(kWorker, at(10));
  list.uncordon(kWorker, at(20));
  CHECK(list_worker(list, true).online_since == at(20));
  protocol::WorkerEndpoint restarted = endpoint(kWorker);
  restarted.entry.online_since = at(15);
  CHECK(list.apply({3, true, {restarted}}).entries.at(0).entry.online_since == at(15));
}

// Guards against records that grow without end, of workers that are never listed or gone for good.
TEST_CASE("records of workers that are not listed or not affected are bounded") {
  constexpr int kCalls = 5000;
  CordonList list;
  list_worker(list, true);
  REQUIRE(list.cordon(kWorker, at(1)));
  for (int i = 0; i < kCalls; ++i)
    list.apply_acknowledged(change(true, 10 + i, "s-never-" + std::to_string(i)));
  CHECK(list.cordons_by_uid().size() == CordonList::kMaxUnlistedRecords + 1);
  CHECK(list.dropped_cordons() == kCalls - CordonList::kMaxUnlistedRecords);
  CHECK(list.cordons_by_uid().contains("s-never-" + std::to_string(kCalls - 1)));
  CHECK(list_worker(list, false).readiness == Readiness::Draining);

  CordonList churned;
  for (int i = 0; i < kCalls; ++i) {
    std::string uid = "s-" + std::to_string(i);
    churned.apply({i, false, {endpoint(uid)}});
    REQUIRE(churned.uncordon(uid, at(10 + i)));
  }
  churned.apply({kCalls, false, {endpoint(kWorker)}});
  CHECK(churned.cordons_by_uid().size() <= CordonList::kMaxSettledRecords);
}

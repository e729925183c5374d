// The operators' part without sockets: who is out by hand through every kind of list.
#include <catch2/catch.hpp>

#include "operations/cordon_list.h"

using namespace dispatcher;
using scheduling::Duration;
using scheduling::Readiness;
using scheduling::Time;

namespace {

Time at(double ms) {
  return Time(Duration(ms));
}

protocol::EndpointUpdate list(bool whole, Readiness readiness, double boot = 0,
                              const char* uid = "s-a") {
  protocol::WorkerEndpoint l;
  l.uid = uid;
  l.address = "10.1.0.1:5000";
  l.entry.readiness = readiness;
  if (boot > 0)
    l.entry.online_since = at(boot);
  return {1, whole, {l}};
}

}  // namespace

TEST_CASE("an instance out by hand drains in every list until the call back") {
  for (bool whole : {true, false}) {
    for (Readiness told : {Readiness::Ready, Readiness::Draining, Readiness::Removed}) {
      operations::CordonList r;
      r.apply(list(true, Readiness::Ready));
      REQUIRE(r.cordon("s-a", at(100)));
      auto seen = r.apply(list(whole, told)).entries;
      REQUIRE(seen.size() == 1);
      CHECK(seen[0].entry.readiness == (told == Readiness::Removed ? told : Readiness::Draining));
      CHECK(r.listed().size() == (told == Readiness::Removed ? 0 : 1));
      // Known by hand although no list names it: again, and back.
      CHECK(r.cordon("s-a", at(200)));
      CHECK(r.apply(list(false, Readiness::Ready, 300)).entries[0].entry.readiness ==
            Readiness::Draining);
      auto back = r.uncordon("s-a", at(400));
      REQUIRE(back);
      CHECK(back->entries.at(0).entry.readiness == Readiness::Ready);
      CHECK(r.uncordon("s-a", at(500))->entries.empty());  // it is back already: nothing is new
    }
  }
}

TEST_CASE("an instance that comes back is as cold as one that has just started") {
  struct Row {
    double boot;
    double later;
    double wanted;
    double in_the_end;  // told while it is out; told after; start as seen after each
  };
  for (Row row : {Row{0, 0, 400, 400},       // discovery tells of no restart, ever
                  Row{0, 250, 400, 250},     // late
                  Row{50, 50, 400, 400},     // only of one before the call out
                  Row{250, 250, 250, 250},   // in time
                  Row{0, 600, 400, 600}}) {  // of another one since
    operations::CordonList r;
    r.apply(list(true, Readiness::Ready, 50));
    r.cordon("s-a", at(100));
    if (row.boot > 0)
      r.apply(list(false, Readiness::Ready, row.boot));
    CHECK(r.uncordon("s-a", at(400))->entries.at(0).entry.online_since == at(row.wanted));
    auto seen = r.apply(list(true, Readiness::Ready, row.later)).entries.at(0).entry;
    CHECK(seen.online_since == at(row.in_the_end));
    CHECK(seen.readiness == Readiness::Ready);
  }
}

TEST_CASE("of an instance that nobody knows nothing is remembered") {
  operations::CordonList r;
  r.apply(list(true, Readiness::Ready));
  CHECK_FALSE(r.cordon("s-b", at(100)));
  CHECK_FALSE(r.uncordon("s-b", at(100)));
  CHECK(r.apply(list(false, Readiness::Ready, 0, "s-b")).entries[0].entry.readiness ==
        Readiness::Ready);
  r.apply(list(false, Readiness::Removed));
  CHECK_FALSE(r.cordon("s-a", at(200)));  // gone, and not out
}

// The scenes of testbed/fleet_scenarios.h, a hundred dispatchers before sixty workers, with bounds
// on what the fleet costs and how soon it learns. Each bound but those named fails on the variant
// in which every dispatcher thinks it is alone.
#include <gtest/gtest.h>

#include "testbed/simulation/fleet_scenarios.h"

namespace dispatcher::testbed {
namespace {

FleetCounts scene(const std::string& name, bool news = true, bool thinks_alone = false) {
  for (const FleetScenario& s : fleet_scenarios()) {
    if (s.name == name) {
      FleetSimulation::Options o;
      o.news = news;
      o.thinks_alone = thinks_alone;
      return play(s, o);
    }
  }
  throw std::invalid_argument(name);
}

double each(long n, const FleetCounts& c) {
  return double(n) / double(c.orders);
}

TEST(World, TheSameSeedGivesTheSameCounts) {
  FleetCounts a = scene("uneven");
  FleetCounts b = scene("uneven");
  EXPECT_EQ(a.served, b.served);
  EXPECT_EQ(a.attempts, b.attempts);
  EXPECT_EQ(a.messages, b.messages);
}

TEST(World, EveryOrderIsAnsweredOnceOrStillOpen) {
  for (const FleetScenario& s : fleet_scenarios()) {
    FleetSimulation::Options o;
    s.options(o);
    FleetSimulation w(o);
    s.troubles(w);
    w.run_until(s.seconds);
    const FleetCounts& c = w.counts();
    EXPECT_EQ(c.orders, c.served + c.refused + c.failed + c.lost + static_cast<long>(w.open()))
        << s.name;
  }
}

// What a scene may cost, and that the variant which thinks it is alone costs more.
TEST(World, WhatAFleetCostsStaysBounded) {
  struct Row {
    const char* name;
    double failed;
    double late_or_refused;
    double attempts;
    double probes;
    double after_first;  // the first four for each order
  };
  double cold_alone = 0;
  for (Row row :
       {Row{"calm", 0.001, 0.01, 1.02, 1.0, 0}, Row{"herd", 0.01, 0.01, 1.05, 1.1, 100},
        Row{"vanish", 0.01, 0.01, 1.05, 1.2, 40}, Row{"replace", 0.015, 0.01, 1.05, 1.1, 80},
        Row{"uneven", 0.015, 0.02, 1.05, 1.0, 150}, Row{"lossy", 0.001, 0.01, 1.02, 1.2, 0}}) {
    FleetCounts c = scene(row.name);
    EXPECT_LE(each(c.failed, c), row.failed) << row.name;
    EXPECT_LE(each(c.late + c.refused, c), row.late_or_refused) << row.name;
    EXPECT_LE(each(c.attempts, c), row.attempts) << row.name;
    EXPECT_LE(each(c.probes, c), row.probes) << row.name;  // 2 and more without news
    EXPECT_LE(c.after_first, row.after_first) << row.name;
    EXPECT_LE(c.failed_calls, 30) << row.name;  // of a discovery that all call at once
    EXPECT_EQ(c.fallen, 0) << row.name;         // nor does it push a worker over
    EXPECT_LE(c.cold_most, 0.6) << row.name;
    FleetCounts alone = scene(row.name, true, true);
    EXPECT_GT(alone.failed_calls, 30) << row.name;
    EXPECT_GT(each(alone.late + alone.refused, alone), row.late_or_refused) << row.name;
    cold_alone = std::max(cold_alone, alone.cold_most);
  }
  EXPECT_GT(cold_alone, 0.6);
}

// Two thirds of the workers come back cold, and all dispatchers start again while they are: none of
// them knows what has been sent there before. All together stay within what their holders may send.
FleetCounts cold(int dispatchers, int workers, bool restart, bool thinks_alone = false) {
  FleetSimulation::Options o;
  o.dispatchers = dispatchers;
  o.workers = workers;
  o.thinks_alone = thinks_alone;
  o.load = dispatchers == 300 ? 0.9 : 1.6;
  FleetSimulation w(o);
  for (int i = 0; i < workers * 2 / 3; ++i)
    w.at(1, [&w, i] { w.replace(i); });
  for (int i = 0; restart && i < dispatchers; ++i)
    w.at(4.6 + 0.1 * i / dispatchers, [&w, i] { w.kill(i, 0.1); });
  w.run_until(restart || thinks_alone ? 8.5 : 6);
  return w.counts();
}

void no_cold_worker_falls(int dispatchers, int workers) {
  for (bool restart : {false, true}) {
    FleetCounts c = cold(dispatchers, workers, restart);
    EXPECT_EQ(c.fallen, 0);
    EXPECT_LE(c.cold_most, 0.75);
    EXPECT_GT(c.cold_used, 0);
    EXPECT_EQ(c.lost > 0, restart);
  }
}

// Three that each think they are alone share too little traffic to pass the bound; rules_test has
// that case.
TEST(World, NoColdWorkerFallsThoughThreeDispatchersStartAgain) {
  no_cold_worker_falls(3, 9);
}
TEST(World, NoColdWorkerFallsThoughThirtyDispatchersStartAgain) {
  no_cold_worker_falls(30, 24);
  EXPECT_GT(cold(30, 24, false, true).cold_most, 0.75);
}
TEST(World, NoColdWorkerFallsThoughThreeHundredDispatchersStartAgain) {
  no_cold_worker_falls(300, 100);
}
TEST(World, ColdWorkersBearTooMuchOfThreeHundredThatThinkTheyAreAlone) {
  EXPECT_GT(cold(300, 100, false, true).cold_most, 0.75);
}

// A fault is over within three seconds for who comes then; a burst kept a fleet in late work for
// longer, as held jobs went to whoever had not been heard of for longest, and late ones took the
// slots of others' fresh ones.
TEST(World, AFleetComesOutOfAJam) {
  for (const JamScenario& s : jam_scenarios()) {
    FleetCounts c = play(s, 1, 150);
    EXPECT_GT(c.share(1, kJamFrom - 1), 0.98) << s.name;
    EXPECT_GE(c.settles(kJamFrom, s.over), 0) << s.name;
    EXPECT_LT(c.settles(kJamFrom, s.over), 3) << s.name;
    EXPECT_LT(each(c.attempts, c), 1.1) << s.name;
  }
}

// No start notes, cancels, copies or news: what a dispatcher knows of the load comes with the ends
// of its own jobs. A burst left all of them sure of a full fleet: who begins nothing hears of
// nothing, and so it stayed.
TEST(World, AFleetThatHearsOfLoadWithTheEndsAloneComesOutOfABurst) {
  for (std::uint64_t seed : {1, 2}) {
    for (int dispatchers : {6, 30}) {
      for (bool probes : {false, true}) {
        FleetSimulation::Options o;
        o.dispatchers = dispatchers;
        o.workers = dispatchers == 6 ? 12 : 30;
        o.slots = 2;
        o.load = 0.5;
        o.seed = seed;
        o.bare = true;
        o.probes = probes;
        FleetSimulation w(o);
        w.at(5, [&w] { w.load(2.2); });
        w.at(9, [&w] { w.load(1); });
        w.run_until(30);
        EXPECT_GT(w.counts().share(15, 25), 0.95) << dispatchers << probes;  // it was 0.29 to 0.81
        EXPECT_EQ(w.counts().fallen, 0);
      }
    }
  }
}

TEST(World, WhatOneHasLearnedTheOthersKnowBeforeDiscoveryWould) {
  FleetCounts c = scene("vanish");
  ASSERT_FALSE(c.learned.empty());
  EXPECT_LT(c.learned_at(0.5), 4000);
  EXPECT_LT(c.learned_at(0.95), 7000);
}

TEST(World, NewsSaveProbesAndLosingHalfOfThemDoesLittleHarm) {
  FleetCounts with = scene("calm");
  FleetCounts without = scene("calm", false);
  FleetCounts lossy = scene("lossy");
  EXPECT_LT(2 * each(with.probes, with), each(without.probes, without));
  EXPECT_LT(each(lossy.probes, lossy), 1.5 * each(with.probes, with));
  EXPECT_LE(with.bytes, 255 * with.messages);
}

}  // namespace
}  // namespace dispatcher::testbed

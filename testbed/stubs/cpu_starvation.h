// Whether the machine gave a fleet of processes the time that they wanted. Guards verdicts that
// stand on the clock: orders that are late because dispatchers waited for a core tell nothing of
// the program.
#pragma once

#include <istream>
#include <string>

namespace dispatcher::testbed {

// Of /proc/stat: ticks of all cores, and those of them that the machine below had for others.
struct CoreTicks {
  double all = 0;
  double stolen = 0;
};
inline CoreTicks read_core_ticks(std::istream& stat) {
  CoreTicks t;
  std::string word;
  stat >> word;  // "cpu": user, nice, system, idle, iowait, irq, softirq, steal
  double n = 0;
  for (int i = 0; i < 8 && stat >> n; ++i) {
    t.all += n;
    t.stolen = i == 7 ? n : 0;
  }
  return t;
}
inline double stolen_part(const CoreTicks& from, const CoreTicks& to) {
  return to.all > from.all ? (to.stolen - from.stolen) / (to.all - from.all) : 0;
}

// A run whose orders were late while its dispatchers stood in line for a core, or the machine was
// away, for more than this part of the time tells nothing either way, and is played again; the last
// play counts all the same, and so does a broken rule. The burst under the sanitizers shows 0.04
// beside a bench, 0.13 beside ten busy loops, where its verdict still holds, and 0.39 on one core,
// where 240 orders a second are more than the processes can do.
constexpr double kStarved = 0.15;
constexpr int kMostPlays = 3;

struct Verdict {
  bool rules = true;
  bool in_time = true;  // kept
  double starved = 0;   // waited for a core, as a part of the time
};
enum class Judgement { Kept, Broken, PlayAgain };
inline Judgement judge(const Verdict& v, int plays) {
  if (v.rules && v.in_time)
    return Judgement::Kept;
  return v.rules && v.starved > kStarved && plays < kMostPlays ? Judgement::PlayAgain
                                                               : Judgement::Broken;
}

}  // namespace dispatcher::testbed

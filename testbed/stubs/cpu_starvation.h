// Whether the machine gave a fleet of processes the CPU time that it wanted. A verdict that depends
// on time is worthless where requests were late because dispatchers waited for a core.
#pragma once

#include <istream>
#include <string>

namespace dispatcher::testbed {

// Ticks of all cores together, from /proc/stat.
struct CoreTicks {
  double all = 0;
  double stolen = 0;  // that the hypervisor gave to others
};

inline CoreTicks read_core_ticks(std::istream& stat) {
  // "cpu": user, nice, system, idle, iowait, irq, softirq, steal
  static constexpr int kFields = 8;
  CoreTicks ticks;
  std::string label;
  stat >> label;
  double value = 0;
  for (int i = 0; i < kFields && stat >> value; ++i) {
    ticks.all += value;
    ticks.stolen = i == kFields - 1 ? value : 0;
  }
  return ticks;
}

// The share of the ticks between two readings that was stolen.
inline double stolen_part(const CoreTicks& from, const CoreTicks& to) {
  return to.all > from.all ? (to.stolen - from.stolen) / (to.all - from.all) : 0;
}

// A run whose requests were late while its processes waited for a core for more than this share of
// the time is repeated. The last run counts in any case, and so does a broken rule.
constexpr double kStarved = 0.15;
constexpr int kMostPlays = 3;

struct Verdict {
  bool rules = true;    // every request was answered as it must be
  bool in_time = true;  // enough of them met their latency objective
  double starved = 0;   // share of the time that processes waited for a core
};

enum class Judgement { Kept, Broken, PlayAgain };

// `plays`: runs so far, this one included.
inline Judgement judge(const Verdict& verdict, int plays) {
  if (verdict.rules && verdict.in_time)
    return Judgement::Kept;
  bool inconclusive = verdict.rules && verdict.starved > kStarved && plays < kMostPlays;
  return inconclusive ? Judgement::PlayAgain : Judgement::Broken;
}

}  // namespace dispatcher::testbed

// Detects runs in which the machine gave the processes too little CPU time. A verdict that depends
// on time is worthless if requests were late because dispatchers waited for a core.
#pragma once

#include <istream>
#include <string>

namespace dispatcher::testbed {

// Ticks of all cores together, as in /proc/stat.
struct CpuTicks {
  double all = 0;
  double stolen = 0;  // that the hypervisor gave to other guests
};

inline CpuTicks read_cpu_ticks(std::istream& stat) {
  // The line is "cpu", then: user, nice, system, idle, iowait, irq, softirq, steal.
  static constexpr int kFields = 8;
  CpuTicks ticks;
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
inline double stolen_share(const CpuTicks& from, const CpuTicks& to) {
  return to.all > from.all ? (to.stolen - from.stolen) / (to.all - from.all) : 0;
}

// A run is repeated if its requests were late while its processes waited for a core for more than
// this share of the time. The last run always counts, and so does a violated rule.
constexpr double kMaxStarvedShare = 0.15;
constexpr int kMaxRuns = 3;

struct Verdict {
  bool rules_kept = true;  // no rule about responses and attempts was violated
  bool in_time = true;     // enough requests met their latency objective
  // Share of the time that processes waited for a core or the hypervisor ran other guests.
  double starved_share = 0;
};

enum class Judgement { Passed, Failed, Repeat };

// `runs`: number of runs so far, including this one.
inline Judgement judge(const Verdict& verdict, int runs) {
  if (verdict.rules_kept && verdict.in_time)
    return Judgement::Passed;
  bool inconclusive =
      verdict.rules_kept && verdict.starved_share > kMaxStarvedShare && runs < kMaxRuns;
  return inconclusive ? Judgement::Repeat : Judgement::Failed;
}

}  // namespace dispatcher::testbed

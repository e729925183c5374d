// What a dispatcher remembers of its workers, attempts and jobs. The decisions on it are in
// logic.cpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatcher/scheduling/scheduler.h"

namespace dispatcher::scheduling {

constexpr double kGuessedSlots = 2;  // of a worker that has shown nothing yet
constexpr Duration kTrialGap{1000};

struct NameHash : std::hash<std::string_view> {  // look-ups by any form of string
  using is_transparent = void;
};

struct Outstanding {  // one attempt of ours at a worker
  RequestId id;
  int attempt;
  std::size_t job_class;
  double work;
  double slots;
  double memory;
  Time sent;
  std::optional<Time> started;
  Time heard;  // latest sign of this attempt
};

struct Shun {  // of a worker by one class whose jobs it fails
  Time until{};
  Duration gap{0};
  int served = 0;  // jobs since the last that failed
};

struct alignas(64) Worker {
  // What is read of every worker every few seconds: together, so that a walk costs one cache line
  // for each.
  double size = 1;
  double slots = kGuessedSlots, speed = 1, speed_work = 0, speed_time = 0;
  std::optional<Time> cold_since;
  int zone = 0;
  bool listed = false, ready = false, short_pool = false;
  double others = 0;  // slots held by jobs that are not ours, as of others_at
  Time others_at{}, reported_at{};
  std::optional<double>
      peers;  // jobs there, as the other dispatchers tell; none: they do not tell of it
  // what our jobs there add up to
  double own_work = 0, own_slots = 0, own_memory = 0, started_slots = 0;
  std::vector<Outstanding> out;
  // what it has shown
  bool slots_seen = false;
  double cannot_slots = 1e9;
  double peak_slots = 0;  // most slots of ours there of late
  Time peak_at{};
  // health
  double doubt = 0;
  Time heard{}, doubt_at{}, trial_at{}, down_at{};  // heard: the latest sign of life
  Duration trial_gap = kTrialGap;
  bool probe_out = false;
  std::vector<RequestId> askers;  // jobs that wait for the probe's answer
  Time full_until{};
  Duration full_gap{0};
  std::map<std::size_t, Shun> shunned;
  // as listed
  std::string id;
  std::uint64_t hash = 0;
  int kind = 0, cell = 0;
  std::optional<Time> online_since;
  std::list<std::pair<Time, double>> sent;  // work sent in the last fall span; few workers have any
};

struct Pool {  // the ready workers of one size at home or elsewhere, and the running sum of their
               // capacity
  std::vector<Worker*> workers;
  std::vector<double> upto;
};

struct Attempt {
  Worker* worker;
  Time sent;
  Time since;  // since: the first send of those that may have run then; the memory span
               // counts from it
  int zone;
  int cell;  // of the worker, as listed at the send
  bool open = true;
  bool may_have_run = true;
  bool started = false;
};

using Turn = std::pair<double, Time>;  // of a held job, the least first

struct Job {
  Request request;
  ClassSettings cls;     // as it was when the job came
  int most = 1;          // attempts, likewise
  double cost_hint = 0;  // as it came; 0: none
  double lot = 0;        // drawn in [0, 1), for what chance decides about it
  double work;           // what is expected of it, ms at standard speed
  Time limit;  // to be of worth by; moves from aim to deadline where late answers have worth
  Time ends;   // the client's patience less a margin
  std::vector<Attempt> attempts;
  bool late = false;  // only late worth is left: runs where it keeps nobody waiting
  bool over = false;  // beyond its tenant's share: the same, and after all others that are held
  double load() const { return work * request.slots; }  // slot-weighted work
  std::optional<Turn> held_key;
  std::vector<Worker*> asked;  // for their load, before the job goes
  int awaited = 0;
  int rounds = 0;
};

struct ClassStats {  // of the jobs of a class
  double mean_work = 100;
  double jobs = 0;
  double learn(double work) {
    return mean_work += (work - mean_work) * std::max(0.05, 1.0 / ++jobs);
  }
  Duration timeout{0};  // the longest: of a first try
  CostHintModel hints;
};

struct Choice {
  Worker* worker = nullptr;
  double delay_share = 1;  // of the job's slack; the least seen where no worker will do
};

struct Recent {  // requests of late, each counting for less as time goes by
  double count = 0;
  Time at{};
  double fade(Time now, Duration memory) {
    count *= std::exp(-((now - at) / memory));
    at = now;
    return count;
  }
};

struct Tenant {
  double quota = 0;
  double left = 0;  // left: what its share still holds at this dispatcher, in requests
  Time at{};
  Recent recent = {};
};

enum class DueKind { Answer, Ask, Limit, Watch, Held, Trials, Subscribe };
struct Due {
  Time at;
  std::uint64_t order;
  DueKind kind;
  RequestId id;
  bool operator>(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
};

}  // namespace dispatcher::scheduling

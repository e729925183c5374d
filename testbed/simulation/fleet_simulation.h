// Many dispatchers and their workers in one process, in virtual time, on the scheduler's
// public interface and the real messages between dispatchers. A test bed for counts over a whole
// fleet: what it costs its workers, discovery and network together, and how soon all know what one
// has learned. It knows no site's figures and gives no score.
//
// Workers have slots, a bounded queue, a speed, and a cold ramp; they can vanish, fail, crawl and
// come back. Discovery works through calls one after another and tells of changes late. Messages
// can be lost. The same seed gives the same counts.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/load_gossip.h"

namespace dispatcher::testbed {

using scheduling::Duration;
using scheduling::Time;

struct FleetCounts {
  long orders = 0;
  long served = 0;
  long refused = 0;
  long failed = 0;
  long lost = 0;  // lost: with a dispatcher that was killed
  long late = 0;  // of the served, after what was wanted
  long attempts = 0;
  long copies = 0;
  long probes = 0;
  long calls = 0;
  long failed_calls = 0;
  long lines = 0;  // of discovery; lines of lists that it gave
  std::vector<long> calls_by_second;
  std::vector<long> failed_by_second;
  long messages = 0;
  long bytes = 0;   // delivered
  long fallen = 0;  // cold workers pushed over
  double cold_most =
      0;  // of what a fall span of a cold worker bears, the largest part that was sent
  double cold_used = 0;  // work done by workers while cold, ms
  long after_first = 0;  // attempts at a bad worker after somebody first saw it fail
  std::vector<long> came;
  std::vector<long> in_time;  // orders by the second in which they came, and those served as wanted
  // From `end` on, seconds until a second's share in time is `part` of what it was before `start`,
  // and stays so for three; -1: it never is.
  double settles(double start, double end, double part = 0.95) const;
  double share(double from, double to) const;  // in time, of what came in these seconds
  std::vector<double>
      learned;  // ms from the first dispatcher's finding to each other's, of workers that vanished
  double learned_at(double part) const;  // a quantile of these; -1: there are none
};

class FleetSimulation {
 public:
  struct Options {
    int dispatchers = 100;
    int workers = 60;
    int slots = 3;
    std::uint64_t seed = 1;
    double load = 0.6;  // of the capacity
    int busy = 0;       // so many dispatchers carry ten times the traffic of the rest
    bool news = true;   // dispatchers tell each other what they have where
    double lossy = 0;   // part of all messages that are lost
    double keyed = 0;   // part of the orders that may be repeated within a window
    bool bare =
        false;  // no start notes, cancels, copies or news: reports at the ends are nearly all
    bool probes = true;         // the settings allow them
    bool thinks_alone = false;  // a bad variant: each dispatcher is told that there is no other
  };
  explicit FleetSimulation(Options options);

  double now_s() const { return (now_ - Time()) / Duration(1000); }
  void at(double seconds, std::function<void()> call);
  void run_until(double seconds);

  // Troubles.
  void kill(int dispatcher, double back_after_s);  // it starts again from the list of the beginning
  void vanish(int worker);     // says nothing from now on; discovery hears of it late
  void come_back(int worker);  // cold
  void replace(int worker);    // by one with a new id, cold; discovery tells of both
  void make_bad(int worker, double fails, double speed);
  void load(double factor) { load_ = factor; }  // times Options::load from the next arrivals on
  void silent(int worker,
              bool silent);  // takes what comes and says nothing; goes on with it afterwards
  void cut(int first, int last, bool cut);  // these dispatchers hear no others

  const FleetCounts& counts() const { return counts_; }
  std::size_t open() const;
  struct Where {  // orders now: held by dispatchers, waiting at workers, of these too late to be in
                  // time, running
    std::size_t held = 0;
    std::size_t queued = 0;
    std::size_t queued_late = 0;
    std::size_t running = 0;
    std::size_t running_late = 0;
  };
  Where where() const;

 private:
  struct Run {
    int dispatcher = 0;
    std::uint64_t life = 0;  // of that dispatcher
    scheduling::RequestId id = 0;
    int attempt = 0;
    double work = 0;
    std::uint64_t number = 0;
    bool operator==(const Run& o) const { return number == o.number; }
  };
  struct Worker {
    std::string id;
    bool up = true;
    bool listed = true;
    bool fallen = false;
    bool silent = false;
    double speed = 1;
    double fails = 0;
    double errors = 0;  // errors: a second, of late
    Time error_at{};
    std::optional<Time> started;
    std::vector<Run> running;
    std::vector<Run> done;  // done: of the running, while it is silent
    std::deque<Run> queue;
    std::deque<std::pair<Time, double>> sent;
    std::optional<Time> first_failure;
    std::optional<Time> vanished;
    std::set<int> known_bad;  // dispatchers that avoid it
  };
  struct Attempt {
    std::size_t worker = 0;
    std::uint64_t number = 0;
    bool open = true;
  };
  struct Job {
    std::vector<Attempt> attempts;
    double wanted = 0;
    Time came{};
    bool answered = false;
  };
  struct Node {
    std::optional<scheduling::Scheduler> module;
    std::optional<fleet::LoadGossip> loads;
    std::uint64_t life = 0;
    bool watching = false;
    bool tells_late = false;  // of counts that fell
    bool apart = false;
    int revision = 0;  // of the list that it holds
    std::map<scheduling::RequestId, Job> jobs;
    std::map<std::size_t, int> there;  // open attempts by worker
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> call;
    bool operator>(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
  };

  void in(double ms, std::function<void()> call);
  void start(int node, bool first);
  void arrive(int node);
  void act(int node, std::vector<scheduling::Action>& actions);
  void send(int node, const scheduling::Action& action);
  void cancel(int node, const scheduling::Action& action);
  void time_up(int node, std::uint64_t life, scheduling::RequestId id);
  void close(int node, scheduling::RequestId id);
  void answer(int node, scheduling::RequestId id, long& count);
  void end(Run run, scheduling::Outcome outcome, std::optional<std::size_t> worker);
  void reach(std::size_t worker, Run run);
  void begin_next(std::size_t worker);
  void probe(int node, std::size_t worker);
  void call_discovery(int node);
  void tell_list(int node, scheduling::EndpointUpdateKind kind, int after);
  void changed(std::size_t worker);
  void tell(int node);
  void count_there(int node, std::size_t worker, int more);
  void look_who_knows();
  double warmth(const Worker& w) const;
  scheduling::LoadReport report(const Worker& w) const;
  std::size_t index_of(std::string_view worker) const;
  template <class Feed>
  void feed(int node, Feed feed);
  bool lives(const Run& run) const {
    return nodes_[static_cast<std::size_t>(run.dispatcher)].life == run.life;
  }

  Options options_;
  scheduling::Settings settings_;
  std::mt19937_64 random_;
  Time now_{};
  std::uint64_t order_ = 0;
  std::uint64_t number_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Worker> workers_;
  std::map<std::string, std::size_t, std::less<>> by_id_;
  std::vector<Node> nodes_;
  std::vector<std::pair<int, std::size_t>> changes_;  // of the list: revision and worker
  int revision_ = 1;
  double load_ = 1;
  Time discovery_free_{};
  scheduling::RequestId next_id_ = 0;
  FleetCounts counts_;
};

}  // namespace dispatcher::testbed

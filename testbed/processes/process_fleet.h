// A fleet of the program's own processes, with a relay on every path between them and orders that
// run throughout. It ends its own children whatever happens to it.
#pragma once

#include <json/value.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "testbed/processes/datagram_relays.h"
#include "testbed/stubs/stubs.h"

namespace dispatcher::testbed {

class ProcessFleet {
 public:
  struct Setup {
    std::string program;
    std::string config;  // config: a file
    int members = 8;
    int workers = 3;
    int period_ms = 200;
    int answer_ms = 60;      // of the fleet's view
    std::uint64_t seed = 1;  // of what the relays draw
    std::string keys{};      // text of the key file that each has of its own; empty: none
    int seeds = 0;           // each knows so many of the first members; 0: all as peers
    int forget_s = 3600;
    bool trace = false;
    int slots = 0;
    int places = 0;  // of each worker; 0: any number of orders at a time
    int work_ms = 5;
    int wanted_ms = 0;  // of each order; wanted_ms: after this it is late
    double rate = 0;  // orders a second, whether the ones before have been answered or not; 0: one
                      // after another
  };
  explicit ProcessFleet(Setup setup);
  ~ProcessFleet();

  void start(int i);  // again too, after a crash or a farewell: it knows nothing of before
  void start_all();
  void crash(int i);                          // SIGKILL
  int leave(int i);                           // SIGTERM; its exit code
  void stop(int i);                           // SIGSTOP; not up until it is woken
  void wake(int i);                           // SIGCONT
  void keys(int i, const std::string& text);  // and SIGHUP; returns once they are read
  Dispatcher& member(int i) { return *members_.at(static_cast<std::size_t>(i)); }
  Relays& relays() { return relays_; }
  const std::set<int>& up() const { return up_; }

  Json::Value view(int i);  // null where it does not answer
  static std::map<std::string, int> states(const Json::Value& view);
  // All of `these` hold one digest, hold alive just these, and doubt nobody.
  bool agree(const std::set<int>& these);
  // Waits for an event, however long it takes.
  static void wait(const std::function<bool()>& comes);
  void settles() {
    wait([this] { return agree(up_); });
  }

  // Of the workers. Returns when the list has told it to all that are up: no order that is
  // handed in from then on may go there.
  void drain(int worker);
  void raise(int worker);  // back in the list
  Fleet& workers() { return workers_; }

  // Orders at the members named, until orders_end().
  void orders_begin(const std::vector<int>& at);
  void orders_end();
  void rate(double a_second) { rate_ = a_second; }
  // Of the orders handed in from here on, 95 of a hundred in a row were answered well and as soon
  // as wanted.
  std::uint64_t given() const { return given_; }
  bool in_time(std::uint64_t since);
  struct Account {  // by what the stubs saw
    std::uint64_t given = 0;
    std::uint64_t answered = 0;
    std::uint64_t served = 0;
    std::uint64_t begun_twice = 0;
    std::uint64_t begun = 0;
    std::uint64_t in_time = 0;
    std::uint64_t to_drained = 0;  // handed in after all had been told
    long longest = 0;              // datagram, in bytes
  };
  Account account();  // ends the orders

 private:
  Setup setup_;
  std::string host_;
  std::string folder_;  // folder: of key files
  Fleet workers_;
  Relays relays_;
  std::vector<std::unique_ptr<Dispatcher>> members_;
  std::set<int> up_;
  std::thread orders_;
  std::atomic<bool> over_{false};
  std::atomic<std::uint64_t> given_{0};
  std::atomic<std::uint64_t> answered_{0};
  std::atomic<std::uint64_t> served_{0};
  std::atomic<double> rate_{0};
  std::mutex mutex_;                    // of what follows
  std::map<std::uint64_t, bool> good_;  // by order that has been answered: in time
  std::map<std::string, std::uint64_t>
      drained_;  // by worker: the last order that may have gone there
};

}  // namespace dispatcher::testbed

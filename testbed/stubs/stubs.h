// Stubs for all that the dispatcher talks with, on blocking sockets of the loopback, a thread
// each: a discovery, workers and clients. What a worker does with an order stands in
// the order's target, so that a test says it in one place. What each side sent and got is kept, to
// be compared afterwards.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace dispatcher::testbed {

class Sha256 {
 public:
  Sha256();
  void add(std::string_view bytes);
  std::string hex();  // once

 private:
  std::shared_ptr<void> state_;
};

std::string pattern_sha(std::uint64_t seed, std::uint64_t n);
// What a seed's body is made of: no two parts of it are alike, so that a lost or doubled piece
// shows.
void fill_pattern(std::uint64_t seed, std::uint64_t from, char* out, std::size_t n);

// The query of an order's target, as name=number pairs. A worker knows:
//   reply=BYTES      answers 200 with so many bytes of seed=SEED; else with the SHA-256 of what it
//   got chunked=1        as chunks in=RATE out=RATE bytes a second it takes and gives; 0: as fast
//   as it goes early=AFTER status=CODE   answers so after AFTER bytes of the upload; 503 says that
//   nothing ran die_in=AFTER die_out=AFTER   closes the connection after so many bytes of the
//   upload, of its reply hang_in=AFTER hang_out=AFTER  moves nothing more after so many work=MS
//   between the last byte and the answer core=N           serves it on that core, so that other
//   stubs' work does not delay it nice=1           its threads step back behind those of other
//   orders, at both ends news=1           answers 202 and calls back with the result back=PORT
//   calls back there; else to where call_back_to() said late=MS          between the two only=N
//   does all this in its first N attempts at the order, any later one goes well
using Query = std::map<std::string, std::uint64_t>;

// What ails the stub for discovery, until it is told otherwise.
struct ListFault {
  enum Kind { None, Down, Slow, Few, Old, Empty } kind = None;
  int amount = 0;  // Slow: ms before each answer; Few: calls at a time, the others get 503
};

enum class WorkerFault {
  None,
  Vanish,  // says nothing, also not to what is open
  Hang,    // takes orders and answers none
  Crawl,   // half a second more for each order
  Fail     // 500 to each order, after it has begun
};

struct Seen {  // by a worker, of one attempt
  std::string id;
  std::string uid;
  std::string sha;  // of the upload as it came
  std::uint64_t bytes = 0;
  bool begun = false;  // its last byte has come
};

class Wire;  // a connection of theirs

class Fleet {
 public:
  // Everything on `host`; ports are the system's. `workers` of them, s-1 and so on.
  Fleet(std::string host, int workers);
  // From now on each worker runs so many orders at a time, those with news=1; `places` more wait in
  // order, and whoever comes then is turned away. It tells of each start, and its load in each
  // answer. 0: any number.
  void limit(int slots, int places);
  long turned_away() const { return turned_away_; }
  int longest_line() const { return longest_line_; }
  ~Fleet();
  std::string discovery() const { return discovery_; }
  std::string worker(int number) const {
    return workers_.at(static_cast<std::size_t>(number)).address;
  }
  void set_state(int number, const std::string& state);  // up, draining, removed
  void call_back_to(const std::string& address) { dispatcher_ = address; }
  std::vector<Seen> seen();
  bool told();    // somebody's watch has brought the last change
  int told_to();  // so many open watches have brought it
  void ail(ListFault fault);
  void ail(int number, WorkerFault fault);
  long list_calls() const { return list_calls_; }

 private:
  struct Worker {
    std::string uid;
    std::string address;
    std::string state = "up";
    WorkerFault fault = WorkerFault::None;
    int running = 0;
    std::deque<std::string> line;  // ids that wait
  };
  bool serve_in_turn(Wire& wire, const std::string& uid, Query& q, const Seen& seen);
  std::string load_of(const Worker& w) const;
  void news(const Query& q, const std::string& text) const;
  WorkerFault fault_of(const std::string& uid);
  void listen(const std::function<void(int)>& serve, std::string& address);
  void serve_discovery(int fd);
  void serve_worker(int fd, const std::string& uid);
  std::string list();

  std::string host_;
  std::string discovery_;
  std::string dispatcher_;
  std::vector<Worker> workers_;
  std::mutex mutex_;  // of what follows
  int revision_ = 1;
  int asked_after_ = 0;
  std::vector<Seen> seen_;
  std::map<std::string, int> tries_;
  std::map<int, int> told_;  // revision told last on each open watch
  ListFault list_fault_;
  std::string old_list_;
  int at_list_ = 0;  // calls that it is serving
  int slots_ = 0;
  int places_ = 0;
  std::condition_variable moved_;  // somebody left a slot or a line
  std::atomic<long> turned_away_{0};
  std::atomic<int> longest_line_{0};
  std::atomic<long> list_calls_{0};
  std::atomic<bool> over_{false};
  std::atomic<int> serving_{0};
  std::vector<int> listeners_;
  std::vector<std::thread> threads_;
};

struct Order {
  std::uint64_t id = 0;
  std::string job_class = "place-order";
  std::string query;
  std::string extra_headers;
  std::uint64_t upload = 0;
  std::uint64_t seed = 0;
  std::uint64_t rate_up = 0;
  std::uint64_t rate_down = 0;  // bytes, bytes a second
  bool chunked = false;
  std::uint64_t leave_after = UINT64_MAX;
  std::uint64_t leave_reply_after = UINT64_MAX;  // bytes; then it closes
  int time_left_ms = 60'000;
  std::uint64_t pause_at = UINT64_MAX;  // bytes sent; then it waits for go_on()
  std::function<bool()> go_on;
};
struct Answer {
  int status = 0;  // 0: none came
  std::string body;
  std::string sha;
  std::string sent_sha;  // the body's first 4 KiB
  std::uint64_t bytes = 0;
  bool whole = false;   // by its own framing
  bool unread = false;  // something came behind it
  double ms = 0;
  double head_ms = 0;
};
Answer hand_in(const std::string& address, const Order& order);

// A client that keeps its connection. `answer.status` is 0 from when that has ended.
class Regular {
 public:
  explicit Regular(const std::string& address);
  ~Regular();
  Answer hand_in(const Order& order);
  void begin(const std::string& text);  // sends a part of something, or more of it

 private:
  struct Line;
  std::unique_ptr<Line> line_;
};

// One operator's call; the status line's number, 0 when there was no answer, and the body.
struct Call {
  int status = 0;
  std::string body;
  long figure(const std::string& name) const;  // of a page of figures; -1: not there
};
Call call(const std::string& operators, const std::string& method, const std::string& target);

// The program itself, as a process.
class Dispatcher {
 public:
  struct Setup {
    std::string program;
    std::string config;
    std::string features;
    std::string host;  // config: a file; features: a text, empty: none
    int sockets = 4096;
    bool operators = false;  // with an address for them, and a $TMPDIR
    std::string more{};      // JSON that goes over the configuration, object by object
    bool trace = false;      // each thing that happens, as JSON lines
  };
  Dispatcher(const Setup& setup, Fleet& fleet);
  ~Dispatcher();  // ends it
  const std::string& address() const { return address_; }
  int pid() const { return pid_; }
  std::uint64_t memory_kb(const char* field) const;  // VmHWM, VmRSS
  double cpu_ms() const;
  double waited_ms() const;  // in line for a core
  const std::string& operators() const { return operators_; }
  const std::string& folder() const { return folder_; }  // its $TMPDIR is "tmp" in it
  int end();                                             // SIGTERM; its exit code
  // A second process beside it, with an operators' address of its own; this one becomes the old
  // one. What is asked of a Dispatcher goes to the new one from then on. False: it ended by itself.
  bool start_beside();
  int end_old();  // SIGTERM; its exit code
  void crash();   // SIGKILL, and nothing after it
  void start_again() { start(true); }
  void kill_now();  // SIGKILL to the newest, and the old one, if there is one, is the one again
  const std::string& old_operators() const { return old_operators_; }
  std::string log() const;

 private:
  void start(bool wait_at_clients);
  std::string free_address() const;
  Setup setup_;
  std::string folder_;
  std::string address_;
  std::string operators_;
  std::string old_operators_;
  int pid_ = -1;
  int old_pid_ = -1;
};

void run_on(int first, int last);  // this thread, on these cores, where there are so many
std::string own_host();  // of the loopback, which other processes of this kind do not share

}  // namespace dispatcher::testbed

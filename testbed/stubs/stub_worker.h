// A stub for a worker. What it does with a request stands in the query of the request's target, so
// that a test says it in one place.
//
//   reply=BYTES       answers 200 with that many bytes of the body of seed=SEED; without it, with
//                     the SHA-256 of the upload
//   chunked=1         sends the reply in chunks
//   in=RATE out=RATE  bytes a second that it reads and writes; 0: unlimited
//   early=AFTER status=CODE
//                     answers with CODE after AFTER bytes of the upload; 503 says that nothing ran
//   die_in=AFTER die_out=AFTER
//                     closes the connection after that many bytes of the upload, of its reply
//   hang_in=AFTER hang_out=AFTER
//                     transfers nothing more after that many bytes
//   work=MS           between the last byte of the upload and the answer
//   core=N            serves the request on that core
//   nice=1            runs at a lower priority than other requests, at both ends
//   news=1            answers 202 and calls back with the result
//   back=PORT         calls back there instead of the default callback address
//   late=MS           between the 202 and the callback
//   only=N            does all this in the first N attempts at the request; later ones succeed
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "testbed/stubs/http_transfer.h"
#include "testbed/stubs/stub_listener.h"

namespace dispatcher::testbed {

// How a worker fails, until another fault is set.
enum class WorkerFault {
  None,
  Unresponsive,  // answers nothing, on open connections neither
  Hang,          // accepts requests and answers none
  Slow,          // takes half a second more for each request
  Fail           // answers 500 to each request, after it has begun
};

// One attempt at a request, as a worker received it.
struct ReceivedAttempt {
  std::string id{};   // correlation id of the request
  std::string uid{};  // of the worker
  std::string sha{};  // of the received part of the upload
  std::uint64_t bytes = 0;
  bool begun = false;   // the last byte of the upload was received
  double begun_ms = 0;  // then, by the steady clock
};

// What all workers received. Thread-safe.
class AttemptLog {
 public:
  void record(const ReceivedAttempt& attempt);
  std::vector<ReceivedAttempt> attempts();
  // Counts one more attempt at the request; returns the count.
  std::uint64_t count_attempt(const std::string& id);
  void note_queue_length(int length);
  void note_rejected() { ++rejected_; }
  long rejected() const { return rejected_; }
  // A call with a job event was not answered, and is made again.
  void note_repeated_event() { ++repeated_events_; }
  long repeated_events() const { return repeated_events_; }
  int longest_queue();

 private:
  std::mutex mutex_;
  std::vector<ReceivedAttempt> attempts_;
  std::map<std::string, std::uint64_t> attempts_by_request_;
  int longest_queue_ = 0;
  std::atomic<long> rejected_{0};
  std::atomic<long> repeated_events_{0};
};

// Shared by the workers of a test.
struct WorkerContext {
  std::string host;
  std::string callback_address;  // of the dispatcher; set before requests are sent
  std::atomic<bool> stopping{false};
  AttemptLog log{};
};

// Thread-safe. Its threads end with the object.
class StubWorker {
 public:
  // `context` outlives the worker.
  StubWorker(std::string uid, WorkerContext& context);

  const std::string& uid() const { return uid_; }
  const std::string& address() const { return listener_.address(); }
  void set_fault(WorkerFault fault);
  // Runs that many requests with news=1 at a time and queues `queue_places` more; others are
  // rejected. Reports each start, and its load in each answer. 0 slots: no limit.
  void set_limits(int slots, int queue_places);

  // Wakes requests that wait for a slot, once `stopping` of the context is set, and accepts no
  // more connections.
  void stop();

 private:
  struct Attempt;

  void serve(int descriptor);
  // The functions that return bool tell whether the connection serves on.
  bool serve_request(BlockingConnection& connection, const HttpHead& head);
  bool answer_health_check(BlockingConnection& connection, const HttpHead& head);
  void receive_upload(Attempt& attempt, const HttpHead& head);
  void break_off(Attempt& attempt);
  bool answer(Attempt& attempt, WorkerFault fault);
  bool answer_by_callback(Attempt& attempt);
  bool answer_with_body(Attempt& attempt);
  bool serve_queued(Attempt& attempt);
  void run_queued(Attempt& attempt);
  void record(const Attempt& attempt);
  // Posts a job event to the dispatcher, up to ten times until it is taken.
  void send_job_event(const Query& query, const std::string& event) const;
  std::string load_header() const;
  bool has_limits();

  std::string uid_;
  WorkerContext& context_;
  std::mutex mutex_;  // guards the members up to queue_
  WorkerFault fault_ = WorkerFault::None;
  int slots_ = 0;
  int queue_places_ = 0;
  int running_ = 0;
  std::deque<std::string> queue_;  // ids of requests that wait for a slot
  std::condition_variable queue_changed_;
  StubListener listener_;  // last: its threads use the members above
};

}  // namespace dispatcher::testbed

// A stub worker. The query of a request's target says what the worker does with the request, so
// that a test defines both in one place.
//
//   reply=BYTES       answers 200 with that many bytes of the body generated from seed=SEED.
//                     Without it, the answer is the SHA-256 of the upload
//   chunked=1         sends the reply in chunks
//   in=RATE out=RATE  rate limits of reading and writing, in bytes a second; 0: unlimited
//   early=AFTER status=CODE
//                     answers with CODE after AFTER bytes of the upload; 503 is marked as not
//                     processed
//   die_in=AFTER die_out=AFTER
//                     closes the connection after that many bytes of the upload or of the reply
//   hang_in=AFTER hang_out=AFTER
//                     stops the transfer after that many bytes, with the connection open
//   work=MS           time from the last byte of the upload to the answer
//   core=N            serves the request on that core
//   nice=1            lowers the priority of the worker's and the stub client's threads for the
//                     request
//   news=1            answers 202 and sends the result in a job event
//   back=PORT         sends job events to that port instead of the default callback address
//   late=MS           time from the 202 to the job event
//   held=1            sends the job event only once the test releases it
//   only=N            applies the query to the first N attempts at the request; later ones succeed
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

// A fault of a worker; it lasts until another one is set.
enum class WorkerFault {
  None,
  Unresponsive,  // answers nothing, not even on open connections
  Hang,          // accepts requests and answers none
  Slow,          // takes half a second longer for each request
  Fail           // answers 500 to each request, after it was begun
};

// One attempt at a request, as a worker received it.
struct ReceivedAttempt {
  std::string id{};   // correlation id of the request
  std::string uid{};  // of the worker
  std::string sha{};  // of the received part of the upload
  std::uint64_t bytes = 0;
  bool begun = false;   // the last byte of the upload was received
  double begun_ms = 0;  // time of that, by the steady clock
};

// The attempts and events of all workers, and the release of held events. Thread-safe.
class AttemptLog {
 public:
  void record(const ReceivedAttempt& attempt);
  std::vector<ReceivedAttempt> attempts();
  // Counts an attempt at the request; returns the number so far.
  std::uint64_t count_attempt(const std::string& id);
  void note_queue_length(int length);
  void note_rejected() { ++rejected_; }
  long rejected() const { return rejected_; }
  // Counts a job event that was not accepted and is sent again.
  void note_repeated_event() { ++repeated_events_; }
  long repeated_events() const { return repeated_events_; }
  // Blocks until release_held_events() has been called.
  void await_release();
  void release_held_events();
  int longest_queue();

 private:
  std::mutex mutex_;
  std::vector<ReceivedAttempt> attempts_;
  std::map<std::string, std::uint64_t> attempts_by_request_;
  int longest_queue_ = 0;
  std::atomic<long> rejected_{0};
  std::atomic<long> repeated_events_{0};
  bool held_events_released_ = false;  // guarded by mutex_
  std::condition_variable held_events_changed_;
};

// Shared by all workers of a test.
struct WorkerContext {
  std::string host;
  std::string callback_address;  // the dispatcher's; set before requests are sent
  std::atomic<bool> stopping{false};
  AttemptLog log{};
};

// Thread-safe. The destructor ends its threads.
class StubWorker {
 public:
  // `context` outlives the worker.
  StubWorker(std::string uid, WorkerContext& context);

  const std::string& uid() const { return uid_; }
  const std::string& address() const { return listener_.address(); }
  void set_fault(WorkerFault fault);
  // Limits requests with news=1: `slots` run at a time (0: no limit), `queue_capacity` more are
  // queued, and others are rejected. With limits, the worker sends a job event at each start and
  // its load in each answer.
  void set_limits(int slots, int queue_capacity);

  // Wakes requests that wait for a slot and accepts no more connections. Call it after setting
  // `stopping` of the context.
  void stop();

 private:
  struct Attempt;

  void serve(int descriptor);
  // Functions that return bool tell whether the connection stays open.
  bool serve_request(BlockingConnection& connection, const HttpHead& head);
  bool answer_health_check(BlockingConnection& connection, const HttpHead& head);
  void receive_upload(Attempt& attempt, const HttpHead& head);
  void end_incomplete(Attempt& attempt);
  bool answer(Attempt& attempt, WorkerFault fault);
  bool answer_by_callback(Attempt& attempt);
  bool answer_with_body(Attempt& attempt);
  bool serve_queued(Attempt& attempt);
  void run_queued(Attempt& attempt);
  void record(const Attempt& attempt);
  // Posts a job event to the dispatcher, up to ten times until it is accepted.
  void send_job_event(const Query& query, const std::string& event) const;
  std::string load_header() const;
  bool has_limits();

  std::string uid_;
  WorkerContext& context_;
  std::mutex mutex_;  // guards the members up to queue_
  WorkerFault fault_ = WorkerFault::None;
  int slots_ = 0;
  int queue_capacity_ = 0;
  int running_ = 0;
  std::deque<std::string> queue_;  // ids of requests that wait for a slot
  std::condition_variable queue_changed_;
  StubListener listener_;  // last: its threads use the members above
};

}  // namespace dispatcher::testbed

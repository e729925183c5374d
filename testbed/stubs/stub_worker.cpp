#include "testbed/stubs/stub_worker.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "testbed/stubs/host.h"

namespace dispatcher::testbed {
namespace {

// Small, so that bytes that a slow worker has not read yet stay in the dispatcher, not in the
// socket's buffer.
constexpr int kSlowSocketBufferBytes = 64 << 10;
constexpr std::chrono::milliseconds kSlowFaultTime{500};
constexpr int kMaxEventPosts = 10;
constexpr std::chrono::milliseconds kEventPostInterval{20};
constexpr const char* kIdleLoadHeader = "X-Backend-Load: TEXT x0=64, q=0\r\n";
constexpr const char* kUnprocessedHeader = "X-Unprocessed: 1\r\n";

std::uint64_t byte_limit(const Query& query, const char* name) {
  return query_value(query, name, UINT64_MAX);
}

std::string job_event(const ReceivedAttempt& attempt, const std::string& state_and_fields) {
  return R"({"id":")" + attempt.id + R"(","from":")" + attempt.uid + R"(","state":)" +
         state_and_fields + "}";
}

// Returns whether the dispatcher accepted the event.
bool post_job_event(const std::string& address, const std::string& event) {
  BlockingConnection connection(BlockingConnection::dial(address));
  HttpHead response;
  if (!connection.send("POST /_jobs/news HTTP/1.1\r\nContent-Length: " +
                       std::to_string(event.size()) + "\r\n\r\n" + event) ||
      !read_head(connection, response))
    return false;
  return status_code(response) / 100 == 2;
}

// Sets the thread's core and priority and the socket's buffers as the query asks.
void apply_resources(const Query& query, int descriptor) {
  if (auto core = static_cast<int>(query_value(query, "core")); core != 0)
    pin_thread_to_cores(core, core);
  if (query_value(query, "nice") != 0)
    deprioritize_thread();
  const int& bytes = kSlowSocketBufferBytes;
  if (query_value(query, "in") != 0 || query.contains("hang_in"))
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  if (query_value(query, "out") != 0)
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

}  // namespace

void AttemptLog::record(const ReceivedAttempt& attempt) {
  std::lock_guard lock(mutex_);
  attempts_.push_back(attempt);
}

std::vector<ReceivedAttempt> AttemptLog::attempts() {
  std::lock_guard lock(mutex_);
  return attempts_;
}

std::uint64_t AttemptLog::count_attempt(const std::string& id) {
  std::lock_guard lock(mutex_);
  return ++attempts_by_request_[id];
}

void AttemptLog::note_queue_length(int length) {
  std::lock_guard lock(mutex_);
  longest_queue_ = std::max(longest_queue_, length);
}

int AttemptLog::longest_queue() {
  std::lock_guard lock(mutex_);
  return longest_queue_;
}

void AttemptLog::await_release() {
  std::unique_lock lock(mutex_);
  held_events_changed_.wait(lock, [this] { return held_events_released_; });
}

void AttemptLog::release_held_events() {
  {
    std::lock_guard lock(mutex_);
    held_events_released_ = true;
  }
  held_events_changed_.notify_all();
}

struct StubWorker::Attempt {
  BlockingConnection& connection;
  Query query;
  ReceivedAttempt received;
};

StubWorker::StubWorker(std::string uid, WorkerContext& context)
    : uid_(std::move(uid)),
      context_(context),
      listener_(context.host, [this](int descriptor) { serve(descriptor); }) {}

void StubWorker::set_fault(WorkerFault fault) {
  std::lock_guard lock(mutex_);
  fault_ = fault;
}

void StubWorker::set_limits(int slots, int queue_capacity) {
  std::lock_guard lock(mutex_);
  slots_ = slots;
  queue_capacity_ = queue_capacity;
}

void StubWorker::stop() {
  { std::lock_guard lock(mutex_); }  // each thread that has read `stopping` as false waits by now
  queue_changed_.notify_all();
  listener_.stop();
}

bool StubWorker::has_limits() {
  std::lock_guard lock(mutex_);
  return slots_ > 0;
}

std::string StubWorker::load_header() const {
  return "X-Backend-Load: TEXT x0=" + std::to_string(slots_ - running_) +
         ", q=" + std::to_string(queue_.size()) + "\r\n";
}

void StubWorker::record(const Attempt& attempt) {
  // A deprioritized thread must not delay the others while it holds the log's lock.
  if (query_value(attempt.query, "nice") == 0)
    context_.log.record(attempt.received);
}

void StubWorker::send_job_event(const Query& query, const std::string& event) const {
  auto port = query.find("back");
  std::string address = port == query.end() ? context_.callback_address
                                            : context_.host + ":" + std::to_string(port->second);
  for (int posts = 0; posts < kMaxEventPosts && !context_.stopping; ++posts) {
    if (posts > 0) {
      context_.log.note_repeated_event();
      std::this_thread::sleep_for(kEventPostInterval);
    }
    if (post_job_event(address, event))
      return;
  }
}

void StubWorker::serve(int descriptor) {
  BlockingConnection connection(descriptor);
  HttpHead head;
  while (read_head(connection, head)) {
    if (!serve_request(connection, head))
      return;
  }
}

bool StubWorker::serve_request(BlockingConnection& connection, const HttpHead& head) {
  WorkerFault fault = WorkerFault::None;
  {
    std::lock_guard lock(mutex_);
    fault = fault_;
  }
  if (fault == WorkerFault::Unresponsive) {
    connection.wait_for_close(kMaxPeerSilence);
    return false;
  }
  if (!head.start_line.starts_with("POST"))
    return answer_health_check(connection, head);
  auto id = head.fields.find("x-correlation-id");
  Attempt attempt{.connection = connection,
                  .query = read_query(request_target(head)),
                  .received = {.id = id == head.fields.end() ? "" : id->second, .uid = uid_}};
  if (attempt.query.contains("only") &&
      context_.log.count_attempt(attempt.received.id) > attempt.query["only"])
    attempt.query.clear();
  apply_resources(attempt.query, connection.descriptor());
  receive_upload(attempt, head);
  if (!attempt.received.begun || byte_limit(attempt.query, "early") == 0 ||
      byte_limit(attempt.query, "die_in") == 0 || byte_limit(attempt.query, "hang_in") == 0) {
    end_incomplete(attempt);
    return false;
  }
  if (query_value(attempt.query, "news") != 0 && fault != WorkerFault::Hang && has_limits())
    return serve_queued(attempt);
  return answer(attempt, fault);
}

bool StubWorker::answer_health_check(BlockingConnection& connection, const HttpHead& head) {
  std::string load;
  {
    std::lock_guard lock(mutex_);
    if (slots_ > 0)
      load = load_header();
  }
  int status = head.start_line.starts_with("GET") ? 200 : 204;
  return connection.send(make_response(status, load));
}

void StubWorker::receive_upload(Attempt& attempt, const HttpHead& head) {
  std::uint64_t stop =
      std::min({byte_limit(attempt.query, "early"), byte_limit(attempt.query, "die_in"),
                byte_limit(attempt.query, "hang_in")});
  ReceivedAttempt& received = attempt.received;
  Sha256 sha;
  auto consume = [&](std::string_view bytes) {
    sha.add(bytes);
    received.bytes += bytes.size();
    return received.bytes < stop;
  };
  received.begun = read_body(attempt.connection, head, query_value(attempt.query, "in"), consume);
  received.begun_ms =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
          .count();
  received.sha = sha.hex();
}

// Ends an attempt whose upload was not read completely.
void StubWorker::end_incomplete(Attempt& attempt) {
  std::uint64_t bytes = attempt.received.bytes;
  if (bytes >= byte_limit(attempt.query, "die_in"))
    attempt.connection.close_acknowledged();  // before the attempt becomes visible in the log
  record(attempt);
  if (bytes >= byte_limit(attempt.query, "hang_in"))
    attempt.connection.wait_for_close(kMaxPeerSilence);
  if (bytes < byte_limit(attempt.query, "early"))
    return;
  auto status = static_cast<int>(query_value(attempt.query, "status"));
  attempt.connection.send(make_response(status, status == 503 ? kUnprocessedHeader : "", "early"));
  while (!attempt.connection.read_some(kTransferBlockBytes).empty()) {
  }
}

bool StubWorker::answer(Attempt& attempt, WorkerFault fault) {
  if (fault == WorkerFault::Hang) {
    record(attempt);
    attempt.connection.wait_for_close(kMaxPeerSilence);
    return false;
  }
  std::chrono::milliseconds work(query_value(attempt.query, "work"));
  std::this_thread::sleep_for(fault == WorkerFault::Slow ? work + kSlowFaultTime : work);
  if (fault == WorkerFault::Fail) {
    record(attempt);
    return attempt.connection.send(make_response(500));
  }
  if (attempt.query.contains("reply"))
    return answer_with_body(attempt);
  if (query_value(attempt.query, "news") != 0)
    return answer_by_callback(attempt);
  record(attempt);
  return attempt.connection.send(make_response(200, kIdleLoadHeader, attempt.received.sha));
}

bool StubWorker::answer_by_callback(Attempt& attempt) {
  record(attempt);
  bool sent = attempt.connection.send(make_response(202));
  std::this_thread::sleep_for(std::chrono::milliseconds(query_value(attempt.query, "late")));
  if (query_value(attempt.query, "held") != 0)
    context_.log.await_release();
  std::string result = R"("done","result":")" + attempt.received.sha + R"(","load":{"x0":64})";
  send_job_event(attempt.query, job_event(attempt.received, result));
  return sent;
}

bool StubWorker::answer_with_body(Attempt& attempt) {
  const Query& query = attempt.query;
  BodyTransfer reply{
      .seed = query_value(query, "seed"),
      .bytes = query_value(query, "reply"),
      .chunked = query_value(query, "chunked") != 0,
      .bytes_per_second = query_value(query, "out"),
      .stop_after = std::min(byte_limit(query, "die_out"), byte_limit(query, "hang_out")),
  };
  std::string framing = reply.chunked ? "Transfer-Encoding: chunked"
                                      : "Content-Length: " + std::to_string(reply.bytes);
  Sha256 sha;
  bool sent = attempt.connection.send(std::string("HTTP/1.1 200 OK\r\n") + kIdleLoadHeader +
                                      framing + "\r\n\r\n") &&
              send_body(attempt.connection, reply, sha);
  record(attempt);
  if (!sent && query.contains("hang_out"))
    attempt.connection.wait_for_close(kMaxPeerSilence);
  return sent;
}

// Rejects the request, or accepts it and reports its start and its end by job events.
// Cancellations have no effect.
bool StubWorker::serve_queued(Attempt& attempt) {
  std::unique_lock lock(mutex_);
  if (running_ >= slots_ && std::ssize(queue_) >= queue_capacity_) {
    std::string load = load_header();
    lock.unlock();
    context_.log.note_rejected();
    return attempt.connection.send(make_response(503, kUnprocessedHeader + load));
  }
  queue_.push_back(attempt.received.id);
  context_.log.note_queue_length(static_cast<int>(queue_.size()) - (running_ < slots_ ? 1 : 0));
  lock.unlock();
  attempt.connection.send(make_response(202, "Connection: close\r\n"));
  attempt.connection.close();
  run_queued(attempt);
  return false;
}

void StubWorker::run_queued(Attempt& attempt) {
  const std::atomic<bool>& stopping = context_.stopping;
  const ReceivedAttempt& received = attempt.received;
  std::unique_lock lock(mutex_);
  queue_changed_.wait(
      lock, [&] { return stopping || (queue_.front() == received.id && running_ < slots_); });
  queue_.pop_front();
  ++running_;
  context_.log.record(received);
  lock.unlock();
  queue_changed_.notify_all();
  if (!stopping)
    send_job_event(attempt.query, job_event(received, R"("started")"));
  if (!stopping)
    std::this_thread::sleep_for(std::chrono::milliseconds(query_value(attempt.query, "work")));
  lock.lock();
  --running_;
  std::string load = R"("load":{"x0":)" + std::to_string(slots_ - running_) + R"(,"q":)" +
                     std::to_string(queue_.size()) + "}";
  lock.unlock();
  queue_changed_.notify_all();
  if (!stopping) {
    std::string result = R"("done","result":")" + received.sha + "\"," + load;
    send_job_event(attempt.query, job_event(received, result));
  }
}

}  // namespace dispatcher::testbed

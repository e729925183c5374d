#include "testbed/soak/request_ledger.h"

#include <array>
#include <chrono>
#include <cstdio>

#include "testbed/stubs/stub_client.h"

namespace dispatcher::testbed {
namespace {

// A request whose response comes later than this after the client's timeout counts as lost.
constexpr double kResponseGraceMs = 500;
// No attempt may begin later than this after the client disconnected.
constexpr double kDisconnectGraceMs = 100;
// A request must not wait this long while some worker is healthy: the workers of a soak always have
// free slots.
constexpr double kIdleWorkerMs = 1000;
constexpr int kOk = 200;
constexpr int kFirstClientError = 400;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kServiceUnavailable = 503;

bool is_rejection(int status) {
  return status == kTooManyRequests || status == kServiceUnavailable;
}

bool is_client_error(int status) {
  return status >= kFirstClientError && status < kFirstServerError && !is_rejection(status);
}

using AttemptsById = std::map<std::string, std::vector<ReceivedAttempt>>;

class RequestChecker {
 public:
  RequestChecker(const RequestRecord& record, const AttemptsById& attempts,
                 const WorkerFaults& faults)
      : record_(record), faults_(faults), id_(id_text(record.id)) {
    auto it = attempts.find(id_);
    if (it == attempts.end())
      return;
    for (const ReceivedAttempt& attempt : it->second) {
      if (attempt.begun)
        begun_.push_back(attempt);
    }
  }

  std::vector<Violation> check() {
    if (begun_.size() > 1)
      add("begun twice", "at " + begun_[0].uid + " and " + begun_[1].uid);
    if (record_.disconnected) {
      check_disconnected();
    } else {
      check_response();
    }
    return std::move(violations_);
  }

 private:
  void check_disconnected() {
    for (const ReceivedAttempt& attempt : begun_) {
      if (attempt.begun_ms > record_.ended_ms + kDisconnectGraceMs) {
        add("begun after the client disconnected",
            std::to_string(attempt.begun_ms - record_.ended_ms));
      }
    }
  }

  void check_response() {
    const ClientResponse& response = record_.response;
    double elapsed_ms = record_.ended_ms - record_.sent_ms;
    if (response.status == 0 || !response.complete)
      return add("lost", begun_.empty() ? "not begun" : "begun");
    if (elapsed_ms > record_.time_left_ms + kResponseGraceMs)
      add("lost", "late response");
    if (is_client_error(response.status))
      add("lost", "client error status, as for a duplicate or malformed request");
    if (is_rejection(response.status) && !begun_.empty())
      add("rejected although begun", "");
    if (response.status == kOk && response.body != response.sent_sha)
      add("served with the wrong body", "");
    if (response.status == kOk && begun_.empty())
      add("served but never begun", "");
    bool excused = record_.may_be_rejected && is_rejection(response.status);
    if (response.status != kOk && record_.success_expected && !excused)
      add("not served although no fault was active", "");
    if (is_rejection(response.status) && !record_.may_be_rejected &&
        waited_while_a_worker_was_idle())
      add("rejected while a worker was idle", "");
  }

  bool waited_while_a_worker_was_idle() const {
    double from_ms = record_.ended_ms - kIdleWorkerMs;
    return record_.sent_ms <= from_ms && faults_.any_healthy(from_ms, record_.ended_ms);
  }

  void add(const std::string& rule, const std::string& detail) {
    std::array<char, 160> text{};
    std::snprintf(text.data(), text.size(), "%s: status %d, sent at %.1f, ended at %.1f%s; %s",
                  id_.c_str(), record_.response.status, record_.sent_ms, record_.ended_ms,
                  record_.resent ? ", resent" : "", detail.c_str());
    violations_.push_back(
        {rule, std::string(text.data()) + " " + record_.response.body.substr(0, 80)});
  }

  const RequestRecord& record_;
  const WorkerFaults& faults_;
  std::string id_;
  std::vector<ReceivedAttempt> begun_;
  std::vector<Violation> violations_;
};

}  // namespace

double steady_ms() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void RequestLedger::add(const RequestRecord& record) {
  std::lock_guard lock(mutex_);
  records_.push_back(record);
}

LedgerTotals RequestLedger::totals() const {
  std::lock_guard lock(mutex_);
  LedgerTotals totals;
  for (const RequestRecord& record : records_) {
    ++totals.requests;
    totals.resent += record.resent;
    if (record.disconnected) {
      ++totals.disconnected;
    } else if (record.response.status == kOk) {
      ++totals.served;
    } else if (is_rejection(record.response.status)) {
      ++totals.rejected;
    } else {
      ++totals.failed;
    }
  }
  return totals;
}

std::vector<Violation> RequestLedger::find_violations(const std::vector<ReceivedAttempt>& attempts,
                                                      const WorkerFaults& faults) const {
  std::lock_guard lock(mutex_);
  AttemptsById by_id;
  for (const ReceivedAttempt& attempt : attempts)
    by_id[attempt.id].push_back(attempt);
  std::vector<Violation> violations;
  for (const RequestRecord& record : records_) {
    for (Violation& violation : RequestChecker(record, by_id, faults).check())
      violations.push_back(std::move(violation));
  }
  return violations;
}

}  // namespace dispatcher::testbed

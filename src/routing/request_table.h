// The open requests, by slot or by id, and the ids of requests that ended recently.
//
// An answered request stays in the table until its attempts have ended. If a cancellation does not
// reach its worker, the attempt stays open until the client's deadline. Answered requests do not
// count towards the limit of open requests; the table has additional slots for as many answered
// requests as that limit.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/ports.h"
#include "routing/recent_ids.h"
#include "transport/deadlines.h"

namespace dispatcher::routing {

struct Attempt {
  std::string worker;
  bool open = true;           // the end has not been reported yet
  bool may_have_run = false;  // according to the worker or the outcome
  bool may_report = true;     // job events may still arrive, even after the end
};

struct OpenRequest {
  scheduling::RequestId id = 0;
  std::size_t job_class = 0;
  int max_attempts = 1;                           // from the settings at admission
  std::shared_ptr<const RequestPayload> payload;  // null: answered, and no upload is streamed
  transport::Time expires_at{};                   // when the client times out
  bool answered = false;
  std::vector<Attempt> attempts;
  transport::Deadlines::Handle deadline;

  bool is_open(int attempt) const {
    return attempt >= 0 && attempt < std::ssize(attempts) && attempts[attempt].open;
  }
  bool has_open_attempt() const;
  // The latest open attempt at `worker`. A worker has at most one open attempt of a request.
  std::optional<int> open_attempt_at(const std::string& worker) const;
  // Whether a job event from this attempt's worker may belong to an earlier attempt there.
  bool has_earlier_attempt_that_may_report(int attempt) const;
  // Part of the upload has been sent and is no longer buffered, so no further attempt is possible.
  bool cannot_be_resent() const;
  // Whether a worker may have begun the request. False if every attempt is known not to have run.
  bool may_have_begun() const;
  // The upload is streamed and its end has not been forwarded yet.
  bool has_unfinished_upload() const;
};

class RequestTable {
 public:
  // `max_requests`: limit of requests that are not answered yet.
  explicit RequestTable(std::size_t max_requests)
      : max_requests_(max_requests), slots_(kSlotsPerRequest * max_requests) {}

  void set_max_requests(std::size_t max_requests) {
    max_requests_ = max_requests;
    slots_.set_capacity(kSlotsPerRequest * max_requests);
  }

  // Returns nullopt if the table is full.
  std::optional<RequestRef> insert(OpenRequest request);
  // Returns null if the request has been removed.
  OpenRequest* find(RequestRef ref) { return slots_.find(ref); }
  const OpenRequest* find(RequestRef ref) const { return slots_.find(ref); }
  // Returns nullopt if the request is unknown or has been removed.
  std::optional<RequestRef> find_id(scheduling::RequestId id) const;
  // Frees the slot. The id stays known until kMaxEndedIds more requests have been removed: requests
  // that workers may have begun, or else those that none has begun.
  void remove(RequestRef ref);
  // Call once when an open request is answered.
  void mark_answered(OpenRequest& request);

  // Whether the request is open here or ended here recently.
  bool knows(scheduling::RequestId id) const { return by_id_.contains(id); }
  // The ids that another process must reject: the external ones, those of ended requests that
  // workers may have begun, and those of open requests, each oldest first.
  std::vector<scheduling::RequestId> known_ids() const;
  // Requests that are open at another process of a hot restart, or ended there recently.
  void add_external_ids(const std::vector<scheduling::RequestId>& ids);
  // The removed request is at another process now.
  void make_external(scheduling::RequestId id);
  bool is_duplicate(scheduling::RequestId id) const {
    return knows(id) || external_ids_.contains(id);
  }

  std::vector<RequestRef> refs() const { return slots_.refs(); }
  std::vector<RequestRef> unanswered() const;
  std::size_t unanswered_count() const { return unanswered_count_; }

 private:
  // Request ids are unique, and a request that is repeated shortly after its end must not run
  // again. This many ids take 256 KB and cover more than a minute of requests. Requests that no
  // worker has begun are counted separately: they can be rejected at any rate and would displace
  // the others.
  static constexpr std::size_t kMaxEndedIds = 4096;
  // The ids of one process, of the requests that it accepts while it ends, and of the process
  // before.
  static constexpr std::size_t kMaxExternalIds = 2 * kMaxEndedIds;
  static constexpr std::size_t kSlotsPerRequest = 2;

  using EndedIds = std::deque<scheduling::RequestId>;  // oldest first
  void remember_ended(EndedIds& ended, scheduling::RequestId id);

  std::size_t max_requests_;
  mutable transport::SlotTable<OpenRequest> slots_;  // mutable: SlotTable::find() is not const
  std::unordered_map<scheduling::RequestId, RequestRef> by_id_;
  RecentIds external_ids_{kMaxExternalIds};
  EndedIds begun_ids_;  // a worker may have begun them
  EndedIds not_begun_ids_;
  std::size_t unanswered_count_ = 0;
};

}  // namespace dispatcher::routing

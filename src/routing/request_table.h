// The requests that are open, found by slot or by id, and the ids of those that ended recently.
//
// An answered request stays in the table until its attempts have ended: a cancellation may not
// reach its worker, and the attempt then lasts until the client's deadline. Such requests do not
// count against the limit of open ones, but the table holds no more than as many again.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "routing/ports.h"
#include "transport/deadlines.h"

namespace dispatcher::routing {

struct Attempt {
  std::string worker;
  bool open = true;           // its end has not been reported yet
  bool may_have_run = false;  // by what the worker said or how it ended
  bool may_report = true;     // a job event of it may come, also after its end
};

struct OpenRequest {
  scheduling::RequestId id = 0;
  std::size_t job_class = 0;
  int max_attempts = 1;                           // by the settings in force when it was admitted
  std::shared_ptr<const RequestPayload> payload;  // null: answered, and all of it is sent
  transport::Time expires_at{};                   // the client times out
  bool answered = false;
  std::vector<Attempt> attempts;
  transport::Deadlines::Handle deadline;

  bool is_open(int attempt) const {
    return attempt >= 0 && attempt < std::ssize(attempts) && attempts[attempt].open;
  }
  bool has_open_attempt() const;
  // The last open attempt at `worker`, which has one attempt of a request at a time.
  std::optional<int> open_attempt_at(const std::string& worker) const;
  // Whether a job event of the worker may be of an attempt before this one.
  bool has_earlier_attempt_that_may_report(int attempt) const;
  // Part of the upload is sent and no longer buffered: there can be no further attempt.
  bool cannot_be_resent() const;
  // The upload passes through and its end has not been passed on yet.
  bool has_unfinished_upload() const;
};

class RequestTable {
 public:
  // `max_requests`: that are not answered yet.
  explicit RequestTable(std::size_t max_requests)
      : max_requests_(max_requests), slots_(kSlotsPerRequest * max_requests) {}

  // Nothing: the table is full.
  std::optional<RequestRef> insert(OpenRequest request);
  // Null: it is removed.
  OpenRequest* find(RequestRef ref) { return slots_.find(ref); }
  const OpenRequest* find(RequestRef ref) const { return slots_.find(ref); }
  // Nothing: unknown, or removed.
  std::optional<RequestRef> find_id(scheduling::RequestId id) const;
  // Frees the slot. The id stays known until kMaxEndedIds further requests have been removed.
  void remove(RequestRef ref);
  // Records the answer of an open request.
  void mark_answered(OpenRequest& request);

  // Open here, or ended recently.
  bool knows(scheduling::RequestId id) const { return by_id_.contains(id); }
  std::vector<scheduling::RequestId> known_ids() const;
  // Open at another process of this dispatcher, or ended there recently.
  void add_external_ids(const std::vector<scheduling::RequestId>& ids) {
    external_ids_.insert(ids.begin(), ids.end());
  }
  bool is_duplicate(scheduling::RequestId id) const {
    return knows(id) || external_ids_.contains(id);
  }

  std::vector<RequestRef> refs() const { return slots_.refs(); }
  std::vector<RequestRef> unanswered() const;
  std::size_t unanswered_count() const { return unanswered_count_; }

 private:
  // Each request has a new id, and a repeated one shortly after the end must not run again. A
  // quarter of a megabyte, for more than a minute's requests.
  static constexpr std::size_t kMaxEndedIds = 4096;
  static constexpr std::size_t kSlotsPerRequest = 2;

  std::size_t max_requests_;
  mutable transport::SlotTable<OpenRequest> slots_;  // its find() is not const
  std::unordered_map<scheduling::RequestId, RequestRef> by_id_;
  std::unordered_set<scheduling::RequestId> external_ids_;
  std::deque<scheduling::RequestId> ended_ids_;  // oldest first
  std::size_t unanswered_count_ = 0;
};

}  // namespace dispatcher::routing

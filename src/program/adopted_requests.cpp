#include "program/adopted_requests.h"

#include <algorithm>
#include <cstdio>

namespace dispatcher::program {

using scheduling::RequestId;

namespace {

constexpr transport::Duration kMargin{6};  // the answer goes out so long before its client gives up
constexpr const char* kFailed = "failed; it may have run";

}  // namespace

AdoptedRequests::AdoptedRequests(ClientServer& front, WorkerClient& workers, Platform on)
    : front_(front), workers_(workers), on_(on) {
  front_.on_adopted_job_event([this](const protocol::JobEvent& news) { return hear(news); });
}

void AdoptedRequests::take(const hot_restart::Job& job, transport::SlotRef at) {
  RequestId id = job.id();
  Ward& w = wards_[id];
  w.connection = at;
  auto it = std::ranges::find(on_.words.classes, job.name());
  w.job_class = static_cast<std::size_t>(it - on_.words.classes.begin());
  w.workers.assign(job.uids().begin(), job.uids().end());
  w.ends = on_.deadlines.add(transport::Time(transport::Duration(job.ends())) - kMargin,
                             [this, id] { answer(id, 502, kFailed); });
  ClientServer::ReleasedConnection as{{}, job.connection().unread(), job.keep_alive(), job.old()};
  front_.adopt_request_connection(at, as, [this, id] { end(id); });
}

bool AdoptedRequests::hear(const protocol::JobEvent& news) {
  auto it = wards_.find(news.id);
  if (it == wards_.end())
    return false;
  using What = protocol::JobEvent::What;
  Ward& w = it->second;
  if (news.what == What::Started || news.what == What::Progress)
    return true;
  if (std::erase(w.workers, news.from) == 0)
    return true;  // an attempt that was given up before
  if (news.what == What::Done) {
    answer(news.id, 200, news.result);
  } else if (w.workers.empty()) {
    answer(news.id, 502, kFailed);
  }
  return true;
}

void AdoptedRequests::answer(RequestId id, int status, std::string_view body) {
  Ward& w = wards_.at(id);
  if (w.job_class < on_.words.classes.size()) {
    operations::Ends& ends = on_.metrics.of(w.job_class);
    ++(status == 200 ? ends.fulfilled : ends.faulted);
  }
  transport::SlotRef at = w.connection;
  end(id);
  front_.answer_adopted(at, status, body);
}

void AdoptedRequests::end(RequestId id) {
  auto it = wards_.find(id);
  if (it == wards_.end())
    return;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  for (const std::string& worker : it->second.workers)
    workers_.cancel_job(worker, text);
  on_.deadlines.drop(it->second.ends);
  wards_.erase(it);
}

void AdoptedRequests::fail_all() {
  while (!wards_.empty())
    answer(wards_.begin()->first, 502, kFailed);
}

}  // namespace dispatcher::program

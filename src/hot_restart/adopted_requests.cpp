#include "hot_restart/adopted_requests.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace dispatcher::hot_restart {

using scheduling::RequestId;

namespace {

// A failure is reported to the client this long before its deadline.
constexpr transport::Duration kDeadlineMargin{6};  // ms
constexpr int kOk = 200;
constexpr int kBadGateway = 502;

std::string format_id(RequestId id) {
  constexpr std::size_t digits_and_end = 17;
  std::array<char, digits_and_end> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
  return text.data();
}

}  // namespace

AdoptedRequests::AdoptedRequests(http::ClientServer& client_server, http::WorkerClient& workers,
                                 http::Platform platform)
    : client_server_(client_server), workers_(workers), platform_(platform) {
  client_server_.set_adopted_jobs(*this);
}

void AdoptedRequests::adopt(const AdoptedRequest& message, transport::SlotRef connection) {
  AcceptedRequest request = read_adopted_request(message);
  RequestId id = request.id;
  trace_.adopted(id);
  auto deadline = platform_.deadlines.add(request.expires_at - kDeadlineMargin,
                                          [this, id] { answer_failed(id); });
  entries_[id] = {std::move(request), connection, deadline};
  client_server_.adopt_request_connection(
      connection, {{}, message.connection().unread(), message.keep_alive(), message.http_1_0()},
      [this, id] { on_client_left(id); });
}

std::vector<RequestId> AdoptedRequests::ids() const {
  std::vector<RequestId> ids;
  for (const auto& [id, entry] : entries_)
    ids.push_back(id);
  return ids;
}

void AdoptedRequests::on_job_event(const protocol::JobEvent& event) {
  auto it = entries_.find(event.id);
  if (it == entries_.end())
    return;
  using State = protocol::JobEvent::State;
  if (event.state == State::Started || event.state == State::Progress)
    return;
  std::vector<std::string>& workers = it->second.request.workers;
  if (std::erase(workers, event.worker_uid) == 0)
    return;  // from an attempt that has been cancelled
  if (event.state == State::Done) {
    answer(event.id, kOk, event.result);
  } else if (workers.empty()) {
    answer_failed(event.id);
  }
}

std::optional<AdoptedRequests::Released> AdoptedRequests::release(RequestId id) {
  auto it = entries_.find(id);
  if (it == entries_.end())
    return std::nullopt;
  auto connection = client_server_.release_adopted_connection(it->second.connection);
  if (!connection)
    return std::nullopt;
  trace_.answered(id, "released");
  platform_.deadlines.disarm(it->second.deadline);
  Released released{std::move(it->second.request), std::move(*connection)};
  entries_.erase(it);
  return released;
}

void AdoptedRequests::answer(RequestId id, int status, std::string_view body) {
  const Entry& entry = entries_.at(id);
  bool succeeded = status == kOk;
  trace_.answered(id, succeeded ? "served" : "failed");
  count_answer(entry.request.class_name, succeeded);
  transport::SlotRef connection = entry.connection;
  remove(id);
  client_server_.answer_adopted(connection, status, body);
}

void AdoptedRequests::answer_failed(RequestId id) {
  answer(id, kBadGateway, "failed; it may have run");
}

void AdoptedRequests::count_answer(const std::string& class_name, bool succeeded) {
  const std::vector<std::string>& classes = platform_.identifier_tables.classes;
  auto it = std::ranges::find(classes, class_name);
  if (it == classes.end())
    return;  // the class is not configured in this process
  operations::RequestCounts& counts =
      platform_.metrics.for_class(static_cast<std::size_t>(it - classes.begin()));
  ++(succeeded ? counts.fulfilled : counts.faulted);
}

void AdoptedRequests::on_client_left(RequestId id) {
  trace_.answered(id, "disconnected");
  remove(id);
}

void AdoptedRequests::remove(RequestId id) {
  auto it = entries_.find(id);
  if (it == entries_.end())
    return;
  for (const std::string& worker : it->second.request.workers)
    workers_.cancel_job(worker, format_id(id));
  platform_.deadlines.disarm(it->second.deadline);
  entries_.erase(it);
}

void AdoptedRequests::fail_all() {
  while (!entries_.empty())
    answer_failed(entries_.begin()->first);
}

}  // namespace dispatcher::hot_restart

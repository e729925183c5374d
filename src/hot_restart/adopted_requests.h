// Requests that the incoming process takes over from the outgoing one. A worker has already
// accepted the job and will send its result as a job event, while the client's connection is held
// here. No scheduling decision is left: the result is the response, and any other outcome is a
// failure. When this process ends in turn, the next one adopts them.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart/protocol.h"
#include "http/client_server.h"
#include "http/worker_client.h"
#include "routing/request_trace.h"

namespace dispatcher::hot_restart {

class AdoptedRequests final : public http::AdoptedJobs {
 public:
  AdoptedRequests(http::ClientServer& client_server, http::WorkerClient& workers,
                  http::Platform platform);

  void set_trace_sink(routing::RequestTrace::Sink sink) { trace_.set_sink(std::move(sink)); }

  // `connection`: the client's connection, which is waiting for the response.
  void adopt(const AdoptedRequest& message, transport::SlotRef connection);
  std::size_t size() const { return entries_.size(); }
  std::vector<scheduling::RequestId> ids() const;

  // http::AdoptedJobs
  bool holds(scheduling::RequestId id) const override { return entries_.contains(id); }
  void on_job_event(const protocol::JobEvent& event) override;

  struct Released {
    AcceptedRequest request;
    http::ClientServer::ReleasedConnection connection;
  };
  // Another process takes over the request: nothing more is sent to its workers or its client.
  // Nullopt if the request is not here or its connection cannot be released now.
  std::optional<Released> release(scheduling::RequestId id);
  // Responds to every client with a failure, as the program is about to end.
  void fail_all();

 private:
  struct Entry {
    AcceptedRequest request;
    transport::SlotRef connection;
    transport::Deadlines::Handle deadline;
  };

  void answer(scheduling::RequestId id, int status, std::string_view body);
  void answer_failed(scheduling::RequestId id);
  void count_answer(const std::string& class_name, bool succeeded);
  void on_client_left(scheduling::RequestId id);
  // Removes the request and cancels its job on the workers that still have it.
  void remove(scheduling::RequestId id);

  http::ClientServer& client_server_;
  http::WorkerClient& workers_;
  http::Platform platform_;
  routing::RequestTrace trace_;
  std::map<scheduling::RequestId, Entry> entries_;
};

}  // namespace dispatcher::hot_restart

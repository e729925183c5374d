// Requests of the outgoing process that outlive it: a worker has accepted the job and will send its
// result as a job event, and the client waits here. There is no decision left to make: the result
// is the answer, and any other end is a failure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "hot_restart.pb.h"
#include "http/client_server.h"
#include "http/worker_client.h"

namespace dispatcher::hot_restart {

class AdoptedRequests {
 public:
  AdoptedRequests(http::ClientServer& client_server, http::WorkerClient& workers,
                  http::Platform platform);

  // `connection`: of the client that waits for the answer.
  void adopt(const AdoptedRequest& request, transport::SlotRef connection);
  std::size_t size() const { return entries_.size(); }
  // Answers every client now, as the program is about to end.
  void fail_all();

 private:
  struct Entry {
    transport::SlotRef connection;
    std::size_t job_class = 0;
    std::vector<std::string> workers;  // that have the job
    transport::Deadlines::Handle deadline;
  };

  bool on_job_event(const protocol::JobEvent& event);
  void answer(scheduling::RequestId id, int status, std::string_view body);
  void answer_failed(scheduling::RequestId id);
  void count_answer(std::size_t job_class, bool succeeded);
  // Also cancels the job at the workers that still have it.
  void remove(scheduling::RequestId id);

  http::ClientServer& client_server_;
  http::WorkerClient& workers_;
  http::Platform platform_;
  std::map<scheduling::RequestId, Entry> entries_;
};

}  // namespace dispatcher::hot_restart

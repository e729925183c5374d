// Jobs of the old process that outlive it: an worker has them and will call back, and their
// clients wait here. Nothing is left to decide of one: its result is the answer, and any other end
// is a failure.
#pragma once

#include <map>

#include "hot_restart.pb.h"
#include "http/client_server.h"
#include "http/worker_client.h"

namespace dispatcher::program {

using http::ClientServer;
using http::Platform;
using http::WorkerClient;

class AdoptedRequests {
 public:
  AdoptedRequests(ClientServer& front, WorkerClient& workers, Platform on);

  void take(const hot_restart::Job& job, transport::SlotRef connection);
  std::size_t size() const { return wards_.size(); }
  void fail_all();  // the program must end

 private:
  struct Ward {
    transport::SlotRef connection;
    std::size_t job_class = 0;
    std::vector<std::string> workers;  // that have it
    transport::Deadlines::Handle ends;
  };
  bool hear(const protocol::JobEvent& news);
  void answer(scheduling::RequestId id, int status, std::string_view body);
  void end(scheduling::RequestId id);  // and tell the workers that still have it

  ClientServer& front_;
  WorkerClient& workers_;
  Platform on_;
  std::map<scheduling::RequestId, Ward> wards_;
};

}  // namespace dispatcher::program

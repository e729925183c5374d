// What both processes of a hot restart tell each other while they live side by side: ids of
// accepted requests, job events for requests of the other process, operators' cordon calls.
//
// Nothing of it goes to an incoming process before OwnershipTransfer, which carries what was
// before: until then that process holds no request, and may be waiting for Welcome.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "hot_restart/process_link.h"
#include "hot_restart/serving_program.h"
#include "operations/log.h"

namespace dispatcher::hot_restart {

class SharedEvents {
 public:
  // The links to the process before this one and to the one after it; they must outlive this
  // object.
  SharedEvents(ServingProgram& program, ProcessLink& predecessor, ProcessLink& successor,
               operations::Log& log);

  // True: the message is one of those that either process may send.
  static bool is_shared(const Message& message);
  void on_message(ProcessLink& sender, const Message& message);
  // The request has gone to the other process, or will be there in a moment.
  void mark_released(scheduling::RequestId id) { released_.insert(id); }
  // Until the ownership transfer, the cordons of the outgoing process may not contain yet what an
  // operator has called here: such calls are recorded, to be applied again after those cordons.
  void record_cordon_calls() { records_cordon_calls_ = true; }
  void reapply_cordon_calls();
  void forget_cordon_calls();
  // A process has gone: every forwarded job event gets the answer that the worker must call again.
  void fail_forwarded();

 private:
  struct ForwardedJobEvent {
    int receipts_awaited = 0;
    std::function<void(bool received)> notify;
  };

  struct RecordedCordonCall {
    std::string uid;
    bool cordoned = false;
  };

  void on_cordon_call(const std::string& uid, bool cordoned);
  bool forward_job_event(std::string_view body, std::function<void(bool received)> notify);
  void on_job_event(ProcessLink& sender, const JobEventForward& forward);
  void on_receipt(std::uint64_t number, bool received);
  void send_to_all(const Message& message);

  ServingProgram& program_;
  ProcessLink& predecessor_;
  ProcessLink& successor_;
  operations::Log& log_;
  std::set<scheduling::RequestId> released_;
  std::map<std::uint64_t, ForwardedJobEvent> forwarded_;
  std::uint64_t last_number_ = 0;
  std::vector<RecordedCordonCall> cordon_calls_;
  bool records_cordon_calls_ = false;
};

}  // namespace dispatcher::hot_restart

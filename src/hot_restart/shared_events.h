// Events that the processes of a hot restart exchange while more than one runs: ids of accepted
// requests, job events for requests of another process, and operators' cordon calls. A process
// between two others passes on what concerns the third one.
//
// None are sent to an incoming process before OwnershipTransfer, which carries the state up to
// then: until it arrives, that process holds no requests and may still be waiting for Welcome.
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
  // `predecessor` and `successor`: links to the process started before this one and to the one
  // started after it; they must outlive this object.
  SharedEvents(ServingProgram& program, ProcessLink& predecessor, ProcessLink& successor,
               const transport::Clock& clock, operations::Log& log);

  // Whether the message is one of those that either process may send.
  static bool is_shared(const Message& message);
  void on_message(ProcessLink& sender, const Message& message);
  // The request has been or is about to be released to the successor.
  void mark_released(scheduling::RequestId id) { released_requests_.insert(id); }
  // The successor has ended and with it the requests that were released to it.
  void forget_released() { released_requests_.clear(); }
  // Records the cordon calls that operators make to this process. The cordons that the outgoing
  // process sends until the ownership transfer may not contain these calls yet, so they must be
  // reapplied afterwards.
  void start_recording_cordon_calls() { recording_cordon_calls_ = true; }
  // Also sends the outgoing process the calls that were made while there was no link to it.
  void reapply_cordon_calls();
  void stop_recording_cordon_calls();
  // The link to the outgoing process has ended: calls that were sent over it may be lost.
  void mark_cordon_calls_unsent();
  // Call when the other process has ended. Makes workers resend the job events that were forwarded
  // and not acknowledged by a receipt.
  void fail_forwarded_job_events();

 private:
  using Notify = std::function<void(bool received)>;

  struct ForwardedJobEvent {
    int pending_receipts = 0;
    Notify notify;
  };

  struct RecordedCordonCall {
    operations::CordonChange change;
    bool sent = false;  // over the current link to the outgoing process
  };

  void on_cordon_call(const operations::CordonChange& change);
  // Sends the job event to the other processes, except to the one that it came from (null: from a
  // worker). Returns false if there is no process to send it to.
  bool forward_job_event(std::string_view body, const ProcessLink* sender, Notify notify);
  void on_job_event(ProcessLink& sender, const JobEventForward& forward);
  void handle_job_event(ProcessLink& sender, std::string_view body, const Notify& notify);
  void on_receipt(std::uint64_t number, bool received);
  void send_to_all(const Message& message);
  ProcessLink& other_than(const ProcessLink& link) const {
    return &link == &predecessor_ ? successor_ : predecessor_;
  }

  ServingProgram& program_;
  ProcessLink& predecessor_;
  ProcessLink& successor_;
  const transport::Clock& clock_;
  operations::Log& log_;
  std::set<scheduling::RequestId> released_requests_;
  std::map<std::uint64_t, ForwardedJobEvent> forwarded_job_events_;
  std::uint64_t last_forward_number_ = 0;
  std::vector<RecordedCordonCall> recorded_cordon_calls_;
  bool recording_cordon_calls_ = false;
};

}  // namespace dispatcher::hot_restart

// The process that starts while another one serves: asks it for the state and the sockets, and
// serves once ownership is transferred, or alone if there is no other process.
#pragma once

#include <functional>
#include <optional>

#include "hot_restart/process_context.h"
#include "hot_restart/process_link.h"
#include "hot_restart/protocol.h"
#include "hot_restart/shared_events.h"

namespace dispatcher::hot_restart {

// An outgoing process that answered, or may still answer, to Hello.
struct OutgoingProcessContact {
  transport::ObjectPtr<GSocket> socket;
  // All that it has sent so far, in order.
  std::vector<transport::Packet> packets;
  std::optional<Welcome> welcome;  // the last of `packets`; nothing: rejected, or no answer yet
};

// Before there is a main loop; waits for the answer to Hello for one second at most. An outgoing
// process of an earlier version may send ids of requests, job events and cordon calls before it.
// Nothing: nobody listens at the path. Throws std::runtime_error where local sockets cannot be had.
std::optional<OutgoingProcessContact> contact_outgoing_process(const std::string& socket_path,
                                                               const DispatcherIdentity& self,
                                                               operations::Log& log);

class IncomingProcess {
 public:
  struct Callbacks {
    std::function<void()> on_serving;
    // True: this process has itself transferred ownership to a third one.
    std::function<bool()> has_transferred_ownership;
  };

  IncomingProcess(const Options& options, const ProcessContext& context, ProcessLink& predecessor,
                  SharedEvents& shared_events, Callbacks callbacks);

  // Throws std::runtime_error where the clients' address cannot be had.
  void start(std::optional<OutgoingProcessContact> contact);

 private:
  using Descriptors = std::vector<transport::Descriptor>;

  void open_link(transport::ObjectPtr<GSocket> socket);
  void on_link_ended();
  void on_message(ReceivedMessage received);
  void on_welcome(const Welcome& welcome, Descriptors descriptors);
  void on_rejection();
  void on_ownership_transfer(const OwnershipTransfer& transfer, Descriptors descriptors);
  void on_released_connection(const ReleasedConnection& connection, Descriptors descriptors);
  void on_adopted_request(const AdoptedRequest& request, Descriptors descriptors);
  void on_invalid_message() { carry_out(ownership_.on_invalid_message()); }
  void carry_out(IncomingOwnership::Action action);
  void send_ready();
  void close_link();
  void ask_again();
  void serve();
  void limit_use_of_workers();
  void set_accepted_limit(std::size_t limit);
  void lift_connection_limits();
  void apply_cordons(const CordonRecords& records);
  bool is_serving() const { return ownership_.state() == IncomingOwnership::State::Serving; }

  const Options& options_;
  ProcessContext context_;
  ProcessLink& predecessor_;
  SharedEvents& shared_events_;
  Callbacks callbacks_;
  IncomingOwnership ownership_;
  transport::Descriptor listener_;       // of the outgoing process, until this one serves
  InheritedFleetState inherited_fleet_;  // likewise
  bool ready_is_due_ = false;            // Welcome is here, and Ready not sent yet
  std::size_t accepted_limit_ = 0;
};

}  // namespace dispatcher::hot_restart

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
  std::optional<Welcome> welcome;  // nothing: rejected, or no answer yet
  bool rejected = false;
  transport::Descriptor listener;  // the listening socket, with `welcome`
};

// Before there is a main loop; waits one second at most. Nothing: nobody listens at the path.
// Throws std::runtime_error where local sockets cannot be had.
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
  void open_link(transport::ObjectPtr<GSocket> socket);
  void on_link_ended();
  void on_packet(transport::Packet packet);
  void on_welcome(const Welcome& welcome, transport::Packet packet);
  void on_ownership_transfer(const OwnershipTransfer& transfer, transport::Packet packet);
  void on_released_connection(const ReleasedConnection& connection, transport::Packet packet);
  void on_adopted_request(const AdoptedRequest& request, transport::Packet packet);
  void on_invalid_message() { carry_out(ownership_.on_invalid_message()); }
  void carry_out(IncomingOwnership::Action action);
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
  std::size_t accepted_limit_ = 0;
};

}  // namespace dispatcher::hot_restart

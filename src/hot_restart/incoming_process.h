// The incoming side of a hot restart: requests state and sockets from the running process, and
// serves once ownership is transferred, or at once if there is no other process.
#pragma once

#include <functional>
#include <optional>

#include "hot_restart/process_context.h"
#include "hot_restart/process_link.h"
#include "hot_restart/protocol.h"
#include "hot_restart/shared_events.h"

namespace dispatcher::hot_restart {

// An outgoing process that was sent Hello and has answered it or may still do so.
struct OutgoingProcessContact {
  transport::ObjectPtr<GSocket> socket;
  // All packets that it has sent so far, in order.
  std::vector<transport::Packet> packets;
  // From the last packet; empty if Hello was rejected or not answered yet.
  std::optional<Welcome> welcome;
};

// Sends Hello to the outgoing process and blocks for at most one second until it is answered; for
// use before the main loop runs. An outgoing process of an earlier version may send request ids,
// job events and cordon calls before its answer. Returns std::nullopt if no process listens at the
// path. Throws std::runtime_error if local sockets are not available.
std::optional<OutgoingProcessContact> contact_outgoing_process(const std::string& socket_path,
                                                               const DispatcherIdentity& self,
                                                               operations::Log& log);

class IncomingProcess {
 public:
  struct Callbacks {
    std::function<void()> on_serving;
    // Whether this process has in turn transferred ownership to a newer one.
    std::function<bool()> has_transferred_ownership;
  };

  IncomingProcess(const Options& options, const ProcessContext& context, ProcessLink& predecessor,
                  SharedEvents& shared_events, Callbacks callbacks);

  // Throws std::runtime_error if this process cannot listen on the address for clients.
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
  void reconnect();
  void serve();
  void limit_worker_load();
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
  transport::Descriptor listener_;       // inherited; held until this process serves
  InheritedFleetState inherited_fleet_;  // held until this process serves
  bool ready_pending_ = false;           // Welcome was received, Ready not sent yet
  std::size_t accepted_limit_ = 0;
};

}  // namespace dispatcher::hot_restart

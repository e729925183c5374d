// The outgoing side of a hot restart: transfers ownership to an incoming process, releases
// connections and open requests to it, and accepts connections again if the incoming process dies.
#pragma once

#include <functional>

#include "hot_restart/process_context.h"
#include "hot_restart/process_link.h"
#include "hot_restart/shared_events.h"

namespace dispatcher::hot_restart {

class OutgoingProcess {
 public:
  // `on_reclaimed`: called when this process serves again and must listen at the local path again.
  OutgoingProcess(const Options& options, const ProcessContext& context, ProcessLink& successor,
                  SharedEvents& shared_events, std::function<void()> on_reclaimed);

  // Called when an incoming process has connected to the local path.
  void on_connected(transport::ObjectPtr<GSocket> socket);
  bool has_transferred_ownership() const {
    return ownership_.state() == OutgoingOwnership::State::Transferred;
  }

 private:
  void on_message(const ReceivedMessage& received);
  void carry_out(OutgoingOwnership::Action action);
  void send_welcome();
  void send_rejection();
  void transfer_ownership();
  void send_ownership_transfer();
  void write_request_ids(OwnershipTransfer& transfer) const;
  void release_connections_when_idle();
  void release_open_requests();
  void release_request(routing::RequestRef request);
  void send_adopted_request(const AcceptedRequest& request,
                            http::ClientServer::ReleasedConnection connection);
  void reclaim();

  const Options& options_;
  ProcessContext context_;
  ProcessLink& successor_;
  SharedEvents& shared_events_;
  std::function<void()> on_reclaimed_;
  OutgoingOwnership ownership_;
};

}  // namespace dispatcher::hot_restart

// The process that serves and hands over to an incoming one: releases its connections and open
// requests, and reclaims the listening socket if the other process dies.
#pragma once

#include <functional>

#include "hot_restart/process_context.h"
#include "hot_restart/process_link.h"
#include "hot_restart/shared_events.h"

namespace dispatcher::hot_restart {

class OutgoingProcess {
 public:
  // `on_reclaimed`: this process serves again and must be found at the local path again.
  OutgoingProcess(const Options& options, const ProcessContext& context, ProcessLink& successor,
                  SharedEvents& shared_events, std::function<void()> on_reclaimed);

  // An incoming process has connected to the local path.
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
  void release_idle_connections();
  void release_request(routing::RequestRef request);
  void reclaim();

  const Options& options_;
  ProcessContext context_;
  ProcessLink& successor_;
  SharedEvents& shared_events_;
  std::function<void()> on_reclaimed_;
  OutgoingOwnership ownership_;
};

}  // namespace dispatcher::hot_restart

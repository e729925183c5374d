// Hot restart: a new process of this dispatcher takes over from the running one without closing
// client connections. Every process is first the incoming one and later the outgoing one. This
// class owns both sides and listens on the local socket that an incoming process connects to.
#pragma once

#include <memory>
#include <optional>

#include "hot_restart/incoming_process.h"
#include "hot_restart/outgoing_process.h"

namespace dispatcher::hot_restart {

class HotRestart {
 public:
  HotRestart(Options options, const ProcessContext& context);

  // `contact`: the outgoing process, if there is one. Throws std::runtime_error if this process
  // cannot listen on the address for clients.
  void start(std::optional<OutgoingProcessContact> contact) { incoming_.start(std::move(contact)); }

 private:
  void listen_for_successor();

  Options options_;
  ProcessContext context_;
  ProcessLink predecessor_;
  ProcessLink successor_;
  SharedEvents shared_events_;
  OutgoingProcess outgoing_;
  IncomingProcess incoming_;
  std::unique_ptr<transport::LocalListener> listener_;
};

}  // namespace dispatcher::hot_restart

// Hot restart: a new process of this dispatcher takes over from the running one without closing a
// client's connection. Each process is first the incoming one and later the outgoing one; this
// class joins both sides and listens at the local path where they find each other.
#pragma once

#include <memory>
#include <optional>

#include "hot_restart/incoming_process.h"
#include "hot_restart/outgoing_process.h"

namespace dispatcher::hot_restart {

class HotRestart {
 public:
  HotRestart(Options options, const ProcessContext& context);

  // `contact`: the outgoing process, if there is one. Throws std::runtime_error where the clients'
  // address cannot be had.
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

// The link to the other process of a hot restart, which may be absent: messages with descriptors.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart.pb.h"
#include "transport/local_link.h"

namespace dispatcher::hot_restart {

struct ReceivedMessage {
  std::optional<Message> message;  // nothing: unreadable
  std::vector<transport::Descriptor> descriptors;
};

class ProcessLink {
 public:
  using Received = std::function<void(ReceivedMessage)>;
  using Ended = transport::LocalLink::Ended;
  using Trace = std::function<void(const std::string&)>;

  // `peer` names the other process in the trace. `trace` receives a line for each message; null:
  // none.
  ProcessLink(GMainContext* context, std::string peer, Trace trace)
      : context_(context), peer_(std::move(peer)), trace_(std::move(trace)) {}

  // In place of an earlier link. Neither callback may open a new one on the same object.
  void open(transport::ObjectPtr<GSocket> socket, Received received, Ended ended);
  bool is_up() const { return link_ && link_->up(); }
  // Handles a packet that was read from the socket before the link was opened.
  void receive(transport::Packet packet);
  // Dropped if the link is not up.
  void send(const Message& message, std::vector<transport::Descriptor> descriptors = {});
  void send(const Message& message, transport::Descriptor descriptor);
  // `Ended` is not called for it.
  void close();

  // Whether events of requests go over the link (SharedEvents); off when it is opened.
  void share_events(bool shared) { shares_events_ = shared; }
  bool shares_events() const { return is_up() && shares_events_; }

 private:
  void trace(const char* direction, const std::optional<Message>& message) const;

  GMainContext* context_;
  std::string peer_;
  Trace trace_;
  std::unique_ptr<transport::LocalLink> link_;
  Received received_;
  bool shares_events_ = false;
};

}  // namespace dispatcher::hot_restart

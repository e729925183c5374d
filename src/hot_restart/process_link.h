// The link to the other process of a hot restart, if there is one. It carries messages with file
// descriptors.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart.pb.h"
#include "transport/local_link.h"

namespace dispatcher::hot_restart {

struct ReceivedMessage {
  std::optional<Message> message;  // empty if unreadable
  std::vector<transport::Descriptor> descriptors;
};

class ProcessLink {
 public:
  using Received = std::function<void(ReceivedMessage)>;
  using Ended = transport::LocalLink::CloseCallback;
  using Trace = std::function<void(const std::string&)>;

  // `peer` names the other process in the trace. `trace` receives a line for each message and may
  // be null.
  ProcessLink(GMainContext* context, std::string peer, Trace trace)
      : context_(context), peer_(std::move(peer)), trace_(std::move(trace)) {}

  // Replaces an earlier link. Neither callback may call open() on the same object.
  void open(transport::ObjectPtr<GSocket> socket, Received received, Ended ended);
  bool is_up() const { return link_ && link_->is_open(); }
  // Handles a packet that was read from the socket before the link was opened.
  void receive(transport::Packet packet);
  // Drops the message if the link is not up.
  void send(const Message& message, std::vector<transport::Descriptor> descriptors = {});
  void send(const Message& message, transport::Descriptor descriptor);
  // Does not call `Ended`.
  void close();

  // Whether SharedEvents sends over the link; off when the link is opened.
  void set_event_sharing(bool shared) { shares_events_ = shared; }
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

// The link to the other process of a hot restart, which may be absent: messages with descriptors.
#pragma once

#include <memory>
#include <vector>

#include "hot_restart.pb.h"
#include "transport/local_link.h"

namespace dispatcher::hot_restart {

class ProcessLink {
 public:
  using Received = transport::LocalLink::Received;
  using Ended = transport::LocalLink::Ended;

  explicit ProcessLink(GMainContext* context) : context_(context) {}

  // In place of an earlier link. Neither callback may open a new one on the same object.
  void open(transport::ObjectPtr<GSocket> socket, Received received, Ended ended);
  bool is_up() const { return link_ && link_->up(); }
  // Dropped if the link is not up.
  void send(const Message& message, std::vector<transport::Descriptor> descriptors = {});
  void send(const Message& message, transport::Descriptor descriptor);
  // `Ended` is not called for it.
  void close();

 private:
  GMainContext* context_;
  std::unique_ptr<transport::LocalLink> link_;
};

}  // namespace dispatcher::hot_restart

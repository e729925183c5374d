#include "hot_restart/process_link.h"

namespace dispatcher::hot_restart {

void ProcessLink::open(transport::ObjectPtr<GSocket> socket, Received received, Ended ended) {
  link_ = std::make_unique<transport::LocalLink>(context_, std::move(socket), std::move(received),
                                                 std::move(ended));
}

void ProcessLink::send(const Message& message, std::vector<transport::Descriptor> descriptors) {
  if (is_up())
    link_->send({message.SerializeAsString(), std::move(descriptors)});
}

void ProcessLink::send(const Message& message, transport::Descriptor descriptor) {
  std::vector<transport::Descriptor> descriptors;
  descriptors.push_back(std::move(descriptor));
  send(message, std::move(descriptors));
}

void ProcessLink::close() {
  link_->hang_up();
}

}  // namespace dispatcher::hot_restart

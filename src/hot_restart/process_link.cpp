#include "hot_restart/process_link.h"

#include "hot_restart/protocol.h"

namespace dispatcher::hot_restart {

void ProcessLink::open(transport::ObjectPtr<GSocket> socket, Received received, Ended ended) {
  shares_events_ = false;
  received_ = std::move(received);
  link_ = std::make_unique<transport::LocalLink>(
      context_, std::move(socket), [this](transport::Packet packet) { receive(std::move(packet)); },
      std::move(ended));
}

void ProcessLink::receive(transport::Packet packet) {
  if (!is_up())
    return;
  std::optional<Message> message = read_message(packet.bytes);
  trace("from", message);
  received_({std::move(message), std::move(packet.descriptors)});
}

void ProcessLink::send(const Message& message, std::vector<transport::Descriptor> descriptors) {
  if (!is_up())
    return;
  trace("to", message);
  link_->send({message.SerializeAsString(), std::move(descriptors)});
}

void ProcessLink::send(const Message& message, transport::Descriptor descriptor) {
  std::vector<transport::Descriptor> descriptors;
  descriptors.push_back(std::move(descriptor));
  send(message, std::move(descriptors));
}

void ProcessLink::close() {
  link_->disconnect();
}

void ProcessLink::trace(const char* direction, const std::optional<Message>& message) const {
  if (trace_)
    trace_(std::string("link ") + direction + ' ' + peer_ + ": " + message_name(message));
}

}  // namespace dispatcher::hot_restart

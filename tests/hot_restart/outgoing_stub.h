// A stub for the outgoing process of a hot restart, which sends what a test tells it to.
#pragma once

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstring>
#include <optional>
#include <string>
#include <vector>

#include "hot_restart/protocol.h"
#include "transport/local_link.h"

namespace dispatcher::testing {

// One end of a link between two processes. Sends and receives one message at a time.
class LinkPeer {
 public:
  explicit LinkPeer(transport::ObjectPtr<GSocket> socket) : socket_(std::move(socket)) {
    REQUIRE(socket_);
  }

  // Sends `descriptor` along, unless it is -1, and closes it.
  void send(const hot_restart::Message& message, int descriptor = -1) {
    transport::Packet packet{message.SerializeAsString(), {}};
    if (descriptor >= 0)
      packet.descriptors.emplace_back(descriptor);
    REQUIRE(transport::send_packet(socket_.get(), packet));
  }
  // Returns the next message, or std::nullopt if none arrives in time or the link has ended.
  std::optional<hot_restart::Message> receive(transport::Duration timeout) {
    auto packet = transport::receive_within(socket_.get(), timeout);
    if (!packet)
      return std::nullopt;
    descriptors_ = std::move(packet->descriptors);
    return hot_restart::read_message(packet->bytes);
  }
  // The only descriptor that came with the last message.
  transport::Descriptor take_descriptor() {
    REQUIRE(descriptors_.size() == 1);
    return std::move(descriptors_.front());
  }
  // Waits for a message of that kind and discards others.
  hot_restart::Message await(hot_restart::Message::KindCase kind) {
    std::optional<hot_restart::Message> message;
    do {
      message = receive(kReceiveTimeout);
      REQUIRE(message);
    } while (message->kind_case() != kind);
    return *message;
  }

 private:
  static constexpr transport::Duration kReceiveTimeout{60'000};

  transport::ObjectPtr<GSocket> socket_;
  std::vector<transport::Descriptor> descriptors_;
};

// Listens at the path where an incoming process looks for the outgoing one.
class OutgoingStub {
 public:
  explicit OutgoingStub(const std::string& path) : listener_(::socket(AF_UNIX, SOCK_SEQPACKET, 0)) {
    sockaddr_un address{};
    address.sun_family = AF_UNIX;
    std::strncpy(address.sun_path, path.c_str(), sizeof address.sun_path - 1);
    std::remove(path.c_str());
    REQUIRE(bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(listen(listener_.get(), 1) == 0);
  }

  // Accepts the next connection and waits for its Hello.
  LinkPeer accept() {
    transport::GlibError error;
    int descriptor = ::accept(listener_.get(), nullptr, nullptr);
    LinkPeer peer(transport::ObjectPtr<GSocket>(g_socket_new_from_fd(descriptor, error.out())));
    peer.await(hot_restart::Message::kHello);
    return peer;
  }

 private:
  transport::Descriptor listener_;
};

}  // namespace dispatcher::testing

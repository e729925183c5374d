// Byte connections as the layers above see them. The real one is GioNetwork; tests play recorded bytes
// instead.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "slots.h"

namespace oatledge::transport {

// What happens on a connection. No call comes from inside a call to Network, and none after close().
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void on_connected(SlotRef) {}
  virtual void on_bytes(SlotRef connection, std::string_view bytes) = 0;
  // The peer or the network ended it. `all_written`: it had come up and every byte given to send() went out.
  virtual void on_closed(SlotRef connection, bool all_written) = 0;
};

class Acceptor : public ConnectionHandler {
 public:
  virtual void on_accepted(SlotRef connection) = 0;
  virtual bool shed_idle() = 0;  // close an idle accepted connection to make room; false: none is idle
};

enum class Urgency { Normal, High };  // High is served before all others of the same turn

class Network {
 public:
  virtual ~Network() = default;
  virtual std::optional<SlotRef> connect(const std::string& address, ConnectionHandler& handler,
                                         Urgency urgency) = 0;  // nothing: no descriptor is to be had
  virtual void send(SlotRef connection, std::string bytes) = 0;
  virtual void finish(SlotRef connection) = 0;  // close in good order once all is written
  virtual void close(SlotRef connection) = 0;   // at once
  // Whether the peer has sent what on_bytes() has not brought yet: a close would destroy it.
  virtual bool unread(SlotRef connection) = 0;
  // No on_bytes() while held: what the peer sends waits in the network, and then so does the peer.
  virtual void hold(SlotRef connection, bool held) = 0;
};

}  // namespace oatledge::transport

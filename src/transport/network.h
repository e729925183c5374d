// Byte connections as the layers above see them. GioNetwork implements them on sockets; tests
// replay recorded bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "transport/buffer.h"
#include "transport/descriptor.h"
#include "transport/slots.h"

namespace dispatcher::transport {

// Receives the events of a connection. Never called from inside a call to Network, nor for a
// connection after close().
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void on_connected(SlotRef) {}
  // `bytes` are valid during the call only.
  virtual void on_bytes(SlotRef connection, std::string_view bytes) = 0;
  // The peer or the network ended the connection. `all_written`: it had come up, and every byte
  // given to send() was written.
  virtual void on_closed(SlotRef connection, bool all_written) = 0;
  // More of the bytes given to send() has been written. Never called for what send() writes itself.
  virtual void on_written(SlotRef) {}
};

// Also receives new connections.
class Acceptor : public ConnectionHandler {
 public:
  virtual void on_accepted(SlotRef connection) = 0;
  // Closes an idle accepted connection to make room; false: none is idle.
  virtual bool shed_idle() = 0;
};

// High is served before all others of the same turn.
enum class Urgency { Normal, High };

// Calls for a connection that has ended are ignored.
class Network {
 public:
  virtual ~Network() = default;

  // ---- Opening and closing ----
  // Nothing: no descriptor is available, or the address is malformed.
  virtual std::optional<SlotRef> connect(const std::string& address, ConnectionHandler& handler,
                                         Urgency urgency) = 0;
  // Closes in good order once everything is written.
  virtual void finish(SlotRef connection) = 0;
  // Closes at once.
  virtual void close(SlotRef connection) = 0;
  // Closes at once with a TCP reset: what the peer has not read is discarded on both machines.
  // After close(), a peer that has stopped reading would learn of the end only behind all of it.
  virtual void reset(SlotRef connection) = 0;
  // Takes the connection out of the table, open and with its unread input, for another process.
  // Nothing: bytes still wait to be written.
  virtual Descriptor release(SlotRef connection) = 0;

  // ---- Writing ----
  virtual void send(SlotRef connection, std::string bytes) = 0;
  virtual void send(SlotRef connection, Slice bytes) = 0;
  // Bytes given to send() that have not been written.
  virtual std::size_t unsent_bytes(SlotRef connection) = 0;
  // Calls on_written() in the connection's next bulk turn: its sender has more, but has used its
  // share of this one.
  virtual void schedule_on_written(SlotRef connection) = 0;

  // ---- Reading ----
  // Whether the peer has sent what on_bytes() has not delivered yet: closing would destroy it.
  virtual bool has_unread(SlotRef connection) = 0;
  // No on_bytes() while paused: input waits in the network, and then the peer does. The end of an
  // accepted connection is reported all the same, and input before it is lost then.
  virtual void pause_reading(SlotRef connection, bool paused) = 0;
  // on_bytes() delivers at most so many bytes from now on, then reading is paused.
  virtual void permit_reading(SlotRef connection, std::size_t bytes) = 0;

  // A bulk connection carries a long body. Its sender watches unsent_bytes() itself, so that there
  // is no limit to them. All bulk connections together are served a limited number of bytes a turn,
  // after the others.
  virtual void set_bulk(SlotRef connection, bool bulk) = 0;
};

}  // namespace dispatcher::transport

// The interface to byte stream connections. GioNetwork implements it with sockets; tests implement
// it with recorded bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "transport/buffer.h"
#include "transport/descriptor.h"
#include "transport/slots.h"

namespace dispatcher::transport {

// Receives the events of a connection. Never called from within a call to Network, nor after
// close() for that connection.
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void on_connected(SlotRef) {}
  // `bytes` is valid only during the call.
  virtual void on_bytes(SlotRef connection, std::string_view bytes) = 0;
  // The peer closed the connection, or it failed. `all_written` is true if it had been established
  // and every byte passed to send() was written.
  virtual void on_closed(SlotRef connection, bool all_written) = 0;
  // More of the bytes passed to send() have been written. Not called for bytes that send() itself
  // writes.
  virtual void on_written(SlotRef) {}
};

// Also receives accepted connections.
class Acceptor : public ConnectionHandler {
 public:
  virtual void on_accepted(SlotRef connection) = 0;
  // Closes an idle accepted connection to make room for another one. Returns false if none is idle.
  virtual bool shed_idle() = 0;
};

// Connections of high urgency are served first in each turn.
enum class Urgency { Normal, High };

// Calls for a connection that no longer exists are ignored.
class Network {
 public:
  virtual ~Network() = default;

  // ---- Opening and closing ----
  // Returns nullopt if no descriptor is available or the address is malformed. Any other failure is
  // reported later through on_closed().
  virtual std::optional<SlotRef> connect(const std::string& address, ConnectionHandler& handler,
                                         Urgency urgency) = 0;
  // Closes gracefully once everything is written.
  virtual void finish(SlotRef connection) = 0;
  // Closes immediately.
  virtual void close(SlotRef connection) = 0;
  // Closes immediately with a TCP reset: bytes that the peer has not read are discarded on both
  // machines. After close(), by contrast, a peer that has stopped reading would not notice the end
  // before it has read all of them.
  virtual void reset(SlotRef connection) = 0;
  // Removes the connection from the table without closing it, to be passed to another process.
  // Unread input stays in the socket. Returns an empty descriptor if bytes still wait to be written
  // or no descriptor is available.
  virtual Descriptor release(SlotRef connection) = 0;

  // ---- Writing ----
  virtual void send(SlotRef connection, std::string bytes) = 0;
  virtual void send(SlotRef connection, Slice bytes) = 0;
  // The number of bytes passed to send() that have not been written yet.
  virtual std::size_t unsent_bytes(SlotRef connection) = 0;
  // Calls on_written() when the connection is next served as a bulk connection. For a sender that
  // has more to send but has used up its share of this turn.
  virtual void schedule_on_written(SlotRef connection) = 0;

  // ---- Reading ----
  // Whether the peer has sent bytes that on_bytes() has not delivered yet. Closing would lose them.
  virtual bool has_unread(SlotRef connection) = 0;
  // While paused, on_bytes() is not called: input waits in the kernel's buffers, and flow control
  // stops the peer. The end of an accepted connection is reported nevertheless, and unread input
  // before it is lost.
  virtual void pause_reading(SlotRef connection, bool paused) = 0;
  // From now on, on_bytes() delivers at most `bytes` bytes; then reading is paused.
  virtual void permit_reading(SlotRef connection, std::size_t bytes) = 0;

  // A bulk connection carries a long body. Its unsent bytes are not limited, because its sender
  // checks unsent_bytes() itself. Bulk connections are served after the others, with a limit on the
  // bytes of all of them together per turn.
  virtual void set_bulk(SlotRef connection, bool bulk) = 0;
};

}  // namespace dispatcher::transport

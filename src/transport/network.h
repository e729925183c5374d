// Byte connections as the layers above see them. The real one is GioNetwork; tests play recorded
// bytes instead.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "transport/buffer.h"
#include "transport/descriptor.h"
#include "transport/slots.h"

namespace dispatcher::transport {

// What happens on a connection. No call comes from inside a call to Network, and none after
// close().
class ConnectionHandler {
 public:
  virtual ~ConnectionHandler() = default;
  virtual void on_connected(SlotRef) {}
  virtual void on_bytes(SlotRef connection, std::string_view bytes) = 0;
  // The peer or the network ended it. `all_written`: it had come up and every byte given to send()
  // went out.
  virtual void on_closed(SlotRef connection, bool all_written) = 0;
  // More of what waited has been written. Told from the loop, never from inside send().
  virtual void on_written(SlotRef) {}
};

class Acceptor : public ConnectionHandler {
 public:
  virtual void on_accepted(SlotRef connection) = 0;
  virtual bool
  shed_idle() = 0;  // close an idle accepted connection to make room; false: none is idle
};

enum class Urgency { Normal, High };  // High is served before all others of the same turn

class Network {
 public:
  virtual ~Network() = default;
  virtual std::optional<SlotRef> connect(
      const std::string& address, ConnectionHandler& handler,
      Urgency urgency) = 0;  // nothing: no descriptor is to be had
  virtual void send(SlotRef connection, std::string bytes) = 0;
  virtual void send(SlotRef connection, Slice bytes) = 0;
  virtual std::size_t unsent(
      SlotRef connection) = 0;                  // bytes given to send() that have not gone out
  virtual void finish(SlotRef connection) = 0;  // close in good order once all is written
  virtual void close(SlotRef connection) = 0;   // at once
  // At once, and so that the peer is told: what it has not taken is thrown away on both machines. A
  // close alone would leave megabytes, and the news of the end behind them, with a peer that has
  // stopped reading.
  virtual void reset(SlotRef connection) = 0;
  // Whether the peer has sent what on_bytes() has not brought yet: a close would destroy it.
  virtual bool unread(SlotRef connection) = 0;
  // No on_bytes() while held: what the peer sends waits in the network, and then so does the peer.
  // The end of an accepted connection is told all the same, and what it has sent before that is
  // lost.
  virtual void hold(SlotRef connection, bool held) = 0;
  // The same by the byte: on_bytes() brings at most so many from now on, then the connection is
  // held.
  virtual void grant(SlotRef connection, std::size_t bytes) = 0;
  // A bulk connection carries a long body: its sender watches unsent() itself, so there is no limit
  // to what waits, and it is served after the others, all of them together a bounded number of
  // bytes a turn.
  virtual void bulk(SlotRef connection, bool on) = 0;
  // Takes it out of the table, alive and with what the peer has sent, for another process to go on
  // with. Nothing where bytes still wait to be written.
  virtual Descriptor release(SlotRef connection) = 0;
  // on_written() comes in the turn of this bulk connection: its sender has more, but has had its
  // share for now.
  virtual void again(SlotRef connection) = 0;
};

}  // namespace dispatcher::transport

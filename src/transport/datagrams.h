// One UDP socket in the loop. A lost or refused datagram is nobody's concern.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "transport/descriptor.h"
#include "transport/glib.h"

namespace dispatcher::transport {

class Datagrams {
 public:
  // From whom, as HOST:PORT, and what; no more than the buffer's 512 bytes of it.
  using Received = std::function<void(const std::string& from, std::string_view bytes)>;

  // Throws std::runtime_error where the address cannot be had.
  Datagrams(GMainContext* context, const std::string& address, Received received);
  // The same on a socket that another process had.
  Datagrams(GMainContext* context, Descriptor bound, Received received);
  void send(const std::string& to, std::string_view bytes);
  void listen(bool on);           // off: nothing is read, and what comes waits for whoever does
  Descriptor descriptor() const;  // of the socket, for another process

 private:
  static gboolean readable(GSocket* socket, GIOCondition condition, gpointer data);
  void read_some();

  GMainContext* context_;
  Received received_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
  std::string to_;  // of `peer_`, kept as most go to one address
  ObjectPtr<GSocketAddress> peer_;
};

}  // namespace dispatcher::transport

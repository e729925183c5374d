// One UDP socket in the loop. Datagrams may be lost; errors of single ones are ignored.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "transport/descriptor.h"
#include "transport/glib.h"

namespace dispatcher::transport {

class Datagrams {
 public:
  // `from`: HOST:PORT. Of a datagram of more than 512 bytes, only these are delivered.
  using Received = std::function<void(const std::string& from, std::string_view bytes)>;

  // Both throw std::runtime_error.
  Datagrams(GMainContext* context, const std::string& address, Received received);
  // On a socket of another process.
  Datagrams(GMainContext* context, Descriptor bound, Received received);
  void send(const std::string& to, std::string_view bytes);
  // Off: nothing is read, and datagrams wait in the kernel for another process that reads them.
  void listen(bool on);
  // A duplicate of the socket, for another process.
  Descriptor descriptor() const;

 private:
  static gboolean on_readable(GSocket* socket, GIOCondition condition, gpointer data);
  void read_available();

  GMainContext* context_;
  Received received_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
  // The last receiver, cached since most datagrams go to one.
  std::string cached_receiver_;
  ObjectPtr<GSocketAddress> cached_address_;
};

}  // namespace dispatcher::transport

// A UDP socket served by a GLib main context. Datagrams can be lost; errors of single datagrams are
// ignored.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "transport/descriptor.h"
#include "transport/glib.h"

namespace dispatcher::transport {

class UdpSocket {
 public:
  // `from` is HOST:PORT. Datagrams are truncated to 512 bytes.
  using ReceiveCallback = std::function<void(const std::string& from, std::string_view bytes)>;

  // Binds a new socket to `address`. Throws std::runtime_error.
  UdpSocket(GMainContext* context, const std::string& address, ReceiveCallback received);
  // Uses a bound socket received from another process. Throws std::runtime_error.
  UdpSocket(GMainContext* context, Descriptor bound, ReceiveCallback received);
  void send(const std::string& to, std::string_view bytes);
  // While off, datagrams stay in the kernel's buffer, where another process can read them.
  void set_receiving(bool on);
  // Returns a duplicate of the socket's descriptor, to be passed to another process.
  Descriptor descriptor() const;

 private:
  static gboolean on_readable(GSocket* socket, GIOCondition condition, gpointer data);
  void read_available();

  GMainContext* context_;
  ReceiveCallback received_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
  // The last receiver and its parsed address, cached because most datagrams go to the same one.
  std::string cached_receiver_;
  ObjectPtr<GSocketAddress> cached_address_;
};

}  // namespace dispatcher::transport

// Helpers for GIO sockets.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "transport/glib.h"

namespace dispatcher::transport {

// Creates a non-blocking TCP socket for the address family of `address`. Returns null if no
// descriptor is available (EMFILE).
inline ObjectPtr<GSocket> new_tcp_socket(GSocketAddress* address, GlibError& error) {
  ObjectPtr<GSocket> socket(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                         G_SOCKET_PROTOCOL_TCP, error.out()));
  if (socket)
    g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

inline void set_no_delay(GSocket* socket) {
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

}  // namespace dispatcher::transport

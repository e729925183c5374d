// IPv4 or IPv6 addresses as they are written in settings.
#pragma once

#include <string>

#include "transport/glib.h"

namespace dispatcher::transport {

inline ObjectPtr<GSocketAddress> parse_address(
    const std::string& text) {  // HOST:PORT; null: it is no address
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return nullptr;
  std::string host = text.substr(0, colon);
  std::string port = text.substr(colon + 1);
  guint64 number = 0;
  if (!g_ascii_string_to_unsigned(port.c_str(), 10, 1, 65535, &number, nullptr))
    return nullptr;
  return ObjectPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(number)));
}

}  // namespace dispatcher::transport

// Parsing of IPv4 and IPv6 addresses as written in settings.
#pragma once

#include <string>

#include "transport/glib.h"

namespace dispatcher::transport {

// Parses HOST:PORT, where HOST is numeric. Returns null if the text is malformed.
inline ObjectPtr<GSocketAddress> parse_address(const std::string& text) {
  constexpr guint64 kMaxPort = 65535;
  std::size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return nullptr;
  std::string host = text.substr(0, colon);
  std::string port = text.substr(colon + 1);
  guint64 number = 0;
  if (!g_ascii_string_to_unsigned(port.c_str(), 10, 1, kMaxPort, &number, nullptr))
    return nullptr;
  return ObjectPtr<GSocketAddress>(
      g_inet_socket_address_new_from_string(host.c_str(), static_cast<guint>(number)));
}

}  // namespace dispatcher::transport

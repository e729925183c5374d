// IPv4 endpoint: the identity of a dispatcher within its fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dispatcher::fleet {

// An IPv4 address and port, both in host byte order.
struct Endpoint {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};

// Parses "127.0.0.1:7000". Returns nullopt if the text is malformed or the port is 0.
std::optional<Endpoint> parse_endpoint(std::string_view text);
std::string to_text(const Endpoint& endpoint);

}  // namespace dispatcher::fleet

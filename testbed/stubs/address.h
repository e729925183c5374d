// Socket addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace dispatcher::testbed {

// Parses HOST:PORT with a numeric IPv4 host.
inline sockaddr_in parse_address(const std::string& address) {
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  std::size_t colon = address.find(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return parsed;
}

}  // namespace dispatcher::testbed

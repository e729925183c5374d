// HOST:PORT of the loopback, as the system takes it.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <string>

namespace dispatcher::testbed {

inline sockaddr_in parse_address(const std::string& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  std::size_t colon = address.find(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

}  // namespace dispatcher::testbed

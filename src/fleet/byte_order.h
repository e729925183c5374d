// Integers and addresses as the datagrams between dispatchers hold them: the highest byte first.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fleet/membership_view.h"

namespace dispatcher::fleet {

inline void put(std::string& out, std::uint64_t value, int bytes) {
  for (int i = bytes - 1; i >= 0; --i)
    out += static_cast<char>(value >> (8 * i) & 0xff);
}
inline std::uint64_t get(std::string_view in, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i)
    value = value << 8 | static_cast<unsigned char>(in[at + static_cast<std::size_t>(i)]);
  return value;
}
inline void put(std::string& out, const Endpoint& e) {
  put(out, e.address, 4);
  put(out, e.port, 2);
}
inline Endpoint get_endpoint(std::string_view in, std::size_t at) {
  return {static_cast<std::uint32_t>(get(in, at, 4)),
          static_cast<std::uint16_t>(get(in, at + 4, 2))};
}

}  // namespace dispatcher::fleet

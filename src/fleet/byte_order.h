// Reads and writes integers and endpoints in network byte order, as in all datagrams between
// dispatchers. The read functions require that offset and length lie within the input.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "fleet/endpoint.h"

namespace dispatcher::fleet {

// Appends the `byte_count` least significant bytes of `value`.
inline void append_integer(std::string& out, std::uint64_t value, int byte_count) {
  for (int i = byte_count - 1; i >= 0; --i)
    out += static_cast<char>(value >> (8 * i) & 0xff);
}

inline std::uint64_t read_integer(std::string_view bytes, std::size_t offset, int byte_count) {
  std::uint64_t value = 0;
  for (int i = 0; i < byte_count; ++i)
    value = value << 8 | static_cast<unsigned char>(bytes[offset + static_cast<std::size_t>(i)]);
  return value;
}

// Six bytes: address, then port.
inline void append_endpoint(std::string& out, const Endpoint& endpoint) {
  append_integer(out, endpoint.address, 4);
  append_integer(out, endpoint.port, 2);
}

inline Endpoint read_endpoint(std::string_view bytes, std::size_t offset) {
  return {.address = static_cast<std::uint32_t>(read_integer(bytes, offset, 4)),
          .port = static_cast<std::uint16_t>(read_integer(bytes, offset + 4, 2))};
}

}  // namespace dispatcher::fleet

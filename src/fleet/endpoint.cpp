#include "fleet/endpoint.h"

#include <charconv>

namespace dispatcher::fleet {
namespace {

constexpr unsigned kMaxOctet = 255;
constexpr unsigned kMaxPort = 65535;

// Parses a decimal number of at most `maximum` from the front of `text` and removes it.
std::optional<unsigned> consume_number(std::string_view& text, unsigned maximum) {
  unsigned value = 0;
  const char* end = text.data() + text.size();
  auto [next, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || value > maximum)
    return std::nullopt;
  text.remove_prefix(static_cast<std::size_t>(next - text.data()));
  return value;
}

bool consume_character(std::string_view& text, char expected) {
  if (text.empty() || text.front() != expected)
    return false;
  text.remove_prefix(1);
  return true;
}

}  // namespace

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  Endpoint endpoint;
  for (char separator : {'.', '.', '.', ':'}) {
    auto octet = consume_number(text, kMaxOctet);
    if (!octet || !consume_character(text, separator))
      return std::nullopt;
    endpoint.address = endpoint.address << 8 | *octet;
  }
  auto port = consume_number(text, kMaxPort);
  if (!port || *port == 0 || !text.empty())
    return std::nullopt;
  endpoint.port = static_cast<std::uint16_t>(*port);
  return endpoint;
}

std::string to_text(const Endpoint& endpoint) {
  std::string text;
  for (int shift = 24; shift >= 0; shift -= 8) {
    text += std::to_string(endpoint.address >> shift & 0xff);
    text += shift > 0 ? '.' : ':';
  }
  return text + std::to_string(endpoint.port);
}

}  // namespace dispatcher::fleet

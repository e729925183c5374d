// Parsing of numbers and of name=value pairs in headers. Internal to src/protocol.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/messages.h"

namespace dispatcher::protocol {

// Returns nullopt if the text is not a finite number.
inline std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc() || end != text.data() + text.size() ||
      !std::isfinite(value))
    return std::nullopt;
  return value;
}

// Throws MessageError "bad <what>" if the text is not a number from `low` to `high`.
inline double require_number(std::string_view text, double low, double high, const char* what) {
  std::optional<double> value = parse_number(text);
  if (!value || *value < low || *value > high)
    throw MessageError(std::string("bad ") + what);
  return *value;
}

// Calls visit(name, value) for each pair of a list such as "a=1, b=2". Throws MessageError.
template <class Visit>
void for_each_pair(std::string_view text, Visit visit) {
  while (!text.empty()) {
    std::size_t comma = text.find(',');
    std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    while (pair.starts_with(' '))
      pair.remove_prefix(1);
    while (pair.ends_with(' '))
      pair.remove_suffix(1);
    if (pair.empty())
      continue;
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos)
      throw MessageError("a pair has no '='");
    visit(pair.substr(0, equals), pair.substr(equals + 1));
  }
}

}  // namespace dispatcher::protocol

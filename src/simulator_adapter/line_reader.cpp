#include "simulator_adapter/line_reader.h"

#include <charconv>
#include <cmath>
#include <cstddef>

namespace dispatcher::simulator_adapter {
namespace {

constexpr std::size_t kRequestIdDigits = 16;

}  // namespace

std::string_view LineReader::optional_word() {
  return settings::split_front(rest_, ' ');
}

std::string_view LineReader::word() {
  std::string_view found = optional_word();
  if (found.empty())
    throw MalformedInput("a value is missing");
  return found;
}

std::optional<double> LineReader::optional_number() {
  std::string_view found = optional_word();
  if (found.empty() || found == settings::kNoValue)
    return std::nullopt;
  return settings::parse_number<double>(found);
}

scheduling::Duration LineReader::time() {
  auto ms = settings::parse_number<double>(word());
  if (!std::isfinite(ms))
    throw MalformedInput("a time is not finite");
  return scheduling::Duration(ms);
}

scheduling::RequestId LineReader::request_id() {
  std::string_view digits = word();
  scheduling::RequestId id = 0;
  const char* end = digits.data() + digits.size();
  auto [next, error] = std::from_chars(digits.data(), end, id, 16);
  if (digits.size() != kRequestIdDigits || error != std::errc() || next != end)
    throw MalformedInput("not a request id");
  return id;
}

}  // namespace dispatcher::simulator_adapter

// Typed access to settings given as key=value pairs.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <charconv>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "settings/settings_error.h"

namespace dispatcher::settings {

// wire: stands for an absent value.
inline constexpr std::string_view kNoValue = "-";

// Returns the front of `text` up to `separator`, and removes both from `text`.
inline std::string_view split_front(std::string_view& text, char separator) {
  std::size_t end = text.find(separator);
  std::string_view front = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  return front;
}

// Parses a text that consists of one number. Throws SettingsError, which names `field`.
template <class Number>
Number parse_number(std::string_view text, std::string_view field = {}) {
  Number value{};
  const char* end = text.data() + text.size();
  auto [next, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || next != end)
    throw SettingsError(std::string(field), "not a number");
  return value;
}

class SettingsReader {
 public:
  explicit SettingsReader(std::map<std::string, std::string> values) : values_(std::move(values)) {}
  // `pairs`: key=value pairs separated by spaces. Throws SettingsError.
  explicit SettingsReader(std::string_view pairs) {
    while (!pairs.empty()) {
      std::string_view pair = split_front(pairs, ' ');
      std::size_t equals = pair.find('=');
      if (equals == std::string_view::npos)
        throw SettingsError(std::string(pair), "a setting has no '='");
      values_[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
    }
  }

  // Empty if the key is absent.
  std::string_view text(const std::string& key) const {
    auto it = values_.find(key);
    return it == values_.end() ? std::string_view() : std::string_view(it->second);
  }
  bool has(const std::string& key) const { return !text(key).empty() && text(key) != kNoValue; }
  // Throws SettingsError if the value is not a number.
  double number(const std::string& key, double default_value) const {
    return has(key) ? parse_number<double>(text(key), key) : default_value;
  }
  // The number truncated to an integer. Throws SettingsError beyond one billion.
  int integer(const std::string& key, int default_value) const {
    constexpr double kMaxMagnitude = 1e9;
    double value = number(key, default_value);
    if (!(value >= -kMaxMagnitude && value <= kMaxMagnitude))
      throw SettingsError(key, "a setting is out of range");
    return static_cast<int>(value);
  }
  // In milliseconds; 0 if the key is absent.
  scheduling::Duration duration(const std::string& key) const {
    return scheduling::Duration(number(key, 0));
  }
  std::optional<scheduling::Duration> optional_duration(const std::string& key) const {
    return has(key) ? std::optional(duration(key)) : std::nullopt;
  }
  std::optional<double> optional_number(const std::string& key) const {
    return has(key) ? std::optional(number(key, 0)) : std::nullopt;
  }
  bool boolean(const std::string& key) const { return text(key) == "true" || text(key) == "1"; }
  // The number at `index` of a comma-separated list; nullopt if the list is shorter or has kNoValue
  // there.
  std::optional<double> list_item(const std::string& key, std::size_t index) const {
    std::string_view list = text(key);
    for (; index > 0; --index)
      split_front(list, ',');
    std::string_view value = split_front(list, ',');
    if (value.empty() || value == kNoValue)
      return std::nullopt;
    return parse_number<double>(value, key);
  }

 private:
  std::map<std::string, std::string> values_;
};

}  // namespace dispatcher::settings

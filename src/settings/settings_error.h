// The error of all readers of settings and of values on the simulator's wire.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace dispatcher::settings {

// what() is the reason alone.
class SettingsError : public std::runtime_error {
 public:
  // `field`: the key whose value is invalid; empty where the fault is not that of one key.
  SettingsError(std::string field, const std::string& reason)
      : std::runtime_error(reason), field_(std::move(field)) {}
  explicit SettingsError(const std::string& reason) : SettingsError({}, reason) {}

  const std::string& field() const { return field_; }
  std::string reason() const { return what(); }

 private:
  std::string field_;
};

using Malformed = SettingsError;

}  // namespace dispatcher::settings

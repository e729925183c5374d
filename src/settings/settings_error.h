// Error type of all code that parses settings or values of the simulator's wire.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace dispatcher::settings {

// what() contains the reason only.
class SettingsError : public std::runtime_error {
 public:
  // `field`: the key whose value is invalid; empty if the error does not concern a single key.
  SettingsError(std::string field, const std::string& reason)
      : std::runtime_error(reason), field_(std::move(field)) {}
  explicit SettingsError(const std::string& reason) : SettingsError({}, reason) {}

  const std::string& field() const { return field_; }
  std::string reason() const { return what(); }

 private:
  std::string field_;
};

// The same error where the input comes from a worker or the simulator.
using MalformedInput = SettingsError;

}  // namespace dispatcher::settings

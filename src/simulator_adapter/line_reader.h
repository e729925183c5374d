// Reads the space-separated fields of one line of the simulator's wire in order.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <limits>
#include <optional>
#include <string_view>

#include "settings/setting_values.h"
#include "settings/settings_error.h"

namespace dispatcher::simulator_adapter {

using settings::MalformedInput;

// Reading a field throws MalformedInput if it is invalid, or if it is missing and not optional. The
// returned views point into the line.
class LineReader {
 public:
  explicit LineReader(std::string_view line) : rest_(line) {}

  // Empty at the end of the line.
  std::string_view optional_word();
  std::string_view word();
  std::string_view rest() const { return rest_; }

  template <class Integer>
  Integer integer(Integer low = 0, Integer high = std::numeric_limits<Integer>::max()) {
    auto value = settings::parse_number<Integer>(word());
    if (value < low || value > high)
      throw MalformedInput("a number is out of range");
    return value;
  }
  // nullopt if the field is missing or is settings::kNoValue.
  std::optional<double> optional_number();
  // A finite number of milliseconds.
  scheduling::Duration time();
  // 16 hexadecimal digits.
  scheduling::RequestId request_id();

 private:
  std::string_view rest_;
};

}  // namespace dispatcher::simulator_adapter

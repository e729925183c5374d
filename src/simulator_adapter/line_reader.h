// The space-separated fields of one line of the simulator's wire, read from front to back.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <limits>
#include <optional>
#include <string_view>

#include "settings/setting_values.h"
#include "settings/settings_error.h"

namespace dispatcher::simulator_adapter {

using settings::Malformed;

// All but optional fields throw Malformed where they are missing or invalid. The views returned
// point into the line.
class LineReader {
 public:
  explicit LineReader(std::string_view line) : rest_(line) {}

  // Empty where the line has ended.
  std::string_view optional_word();
  std::string_view word();
  std::string_view rest() const { return rest_; }

  template <class Integer>
  Integer integer(Integer low = 0, Integer high = std::numeric_limits<Integer>::max()) {
    auto value = settings::parse_number<Integer>(word());
    if (value < low || value > high)
      throw Malformed("a number is out of range");
    return value;
  }
  // Nothing where the field is missing or says that it has no value.
  std::optional<double> optional_number();
  // Finite milliseconds.
  scheduling::Duration time();
  // 16 hexadecimal digits.
  scheduling::RequestId request_id();

 private:
  std::string_view rest_;
};

}  // namespace dispatcher::simulator_adapter

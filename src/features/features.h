// Reads and validates the features file: the dispatcher's own settings in protobuf text format, as
// defined by proto/features.proto.
#pragma once

#include <stdexcept>
#include <string>

#include "features.pb.h"

namespace dispatcher::features {

// what() has one line per error: FILE:LINE:COLUMN: REASON.
struct FeaturesError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Both throw FeaturesError, which lists all errors found. `name`: the file name for error messages.
Features read_features(const std::string& text, const std::string& name);
Features read_features_file(const std::string& path);

}  // namespace dispatcher::features

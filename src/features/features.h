// Reads and checks the features file: the project's own settings in protobuf text format after
// proto/features.proto.
#pragma once

#include <stdexcept>
#include <string>

#include "features.pb.h"

namespace dispatcher::features {

// One line for each fault: file:line:column: reason.
struct FeaturesError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// `name`: of the file, for the errors. Both throw FeaturesError with every fault found.
Features read_features(const std::string& text, const std::string& name);
Features read_features_file(const std::string& path);

}  // namespace dispatcher::features

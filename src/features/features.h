// The project's own settings: a features file in protobuf text format, read and checked. The schema
// is proto/features.proto.
#pragma once

#include <stdexcept>
#include <string>

#include "features.pb.h"

namespace dispatcher::features {

struct BadFeatures : std::runtime_error {  // one line for each fault: file:line:column: what
  using std::runtime_error::runtime_error;
};

// `name` stands in the errors. Throws BadFeatures with every fault that was found.
Features read_features(const std::string& text, const std::string& name);
Features read_features_file(const std::string& path);

}  // namespace dispatcher::features

// The key file of a fleet: protobuf text format, proto/keys.proto.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/message_authenticator.h"

namespace dispatcher::fleet {

struct BadKeys : std::runtime_error {  // file:line:column: what
  using std::runtime_error::runtime_error;
};

// At least one; numbers differ. Throws BadKeys, also where others than its owner can read the file.
std::vector<Key> read_keys_file(const std::string& path);
std::string new_key(unsigned id);  // the text of one, from the system's randomness

}  // namespace dispatcher::fleet

// The key file of a fleet: protobuf text format after proto/keys.proto.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/message_authenticator.h"

namespace dispatcher::fleet {

// One line for each fault: file:line:column: reason.
struct KeyFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns at least one key; ids are unique. Throws KeyFileError with every fault found, also where
// others than the owner may access the file.
std::vector<Key> read_keys_file(const std::string& path);

// Returns the text of a key with a random secret, as it stands in the file. Throws
// std::runtime_error where libsodium cannot start.
std::string new_key(unsigned id);

}  // namespace dispatcher::fleet

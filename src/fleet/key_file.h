// The key file of a fleet, in protobuf text format (proto/keys.proto).
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/message_authenticator.h"

namespace dispatcher::fleet {

// One line per error, as file:line:column: reason.
struct KeyFileError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns at least one key; ids are unique. Throws KeyFileError with every error found; a file that
// is accessible to users other than its owner is an error too.
std::vector<Key> read_key_file(const std::string& path);

// Returns a key with a random secret in the format of the key file. Throws std::runtime_error if
// libsodium cannot be initialized.
std::string generate_key(unsigned id);

}  // namespace dispatcher::fleet

// A blocking call to the administration address of another process, for the program's commands.
#pragma once

#include <string>

namespace dispatcher::http {

// Sends GET `target` and returns the body of the answer. Throws std::runtime_error, with a message
// of one line, if there is no answer within five seconds or its status is not 200.
std::string admin_get(const std::string& address, const std::string& target);

}  // namespace dispatcher::http

// A blocking call to another process's administration address, for the program's own commands.
#pragma once

#include <string>

namespace dispatcher::http {

// Returns the body of the answer to GET `target`. Throws std::runtime_error, with a message of one
// line, where there is no answer within five seconds or the answer is not 200.
std::string ask(const std::string& address, const std::string& target);

}  // namespace dispatcher::http

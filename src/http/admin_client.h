// One call at another process's operators' address, for the program's own commands. Waits.
#pragma once

#include <string>

namespace dispatcher::http {

// The body of the answer to GET `target`. Throws std::runtime_error, with one line, where nothing
// answers in five seconds or the answer is not 200.
std::string ask(const std::string& address, const std::string& target);

}  // namespace dispatcher::http

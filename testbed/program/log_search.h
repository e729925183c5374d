// Searches the logs of a scenario run.
#pragma once

#include <string>

namespace dispatcher::testbed {

// Prints the lines of all logs in `folder` that concern `id`, ordered by time. `id` is a request's
// id of 16 hexadecimal digits or a member's ADDRESS:PORT. Returns the number of lines.
long print_log_lines(const std::string& folder, const std::string& id);

}  // namespace dispatcher::testbed

// What is kept of a failed test that starts processes: the folder of each process, with its
// configuration and its log.
#pragma once

#include <string>

namespace dispatcher::testbed {

// To be called when a check fails: processes that end from then on keep their folders. Thread-safe.
void keep_evidence();
bool keeps_evidence();

// Prints where the folder is and the last lines of the log in it, to standard error.
void report_evidence(const std::string& folder, const std::string& log);

}  // namespace dispatcher::testbed

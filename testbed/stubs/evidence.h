// Keeps the folders of dispatcher processes after a failed test, with configuration and log.
#pragma once

#include <string>

namespace dispatcher::testbed {

// Called when a check fails: processes that end afterwards keep their folders. Thread-safe.
void keep_process_folders();
bool keeping_process_folders();

// Prints the folder's path and the last lines of its log to standard error.
void report_kept_folder(const std::string& folder, const std::string& log);

}  // namespace dispatcher::testbed

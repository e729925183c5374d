#include "testbed/stubs/evidence.h"

#include <atomic>
#include <cstdio>

namespace dispatcher::testbed {
namespace {

constexpr int kPrintedLines = 60;

std::atomic<bool> keep{false};

std::string last_lines(const std::string& text, int count) {
  std::size_t start = text.size();
  for (int lines = 0; start > 0; --start) {
    if (text[start - 1] == '\n' && start != text.size() && ++lines == count)
      break;
  }
  return text.substr(start);
}

}  // namespace

void keep_process_folders() {
  keep = true;
}

bool keeping_process_folders() {
  return keep;
}

void report_kept_folder(const std::string& folder, const std::string& log) {
  std::fprintf(stderr, "process folder kept: %s; last lines of its log:\n%s\n", folder.c_str(),
               last_lines(log, kPrintedLines).c_str());
}

}  // namespace dispatcher::testbed

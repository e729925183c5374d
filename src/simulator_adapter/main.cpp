// Standard input to Host, its replies to standard output. Exits 0 at the end of input, 1 on a
// malformed line.
#include <unistd.h>

#include <cstdio>

#include "simulator_adapter/host.h"

namespace {

bool write_all(const std::string& text) {
  for (std::size_t done = 0; done < text.size();) {
    ssize_t n = ::write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (n <= 0)
      return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

int run() {
  dispatcher::simulator_adapter::Host host;
  std::string buffer;
  std::size_t line_number = 0;
  std::array<char, 1 << 16> chunk;
  for (ssize_t n; (n = ::read(STDIN_FILENO, chunk.data(), chunk.size())) > 0;) {
    buffer.append(chunk.data(), static_cast<std::size_t>(n));
    std::size_t start = 0;
    for (std::size_t end; (end = buffer.find('\n', start)) != std::string::npos; start = end + 1) {
      std::string_view line(buffer.data() + start, end - start);
      ++line_number;
      try {
        if (host.line(line) && !write_all(host.reply()))
          return 1;
      } catch (const std::exception& e) {
        std::fprintf(stderr, "dispatcher_simulator_adapter: line %zu: %s: %.200s\n", line_number,
                     e.what(), std::string(line).c_str());
        return 1;
      }
    }
    buffer.erase(0, start);
  }
  if (!buffer.empty() || host.in_batch()) {
    std::fprintf(stderr,
                 "dispatcher_simulator_adapter: line %zu: input ends inside a batch: %.200s\n",
                 line_number + 1, buffer.c_str());
    return 1;
  }
  return 0;
}

}  // namespace

int main() {
  return run();
}

// Connects the simulator to the schedulers: reads lines from standard input and writes the replies
// to standard output. Exits with 0 at the end of input, and with 1 after a malformed line or if the
// input ends inside a batch.
#include <unistd.h>

#include <array>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>

#include "simulator_adapter/host.h"

namespace {

constexpr std::size_t kChunkBytes = 1 << 16;

bool write_all(std::string_view text) {
  while (!text.empty()) {
    ssize_t count = ::write(STDOUT_FILENO, text.data(), text.size());
    if (count <= 0)
      return false;
    text.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void print_error(std::size_t line_number, const char* reason, const std::string& line) {
  std::fprintf(stderr, "dispatcher_simulator_adapter: line %zu: %s: %.200s\n", line_number, reason,
               line.c_str());
}

// Splits the input into lines and passes them to the host.
class InputReader {
 public:
  // Handles all complete lines. Returns false if the program must exit with a failure.
  bool consume(std::string_view bytes) {
    buffer_.append(bytes);
    std::size_t start = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', start)) {
      if (!handle_line(std::string_view(buffer_).substr(start, end - start)))
        return false;
      start = end + 1;
    }
    buffer_.erase(0, start);
    return true;
  }

  // Returns false if the input ended inside a line or a batch.
  bool finish() const {
    if (buffer_.empty() && !host_.in_batch())
      return true;
    print_error(line_number_ + 1, "input ends inside a batch", buffer_);
    return false;
  }

 private:
  bool handle_line(std::string_view line) {
    ++line_number_;
    try {
      return !host_.handle_line(line) || write_all(host_.reply());
    } catch (const std::exception& e) {
      print_error(line_number_, e.what(), std::string(line));
      return false;
    }
  }

  dispatcher::simulator_adapter::Host host_;
  std::string buffer_;
  std::size_t line_number_ = 0;
};

int run() {
  InputReader input;
  std::array<char, kChunkBytes> chunk{};
  ssize_t count = ::read(STDIN_FILENO, chunk.data(), chunk.size());
  while (count > 0) {
    if (!input.consume({chunk.data(), static_cast<std::size_t>(count)}))
      return 1;
    count = ::read(STDIN_FILENO, chunk.data(), chunk.size());
  }
  return input.finish() ? 0 : 1;
}

}  // namespace

int main() {
  return run();
}

#include "log.h"

#include <algorithm>

namespace oatledge::operations {
namespace {

constexpr transport::Duration kWindow{10'000};
constexpr int kLinesAWindow = 20;
constexpr std::size_t kLongest = 300;

}  // namespace

void Log::line(const std::string& kind, const std::string& text) {
  Window& w = windows_[kind];
  transport::Time now = clock_.now();
  if (w.lines == 0 || now - w.since >= kWindow) {
    if (w.dropped > 0) sink_(kind + ": " + std::to_string(w.dropped) + " more like this were left out");
    w = {now, 0, 0};
  }
  if (++w.lines > kLinesAWindow) {
    ++w.dropped;
    return;
  }
  std::string clean = text.substr(0, kLongest);
  // What peers sent may stand in it: a line must stay one line.
  std::ranges::replace_if(
      clean, [](unsigned char c) { return c < 32 || c == 127; }, '?');
  sink_(kind + ": " + clean);
}

void Log::trace(const std::string& text) { sink_("trace: " + text); }

}  // namespace oatledge::operations

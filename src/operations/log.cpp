#include "operations/log.h"

#include <json/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <regex>

namespace dispatcher::operations {
namespace {

constexpr transport::Duration kWindow{10'000};
constexpr int kMaxLinesPerWindow = 20;  // for each kind
constexpr std::size_t kMaxTextBytes = 300;

// The logger is not registered with spdlog, as one process may have several. For JSON, the pattern
// writes the opening brace of the object and its time.
Log::Sink make_stderr_sink(LogFormat format) {
  auto logger =
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern(format == LogFormat::Json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z",%v)" : "%v");
  logger->flush_on(spdlog::level::info);
  return [logger](const std::string& line) {
    logger->info(line);
  };
}

}  // namespace

std::vector<std::string> find_ids(const std::string& text) {
  static const std::regex kPattern(
      R"(\b(?:[0-9a-f]{16}|(?:[0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5})\b)");
  std::vector<std::string> ids;
  std::sregex_iterator end;
  for (std::sregex_iterator it(text.begin(), text.end(), kPattern); it != end; ++it)
    ids.push_back(it->str());
  return ids;
}

Log::Log(const transport::Clock& clock, LogFormat format, std::string name)
    : Log(clock, make_stderr_sink(format), format, std::move(name)) {}

void Log::write(const std::string& kind, const std::string& text) const {
  sink_(format_ == LogFormat::Plain ? kind + ": " + text : format_json(kind, text));
}

// The object without the opening brace and the time, which the sink writes.
std::string Log::format_json(const std::string& kind, const std::string& text) const {
  auto quoted = [](const std::string& value) {
    return Json::valueToQuotedString(value.c_str());
  };
  std::string ids;
  for (const std::string& id : find_ids(text)) {
    if (!ids.empty())
      ids += ',';
    ids += quoted(id);
  }
  return "\"name\":" + quoted(name_) + ",\"kind\":" + quoted(kind) + ",\"ids\":[" + ids +
         "],\"text\":" + quoted(text) + "}";
}

void Log::line(const std::string& kind, const std::string& text) {
  Window& window = windows_[kind];
  transport::Time now = clock_.now();
  if (window.lines == 0 || now - window.start >= kWindow) {
    if (window.dropped > 0)
      write(kind, std::to_string(window.dropped) + " more like this were left out");
    window = {.start = now};
  }
  if (++window.lines > kMaxLinesPerWindow) {
    ++window.dropped;
    return;
  }
  std::string sanitized = text.substr(0, kMaxTextBytes);
  // The text may contain bytes sent by a peer; replacing control characters keeps it on one line.
  std::ranges::replace_if(
      sanitized, [](unsigned char byte) { return byte < ' ' || byte == '\x7f'; }, '?');
  write(kind, sanitized);
}

void Log::trace(const std::string& text) {
  write("trace", text);
}

}  // namespace dispatcher::operations

#include "operations/log.h"

#include <json/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <regex>

namespace dispatcher::operations {
namespace {

constexpr transport::Duration kWindow{10'000};
constexpr int kLinesAWindow = 20;
constexpr std::size_t kLongest = 300;

// Not registered with spdlog, so that several of one process do not meet. A JSON line gets its time
// here.
Log::Sink standard_error(LogFormat format) {
  auto logger =
      std::make_shared<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>());
  logger->set_pattern(format == LogFormat::Json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z",%v)" : "%v");
  logger->flush_on(spdlog::level::info);
  return [logger](const std::string& line) {
    logger->info(line);
  };
}

}  // namespace

std::vector<std::string> ids_in(const std::string& text) {
  static const std::regex id(R"(\b(?:[0-9a-f]{16}|(?:[0-9]{1,3}\.){3}[0-9]{1,3}:[0-9]{1,5})\b)");
  std::vector<std::string> out;
  for (std::sregex_iterator it(text.begin(), text.end(), id), end; it != end; ++it)
    out.push_back(it->str());
  return out;
}

Log::Log(const transport::Clock& clock, LogFormat format, std::string name)
    : Log(clock, standard_error(format), format, std::move(name)) {}

void Log::write(const std::string& kind, const std::string& text) const {
  if (format_ == LogFormat::Plain)
    return sink_(kind + ": " + text);
  auto quoted = [](const std::string& s) {
    return Json::valueToQuotedString(s.c_str());
  };
  std::string line = "\"name\":";
  line.append(quoted(name_)).append(",\"kind\":").append(quoted(kind)).append(",\"ids\":[");
  for (const std::string& id : ids_in(text)) {
    if (line.back() != '[')
      line += ',';
    line += quoted(id);
  }
  line.append("],\"text\":").append(quoted(text)).append("}");
  sink_(line);
}

void Log::line(const std::string& kind, const std::string& text) {
  Window& w = windows_[kind];
  transport::Time now = clock_.now();
  if (w.lines == 0 || now - w.since >= kWindow) {
    if (w.dropped > 0)
      write(kind, std::to_string(w.dropped) + " more like this were left out");
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
  write(kind, clean);
}

void Log::trace(const std::string& text) {
  write("trace", text);
}

}  // namespace dispatcher::operations

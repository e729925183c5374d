#include "testbed/program/log_search.h"

#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace dispatcher::testbed {
namespace {

// Parses a line of the program's JSON log. Returns nothing for any other line.
std::optional<Json::Value> parse_line(const std::string& text) {
  Json::Value line;
  std::istringstream stream(text);
  std::string errors;
  if (!Json::parseFromStream(Json::CharReaderBuilder(), stream, &line, &errors) || !line.isObject())
    return std::nullopt;
  return line;
}

bool concerns(const Json::Value& line, const std::string& id) {
  return std::ranges::any_of(line["ids"], [&](const Json::Value& entry) { return entry == id; });
}

}  // namespace

long print_log_lines(const std::string& folder, const std::string& id) {
  std::multimap<std::string, std::string> lines;  // by time
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (file.path().extension() != ".log")
      continue;
    std::ifstream log(file.path());
    for (std::string text; std::getline(log, text);) {
      std::optional<Json::Value> line = parse_line(text);
      if (!line || !concerns(*line, id))
        continue;
      lines.emplace((*line)["time"].asString(), file.path().stem().string() + "  " +
                                                    (*line)["kind"].asString() + ": " +
                                                    (*line)["text"].asString());
    }
  }
  for (const auto& [time, text] : lines)
    std::printf("%s  %s\n", time.c_str(), text.c_str());
  return static_cast<long>(lines.size());
}

}  // namespace dispatcher::testbed

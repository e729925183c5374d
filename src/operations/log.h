// Plain lines on standard error, each kind limited in its rate so that a storm of one fault cannot fill the
// disk or hide the others.
#pragma once

#include <cstdio>
#include <functional>
#include <map>
#include <string>

#include "../transport/clock.h"

namespace oatledge::operations {

class Log {
 public:
  using Sink = std::function<void(const std::string&)>;
  explicit Log(
      const transport::Clock& clock,
      Sink sink = [](const std::string& line) { std::fputs((line + '\n').c_str(), stderr); })
      : clock_(clock), sink_(std::move(sink)) {}

  // `kind` is the first word of the line and what the limit counts by; the on-call page lists them.
  void line(const std::string& kind, const std::string& text);
  void trace(const std::string& text);  // of the kind "trace", which has no limit

 private:
  struct Window {
    transport::Time since{};
    int lines = 0, dropped = 0;
  };
  const transport::Clock& clock_;
  Sink sink_;
  std::map<std::string, Window> windows_;
};

}  // namespace oatledge::operations

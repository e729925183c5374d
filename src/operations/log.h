// Lines on standard error, each kind limited in its rate so that a storm of one fault cannot fill
// the disk or hide the others. Plain ones are `KIND: TEXT`; as JSON each is an object with the
// time, the dispatcher's name, kind, text, and the ids that the text names, so that one order or
// member can be followed through many processes (dispatcher-testbed follow).
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "transport/clock.h"

namespace dispatcher::operations {

enum class LogFormat { Plain, Json };

class Log {
 public:
  using Sink = std::function<void(const std::string&)>;
  // To standard error. `name`: of this dispatcher, for JSON.
  Log(const transport::Clock& clock, LogFormat format, std::string name);
  Log(const transport::Clock& clock, Sink sink, LogFormat format = LogFormat::Plain,
      std::string name = {})
      : clock_(clock), sink_(std::move(sink)), format_(format), name_(std::move(name)) {}

  // `kind` is the first word of the line and what the limit counts by; the on-call page lists them.
  void line(const std::string& kind, const std::string& text);
  void trace(const std::string& text);  // of the kind "trace", which has no limit

 private:
  void write(const std::string& kind, const std::string& text) const;
  struct Window {
    transport::Time since{};
    int lines = 0;
    int dropped = 0;
  };
  const transport::Clock& clock_;
  Sink sink_;
  LogFormat format_;
  std::string name_;
  std::map<std::string, Window> windows_;
};

// Those of orders (16 hexadecimal digits), and addresses with a port, in the order of the text.
std::vector<std::string> ids_in(const std::string& text);

}  // namespace dispatcher::operations

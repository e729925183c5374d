// Log lines on standard error. The rate of each kind is limited, so that a storm of one fault
// neither fills the disk nor hides the others. Plain lines are `KIND: TEXT`. JSON lines are objects
// with time, name, kind, ids and text, where ids are those that the text names, so that one request
// or member can be followed through many processes (dispatcher-testbed follow).
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>
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

  // `kind`: first word of the line; the rate limit counts by it. docs/on-call.md lists all kinds.
  void line(const std::string& kind, const std::string& text);
  // A line of kind "trace", which has no limit.
  void trace(const std::string& text);

 private:
  // Of the rate limit, for one kind.
  struct Window {
    transport::Time since{};
    int lines = 0;
    int dropped = 0;
  };
  void write(const std::string& kind, const std::string& text) const;
  std::string json_object(const std::string& kind, const std::string& text) const;

  const transport::Clock& clock_;
  Sink sink_;
  LogFormat format_;
  std::string name_;
  std::map<std::string, Window> windows_;  // by kind
};

// Request ids (16 hexadecimal digits) and endpoints (address:port) in the order of the text.
std::vector<std::string> ids_in(const std::string& text);

}  // namespace dispatcher::operations

// Writes log lines to standard error. The rate of each kind is limited, so that a burst of one
// fault neither fills the disk nor hides other faults. Plain lines have the form `KIND: TEXT`. JSON
// lines are objects with time, name, kind, ids and text, where ids lists the request ids and
// endpoints that the text contains, so that one request or member can be followed through many
// processes (dispatcher-testbed follow).
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
  // Writes to standard error. `name`: name of this dispatcher, for JSON lines.
  Log(const transport::Clock& clock, LogFormat format, std::string name);
  Log(const transport::Clock& clock, Sink sink, LogFormat format = LogFormat::Plain,
      std::string name = {})
      : clock_(clock), sink_(std::move(sink)), format_(format), name_(std::move(name)) {}

  // `kind`: first word of the line; the rate limit applies to each kind separately. docs/on-call.md
  // lists all kinds.
  void line(const std::string& kind, const std::string& text);
  // Writes a line of kind "trace", which has no rate limit.
  void trace(const std::string& text);

 private:
  // State of the rate limit of one kind.
  struct Window {
    transport::Time start{};
    int lines = 0;
    int dropped = 0;
  };
  void write(const std::string& kind, const std::string& text) const;
  std::string format_json(const std::string& kind, const std::string& text) const;

  const transport::Clock& clock_;
  Sink sink_;
  LogFormat format_;
  std::string name_;
  std::map<std::string, Window> windows_;  // by kind
};

// Returns the request ids (16 hexadecimal digits) and endpoints (address:port) in `text`, in order.
std::vector<std::string> find_ids(const std::string& text);

}  // namespace dispatcher::operations

// The words and values of the wire, each read or written in one place.
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <charconv>
#include <cmath>
#include <limits>
#include <string>
#include <string_view>

#include "settings/settings_reader.h"

namespace dispatcher::simulator_adapter {

using settings::Columns;
using settings::Malformed;
using settings::parse_number;
using settings::read_report;
using settings::read_settings;

// The space-separated parts of one line.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}

  std::string_view optional_word() {
    std::size_t space = rest_.find(' ');
    std::string_view word = rest_.substr(0, space);
    rest_ = space == std::string_view::npos ? std::string_view() : rest_.substr(space + 1);
    return word;
  }
  std::string_view word() {
    std::string_view w = optional_word();
    if (w.empty())
      throw Malformed("a value is missing");
    return w;
  }
  std::string_view rest() const { return rest_; }

  template <class Integer>
  Integer integer(Integer low = 0, Integer high = std::numeric_limits<Integer>::max()) {
    Integer value = parse_number<Integer>(word());
    if (value < low || value > high)
      throw Malformed("a number is out of range");
    return value;
  }
  std::optional<double> optional_number() {
    std::string_view w = optional_word();
    if (w.empty() || w == "-")
      return std::nullopt;
    return parse_number<double>(w);
  }
  scheduling::Duration time() {
    double value = parse_number<double>(word());
    if (!std::isfinite(value))
      throw Malformed("a time is not finite");
    return scheduling::Duration(value);
  }
  scheduling::RequestId hex_id() {
    std::string_view w = word();
    scheduling::RequestId id = 0;
    auto [end, error] = std::from_chars(w.data(), w.data() + w.size(), id, 16);
    if (w.size() != 16 || error != std::errc() || end != w.data() + w.size())
      throw Malformed("not a request id");
    return id;
  }

 private:
  std::string_view rest_;
};

struct Row {
  std::string worker;
  scheduling::WorkerEntry values;  // all but the name
  scheduling::WorkerEntry entry() const {
    scheduling::WorkerEntry e = values;
    e.worker = worker;
    return e;
  }
};

inline Row read_row(Fields& f) {
  using scheduling::Readiness;
  Row row;
  row.worker = f.word();
  row.values.zone = f.integer<int>();
  row.values.kind = f.integer<int>();
  row.values.cell = f.integer<int>();
  std::string_view readiness = f.word();
  // A state this page does not name is one that takes no new work.
  row.values.readiness = readiness == "Ready"  ? Readiness::Ready
                         : readiness == "Gone" ? Readiness::Removed
                                               : Readiness::Draining;
  row.values.size = f.optional_number().value_or(1);
  std::optional<double> since = f.optional_number();
  if (since && *since != 0)
    row.values.online_since = scheduling::Time(scheduling::Duration(*since));
  return row;
}

inline std::optional<scheduling::EndpointUpdateKind> read_list_kind(std::string_view word) {
  using scheduling::EndpointUpdateKind;
  if (word == "Partial")
    return EndpointUpdateKind::Delta;
  if (word == "Complete")
    return EndpointUpdateKind::Snapshot;
  if (word == "Persisted")
    return EndpointUpdateKind::Cached;
  if (word == "Error")
    return EndpointUpdateKind::Failed;
  return std::nullopt;
}

inline scheduling::Outcome read_outcome(std::string_view word) {
  using scheduling::Outcome;
  if (word == "success")
    return Outcome::Success;
  if (word == "overloaded")
    return Outcome::Rejected;
  if (word == "timed_out")
    return Outcome::TimedOut;
  if (word == "unreachable")
    return Outcome::ConnectFailed;
  if (word == "broken")
    return Outcome::ConnectionReset;
  if (word == "withdrawn")
    return Outcome::Cancelled;
  if (word == "void")
    return Outcome::NotSent;
  return Outcome::Failure;  // also a word not known here: the attempt is over and proves nothing
}

// Three decimals; by whole thousandths where they fit, since the library's way for fractions takes
// far longer.
inline void write_time(scheduling::Duration d, std::string& out) {
  char text[32];
  double thousandths = std::round(d.count() * 1000);
  if (!(thousandths >= 0 && thousandths < 9e15)) {
    auto [end, error] =
        std::to_chars(text, text + sizeof text, d.count(), std::chars_format::fixed, 3);
    out.append(text, error == std::errc() ? end : text);
    return;
  }
  auto whole = static_cast<std::uint64_t>(thousandths);
  out.append(text, std::to_chars(text, text + sizeof text, whole / 1000).ptr);
  out += '.';
  for (std::uint64_t unit : {100, 10, 1})
    out += static_cast<char>('0' + whole / unit % 10);
}

inline void write_id(scheduling::RequestId id, std::string& out) {
  for (int shift = 60; shift >= 0; shift -= 4)
    out += "0123456789abcdef"[(id >> shift) & 15];
}

inline std::string read_bytes(std::string_view hex) {
  std::string bytes;
  if (hex == "-")
    hex = {};
  if (hex.size() % 2 != 0)
    throw Malformed("half a byte");
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned char byte = 0;
    auto [end, error] = std::from_chars(hex.data() + i, hex.data() + i + 2, byte, 16);
    if (error != std::errc() || end != hex.data() + i + 2)
      throw Malformed("not a byte");
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

inline void write_message(int to, std::string_view bytes, std::string& out) {
  out += "BROADCAST_TO " + std::to_string(to) + ' ';
  for (unsigned char c : bytes) {
    out += "0123456789abcdef"[c >> 4];
    out += "0123456789abcdef"[c & 15];
  }
  out += '\n';
}

inline void write_action(const scheduling::Action& a, std::string& out) {
  using scheduling::ActionKind;
  switch (a.kind) {
    case ActionKind::Send:
      out += "RELAY ";
      write_id(a.id, out);
      out += ' ';
      out += a.worker;
      out += " 0";
      break;
    case ActionKind::Reject:
      out += "PUSH_BACK ";
      write_id(a.id, out);
      out += ' ';
      write_time(a.retry_after, out);
      break;
    case ActionKind::Fail:
      out += "GIVE_UP ";
      write_id(a.id, out);
      break;
    case ActionKind::Cancel:
      out += "ABORT_ATTEMPT ";
      write_id(a.id, out);
      out += ' ';
      out += std::to_string(a.attempt);
      break;
    case ActionKind::HealthCheck:
      out += "ASK_LOAD ";
      out += a.worker;
      break;
    case ActionKind::Watch:
      out += "LISTEN 1";
      break;
    case ActionKind::SetTimer:
      out += "ARM ";
      write_time(a.at.time_since_epoch(), out);
      out += " 1";
      break;
    case ActionKind::Log:
      out += "RECORD ";
      out += a.text;
      break;
  }
  out += '\n';
}

}  // namespace dispatcher::simulator_adapter

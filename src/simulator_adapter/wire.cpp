#include "simulator_adapter/wire.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace dispatcher::simulator_adapter {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

// wire: states of a worker. A worker in an unknown state gets no new requests.
scheduling::Readiness read_readiness(std::string_view word) {
  if (word == "Ready")
    return scheduling::Readiness::Ready;
  if (word == "Gone")
    return scheduling::Readiness::Removed;
  return scheduling::Readiness::Draining;
}

void write_id(scheduling::RequestId id, std::string& out) {
  for (int shift = 60; shift >= 0; shift -= 4)
    out += kHexDigits[(id >> shift) & 0xf];
}

void write_milliseconds_with_to_chars(scheduling::Duration time, std::string& out) {
  std::array<char, 32> text{};
  auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), time.count(),
                                    std::chars_format::fixed, 3);
  out.append(text.data(), error == std::errc() ? end : text.data());
}

}  // namespace

scheduling::WorkerEntry EndpointRow::entry() const {
  scheduling::WorkerEntry entry = values;
  entry.worker = worker;
  return entry;
}

// wire: ROW WORKER ZONE KIND CELL STATE SIZE ONLINE_SINCE
EndpointRow read_row(LineReader& line) {
  EndpointRow row;
  row.worker = line.word();
  row.values.zone = line.integer<int>();
  row.values.kind = line.integer<int>();
  row.values.cell = line.integer<int>();
  row.values.readiness = read_readiness(line.word());
  row.values.size = line.optional_number().value_or(1);
  std::optional<double> online_since = line.optional_number();
  if (online_since && *online_since != 0)
    row.values.online_since = scheduling::Time(scheduling::Duration(*online_since));
  return row;
}

// wire: REQ ID CLASS TENANT KEY TIMEOUT COST_HINT SLOTS MEMORY FLAGS
scheduling::Request read_request(LineReader& line) {
  constexpr unsigned kCostHintValidFlag = 1;
  scheduling::Request request;
  request.id = line.request_id();
  request.job_class = line.integer<std::size_t>();
  request.tenant = static_cast<std::size_t>(std::max(0.0, line.optional_number().value_or(0)));
  line.word();  // key
  request.timeout = line.time();
  std::optional<double> cost_hint = line.optional_number();
  request.slots = line.optional_number().value_or(1);
  request.memory = line.optional_number().value_or(0);
  auto flags = static_cast<unsigned>(line.optional_number().value_or(0));
  if (cost_hint && (flags & kCostHintValidFlag) != 0)
    request.cost_hint = scheduling::Duration(*cost_hint);
  return request;
}

// wire: RESPONSE ID ATTEMPT REMARK FINAL WORKER OUTCOME ELAPSED REPORT
scheduling::AttemptEnd read_attempt_end(LineReader& line, const LoadReportColumns& columns) {
  scheduling::AttemptEnd end;
  end.id = line.request_id();
  end.attempt = line.integer<int>();
  line.word();  // remark
  end.final = line.word() == "1";
  end.worker = line.word();
  end.outcome = read_outcome(line.word());
  // When an attempt ends, the simulator also ends its job at the worker, unless the dispatcher has
  // stopped waiting.
  end.reported_by_worker = end.outcome != scheduling::Outcome::TimedOut;
  line.word();  // time since the attempt was sent
  end.report = settings::read_load_report(line.optional_word(), columns);
  return end;
}

// wire: outcomes of RESPONSE and HEALTH
scheduling::Outcome read_outcome(std::string_view word) {
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
  return Outcome::Failure;
}

// wire: kinds of NOTICE
std::optional<scheduling::JobEventKind> read_job_event_kind(LineReader& line) {
  switch (line.integer<int>()) {
    case 1:
      return scheduling::JobEventKind::Started;
    case 2:
      return scheduling::JobEventKind::Progress;
    default:
      return std::nullopt;
  }
}

// wire: kinds of BACKENDS_CHANGED
std::optional<scheduling::EndpointUpdateKind> read_update_kind(std::string_view word) {
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

std::string decode_hex(std::string_view hex) {
  std::string bytes;
  if (hex == settings::kNoValue)
    return bytes;
  if (hex.size() % 2 != 0)
    throw MalformedInput("half a byte");
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    unsigned char byte = 0;
    const char* end = hex.data() + i + 2;
    auto [next, error] = std::from_chars(hex.data() + i, end, byte, 16);
    if (error != std::errc() || next != end)
      throw MalformedInput("not a byte");
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

// Converts whole thousandths if they fit an integer: std::to_chars takes far longer for fractions.
void write_time(scheduling::Duration time, std::string& out) {
  constexpr double kMaxThousandths = 9e15;
  double thousandths = std::round(time.count() * 1000);
  if (!(thousandths >= 0 && thousandths < kMaxThousandths)) {
    write_milliseconds_with_to_chars(time, out);
    return;
  }
  auto whole = static_cast<std::uint64_t>(thousandths);
  out += std::to_string(whole / 1000);
  out += '.';
  for (std::uint64_t unit : {100, 10, 1})
    out += static_cast<char>('0' + whole / unit % 10);
}

// wire: BROADCAST_TO
void write_gossip_message(int to, std::string_view bytes, std::string& out) {
  out += "BROADCAST_TO " + std::to_string(to) + ' ';
  for (unsigned char byte : bytes) {
    out += kHexDigits[byte >> 4];
    out += kHexDigits[byte & 0xf];
  }
  out += '\n';
}

// wire: RELAY, PUSH_BACK, GIVE_UP, ABORT_ATTEMPT, ASK_LOAD, LISTEN, ARM, RECORD
void write_action(const scheduling::Action& action, std::string& out) {
  using scheduling::ActionKind;
  switch (action.kind) {
    case ActionKind::Send:
      out += "RELAY ";
      write_id(action.id, out);
      out += ' ';
      out += action.worker;
      out += " 0";
      break;
    case ActionKind::Reject:
      out += "PUSH_BACK ";
      write_id(action.id, out);
      out += ' ';
      write_time(action.retry_after, out);
      break;
    case ActionKind::Fail:
      out += "GIVE_UP ";
      write_id(action.id, out);
      break;
    case ActionKind::Cancel:
      out += "ABORT_ATTEMPT ";
      write_id(action.id, out);
      out += ' ';
      out += std::to_string(action.attempt);
      break;
    case ActionKind::HealthCheck:
      out += "ASK_LOAD ";
      out += action.worker;
      break;
    case ActionKind::Watch:
      out += "LISTEN 1";
      break;
    case ActionKind::SetTimer:
      out += "ARM ";
      write_time(action.at.time_since_epoch(), out);
      out += " 1";
      break;
    case ActionKind::Log:
      out += "RECORD ";
      out += action.text;
      break;
  }
  out += '\n';
}

}  // namespace dispatcher::simulator_adapter

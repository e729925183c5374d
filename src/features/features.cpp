#include "features/features.h"

#include <google/protobuf/text_format.h>

#include <array>
#include <cstdint>
#include <fstream>
#include <iterator>

#include "fleet/endpoint.h"
#include "settings/parse_error_collector.h"

namespace dispatcher::features {
namespace {

using google::protobuf::TextFormat;
using settings::ParseErrorCollector;

struct Range {
  const char* field;
  std::uint64_t low;
  std::uint64_t high;
};
// wire: field names of proto/features.proto. The lower bounds are the smallest values that the
// program can work with; the upper bounds keep sums of the values from overflowing.
constexpr std::array<Range, 6> kStreamingRanges{{
    {"most_body_bytes", 1, std::uint64_t{1} << 40},
    {"memory_ceiling_mb", 1, 1 << 16},
    {"window_kb", 16, 1 << 20},
    {"replay_bytes", 0, 1 << 30},
    {"stall_ms", 100, 3'600'000},
    {"longest_transfer_ms", 100, 86'400'000},
}};
constexpr std::array<Range, 3> kFleetRanges{{
    {"period_ms", 50, 60'000},
    {"answer_ms", 10, 30'000},
    {"forget_s", 10, 604'800},
}};

constexpr int kNotRepeated = -1;  // index for fields that are not repeated

// Reports errors in a message at the line and column of the field concerned.
class MessageChecker {
 public:
  MessageChecker(const google::protobuf::Message& message,
                 const TextFormat::ParseInfoTree* locations, ParseErrorCollector& errors)
      : message_(message), locations_(locations), errors_(errors) {}

  void add_error(const char* field, int index, const std::string& reason) {
    auto location = locations_->GetLocation(descriptor(field), index);
    errors_.AddError(location.line, location.column, reason);
  }

  void check_range(const Range& range) {
    std::uint64_t value = unsigned_value(descriptor(range.field));
    if (value >= range.low && value <= range.high)
      return;
    add_error(range.field, kNotRepeated,
              std::string(range.field) + " must be from " + std::to_string(range.low) + " to " +
                  std::to_string(range.high));
  }

  void check_endpoint(const char* field, int index, const std::string& text) {
    if (!fleet::parse_endpoint(text))
      add_error(field, index, std::string(field) + " must be ADDRESS:PORT with a numeric address");
  }

 private:
  const google::protobuf::FieldDescriptor* descriptor(const char* field) const {
    return message_.GetDescriptor()->FindFieldByName(field);
  }
  std::uint64_t unsigned_value(const google::protobuf::FieldDescriptor* field) const {
    const google::protobuf::Reflection& reflection = *message_.GetReflection();
    if (field->cpp_type() == google::protobuf::FieldDescriptor::CPPTYPE_UINT64)
      return reflection.GetUInt64(message_, field);
    return reflection.GetUInt32(message_, field);
  }

  const google::protobuf::Message& message_;
  const TextFormat::ParseInfoTree* locations_;
  ParseErrorCollector& errors_;
};

void check_streaming(const Streaming& streaming, MessageChecker checker) {
  for (const Range& range : kStreamingRanges)
    checker.check_range(range);
  std::uint64_t window_bytes = std::uint64_t{streaming.window_kb()} << 10;
  std::uint64_t ceiling_bytes = std::uint64_t{streaming.memory_ceiling_mb()} << 20;
  if (window_bytes > ceiling_bytes) {
    const char* field = streaming.has_window_kb() ? "window_kb" : "memory_ceiling_mb";
    checker.add_error(field, kNotRepeated, "window_kb exceeds memory_ceiling_mb");
  }
}

void check_fleet(const Fleet& fleet, MessageChecker checker) {
  for (const Range& range : kFleetRanges)
    checker.check_range(range);
  for (int i = 0; i < fleet.seed_size(); ++i)
    checker.check_endpoint("seed", i, fleet.seed(i));
  if (fleet.has_advertise())
    checker.check_endpoint("advertise", kNotRepeated, fleet.advertise());
  if (2 * std::uint64_t{fleet.answer_ms()} > fleet.period_ms()) {
    const char* field = fleet.has_answer_ms() ? "answer_ms" : "period_ms";
    checker.add_error(
        field, kNotRepeated,
        "answer_ms exceeds half of period_ms, which leaves no time for indirect pings");
  }
}

void check(const Features& features, TextFormat::ParseInfoTree& locations,
           ParseErrorCollector& errors) {
  auto nested = [&](const char* field) {
    return locations.GetTreeForNested(features.GetDescriptor()->FindFieldByName(field),
                                      kNotRepeated);
  };
  if (features.has_streaming()) {
    check_streaming(features.streaming(),
                    MessageChecker(features.streaming(), nested("streaming"), errors));
  }
  if (features.has_fleet())
    check_fleet(features.fleet(), MessageChecker(features.fleet(), nested("fleet"), errors));
}

}  // namespace

Features read_features(const std::string& text, const std::string& name) {
  ParseErrorCollector errors(name);
  TextFormat::ParseInfoTree locations;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&errors);
  parser.WriteLocationsTo(&locations);
  Features features;
  bool parsed = parser.ParseFromString(text, &features);
  if (parsed)
    check(features, locations, errors);
  if (!errors.text().empty())
    throw FeaturesError(errors.text());
  if (!parsed)
    throw FeaturesError(name + ":1:1: not a valid features file");
  return features;
}

Features read_features_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in)
    throw FeaturesError(path + ":1:1: cannot read the file");
  return read_features(text, path);
}

}  // namespace dispatcher::features

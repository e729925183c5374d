#include "features/features.h"

#include <google/protobuf/text_format.h>

#include <fstream>
#include <iterator>

#include "fleet/membership_view.h"
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
// Lower ends keep the program working, higher ends keep sums of them in range.
constexpr Range kStreaming[] = {
    {"most_body_bytes", 1, std::uint64_t{1} << 40},
    {"memory_ceiling_mb", 1, 1 << 16},
    {"window_kb", 16, 1 << 20},
    {"replay_bytes", 0, 1 << 30},
    {"stall_ms", 100, 3'600'000},
    {"longest_transfer_ms", 100, 86'400'000},
};

constexpr Range kFleet[] = {
    {"period_ms", 50, 60'000}, {"answer_ms", 10, 30'000}, {"forget_s", 10, 604'800}};

template <std::size_t N>
void check_ranges(const google::protobuf::Message& m, const Range (&ranges)[N],
                  const TextFormat::ParseInfoTree* where, ParseErrorCollector& faults) {
  for (const Range& r : ranges) {
    const auto* field = m.GetDescriptor()->FindFieldByName(r.field);
    bool wide = field->cpp_type() == google::protobuf::FieldDescriptor::CPPTYPE_UINT64;
    std::uint64_t value =
        wide ? m.GetReflection()->GetUInt64(m, field) : m.GetReflection()->GetUInt32(m, field);
    if (value >= r.low && value <= r.high)
      continue;
    auto at = where->GetLocation(field, -1);
    faults.AddError(at.line, at.column,
                    std::string(r.field) + " must be from " + std::to_string(r.low) + " to " +
                        std::to_string(r.high));
  }
}

void check_streaming(const Streaming& s, const TextFormat::ParseInfoTree* where,
                     ParseErrorCollector& faults) {
  check_ranges(s, kStreaming, where, faults);
  if (std::uint64_t{s.window_kb()} << 10 > std::uint64_t{s.memory_ceiling_mb()} << 20) {
    const char* field = s.has_window_kb() ? "window_kb" : "memory_ceiling_mb";
    auto at = where->GetLocation(s.GetDescriptor()->FindFieldByName(field), -1);
    faults.AddError(at.line, at.column, "window_kb is more than all of memory_ceiling_mb");
  }
}

void check_fleet(const Fleet& f, const TextFormat::ParseInfoTree* where,
                 ParseErrorCollector& faults) {
  check_ranges(f, kFleet, where, faults);
  auto address = [&](const char* field, int index, const std::string& text) {
    if (fleet::parse_endpoint(text))
      return;
    auto at = where->GetLocation(f.GetDescriptor()->FindFieldByName(field), index);
    faults.AddError(at.line, at.column, std::string(field) + " must be ADDRESS:PORT, in digits");
  };
  for (int i = 0; i < f.seed_size(); ++i)
    address("seed", i, f.seed(i));
  if (f.has_advertise())
    address("advertise", -1, f.advertise());
  if (2 * std::uint64_t{f.answer_ms()} <= f.period_ms())
    return;
  auto at = where->GetLocation(
      f.GetDescriptor()->FindFieldByName(f.has_answer_ms() ? "answer_ms" : "period_ms"), -1);
  faults.AddError(at.line, at.column,
                  "answer_ms is more than half of period_ms: the others could not try in time");
}

}  // namespace

Features read_features(const std::string& text, const std::string& name) {
  ParseErrorCollector faults(name);
  TextFormat::ParseInfoTree where;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&faults);
  parser.WriteLocationsTo(&where);
  Features all;
  bool parsed = parser.ParseFromString(text, &all);
  if (parsed && all.has_streaming()) {
    check_streaming(all.streaming(),
                    where.GetTreeForNested(all.GetDescriptor()->FindFieldByName("streaming"), -1),
                    faults);
  }
  if (parsed && all.has_fleet()) {
    check_fleet(all.fleet(),
                where.GetTreeForNested(all.GetDescriptor()->FindFieldByName("fleet"), -1), faults);
  }
  if (!faults.text().empty())
    throw BadFeatures(faults.text());
  if (!parsed)
    throw BadFeatures(name + ":1:1: this is no features file");
  return all;
}

Features read_features_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in)
    throw BadFeatures(path + ":1:1: cannot be read");
  return read_features(text, path);
}

}  // namespace dispatcher::features

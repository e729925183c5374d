#include "testbed/program/scenario_file.h"

#include <google/protobuf/text_format.h>

#include <fstream>
#include <iterator>
#include <stdexcept>

#include "settings/parse_error_collector.h"

namespace dispatcher::testbed {
namespace {

using google::protobuf::TextFormat;

constexpr std::uint32_t kMinDispatchers = 2;
constexpr std::uint32_t kMaxDispatchers = 300;
constexpr std::uint32_t kMaxWorkers = 50;
constexpr double kMaxStepMs = 600'000;
constexpr double kMaxRequestsPerSecond = 10'000;

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file)
    throw std::invalid_argument(path + ":1:1: cannot be read");
  return text;
}

// Validates single steps. A fault is reported with the step's position in the file.
class StepChecker {
 public:
  StepChecker(const std::string& path, const Scenario& scenario)
      : path_(path), scenario_(scenario) {}

  void check(const Step& step, const TextFormat::ParseLocation& location) {
    location_ = location;
    check_members(step);
    check_workers(step);
    check_path(step.path());
    check_times(step);
    if (step.has_rate() &&
        !(step.rate() > 0 && step.rate() <= kMaxRequestsPerSecond && scenario_.rate() > 0))
      fail("rate must be above 0 and at most 10000, and the scenario must have a rate");
    if (step.what_case() == Step::WHAT_NOT_SET)
      fail("a step has no action");
  }

 private:
  [[noreturn]] void fail(const std::string& fault) const {
    dispatcher::settings::ParseErrorCollector errors(path_);
    errors.AddError(location_.line, location_.column, fault);
    throw std::invalid_argument(errors.text());
  }

  void check_members(const Step& step) const {
    std::vector<Members> lists(step.split().group().begin(), step.split().group().end());
    lists.insert(lists.end(), {step.start(), step.crash(), step.stop(), step.wake(), step.end()});
    for (const Members& members : lists) {
      if (members.has_first() != members.has_last() || members.first() > members.last() ||
          members.last() >= scenario_.dispatchers())
        fail("first and last must name a range of members");
      for (int number : member_numbers(members)) {
        if (number >= static_cast<int>(scenario_.dispatchers()))
          fail("there is no member " + std::to_string(number));
      }
    }
  }

  void check_workers(const Step& step) const {
    for (int number : member_numbers(step.workers().who())) {
      if (number < 0 || number >= static_cast<int>(scenario_.workers()))
        fail("there is no worker " + std::to_string(number));
    }
  }

  void check_path(const Path& path) const {
    if (path.from() >= scenario_.dispatchers() || path.to() >= scenario_.dispatchers())
      fail("from and to must name members");
    for (double share : {path.loss(), path.twice(), path.spoilt()}) {
      if (!(share >= 0 && share <= 1))
        fail("loss, twice and spoilt must be from 0 to 1");
    }
  }

  void check_times(const Step& step) const {
    const Path& path = step.path();
    for (double ms : {path.delay_ms(), path.jitter_ms(), static_cast<double>(step.pass_ms())}) {
      if (!(ms >= 0 && ms <= kMaxStepMs))
        fail("delay_ms, jitter_ms and pass_ms must be from 0 to 600000");
    }
  }

  const std::string& path_;
  const Scenario& scenario_;
  TextFormat::ParseLocation location_;
};

void check_size(const std::string& path, const Scenario& scenario) {
  if (scenario.dispatchers() < kMinDispatchers || scenario.dispatchers() > kMaxDispatchers)
    throw std::invalid_argument(path + ":1:1: dispatchers must be from 2 to 300");
  if (scenario.workers() < 1 || scenario.workers() > kMaxWorkers)
    throw std::invalid_argument(path + ":1:1: workers must be from 1 to 50");
}

}  // namespace

std::vector<int> member_numbers(const Members& members) {
  std::vector<int> numbers(members.member().begin(), members.member().end());
  if (!members.has_first())
    return numbers;
  for (std::uint32_t i = members.first(); i <= members.last(); ++i)
    numbers.push_back(static_cast<int>(i));
  return numbers;
}

Scenario read_scenario(const std::string& path, std::uint32_t dispatchers) {
  dispatcher::settings::ParseErrorCollector errors(path);
  TextFormat::ParseInfoTree locations;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&errors);
  parser.WriteLocationsTo(&locations);
  Scenario scenario;
  if (!parser.ParseFromString(read_file(path), &scenario))
    throw std::invalid_argument(errors.text());
  if (dispatchers > 0)
    scenario.set_dispatchers(dispatchers);
  check_size(path, scenario);
  const auto* step_field = Scenario::descriptor()->FindFieldByName("step");
  StepChecker checker(path, scenario);
  for (int i = 0; i < scenario.step_size(); ++i)
    checker.check(scenario.step(i), locations.GetLocation(step_field, i));
  return scenario;
}

}  // namespace dispatcher::testbed

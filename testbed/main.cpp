// dispatcher-testbed: plays a scenario on processes of the program and judges it from outside.
#include <google/protobuf/text_format.h>
#include <json/reader.h>
#include <json/writer.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

#include "scenario.pb.h"
#include "settings/parse_error_collector.h"
#include "testbed/processes/process_fleet.h"
#include "testbed/stubs/cpu_starvation.h"

namespace {

using namespace dispatcher::testbed;
using google::protobuf::TextFormat;

double now_s() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

[[noreturn]] void bad(const std::string& path, const TextFormat::ParseLocation& at,
                      const std::string& what) {
  dispatcher::settings::ParseErrorCollector faults(path);
  faults.AddError(at.line, at.column, what);
  throw std::invalid_argument(faults.text());
}

std::vector<int> members(const Members& m) {
  std::vector<int> out(m.member().begin(), m.member().end());
  if (m.has_first()) {
    for (std::uint32_t i = m.first(); i <= m.last(); ++i)
      out.push_back(static_cast<int>(i));
  }
  return out;
}

// Members that there are not, and shares over 1, must not be found in the middle of a run.
Scenario read(const std::string& path, std::uint32_t dispatchers) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in)
    throw std::invalid_argument(path + ":1:1: cannot be read");
  dispatcher::settings::ParseErrorCollector faults(path);
  TextFormat::ParseInfoTree where;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&faults);
  parser.WriteLocationsTo(&where);
  Scenario s;
  if (!parser.ParseFromString(text, &s))
    throw std::invalid_argument(faults.text());
  if (dispatchers)
    s.set_dispatchers(dispatchers);
  if (s.dispatchers() < 2 || s.dispatchers() > 300)
    throw std::invalid_argument(path + ":1:1: dispatchers must be from 2 to 300");
  if (s.workers() < 1 || s.workers() > 50)
    throw std::invalid_argument(path + ":1:1: workers must be from 1 to 50");
  const auto* field = Scenario::descriptor()->FindFieldByName("step");
  for (int i = 0; i < s.step_size(); ++i) {
    auto at = where.GetLocation(field, i);
    const Step& step = s.step(i);
    std::vector<Members> all(step.split().group().begin(), step.split().group().end());
    all.insert(all.end(), {step.start(), step.crash(), step.stop(), step.wake(), step.end()});
    for (const Members& m : all) {
      if (m.has_first() != m.has_last() || m.first() > m.last() || m.last() >= s.dispatchers())
        bad(path, at, "first and last must name a range of members");
      for (int one : members(m)) {
        if (one >= static_cast<int>(s.dispatchers()))
          bad(path, at, "there is no member " + std::to_string(one));
      }
    }
    for (int w : members(step.workers().who())) {
      if (w < 0 || w >= static_cast<int>(s.workers()))
        bad(path, at, "there is no order worker " + std::to_string(w));
    }
    const Path& p = step.path();
    if (p.from() >= s.dispatchers() || p.to() >= s.dispatchers())
      bad(path, at, "there is no such member");
    for (double share : {p.loss(), p.twice(), p.spoilt()}) {
      if (!(share >= 0 && share <= 1))
        bad(path, at, "a share must be from 0 to 1");
    }
    for (double ms : {p.delay_ms(), p.jitter_ms(), static_cast<double>(step.pass_ms())}) {
      if (!(ms >= 0 && ms <= 600'000))
        bad(path, at, "a time must be from 0 to 600000 ms");
    }
    if (step.has_rate() && !(step.rate() > 0 && step.rate() <= 10'000 && s.rate() > 0))
      bad(path, at, "a rate must be from 0 to 10000, in a scenario that has one");
    if (step.what_case() == Step::WHAT_NOT_SET)
      bad(path, at, "a step that does nothing");
  }
  return s;
}

class Run {
 public:
  Run(const Scenario& s, ProcessFleet::Setup setup) : scenario_(s), fleet_(std::move(setup)) {}

  Verdict play(const std::string& report) {
    begun_ = now_s();
    CoreTicks from = core_ticks();
    fleet_.start_all();
    say("all are started");
    bool ordered = false;
    for (const Step& step : scenario_.step()) {
      take(step);
      if (!std::exchange(ordered, true))
        fleet_.orders_begin(steady());
    }
    ProcessFleet::Account a = fleet_.account();
    // Where workers or the list fail, an order may; but it is told.
    bool rules = (ailed_ ? a.answered : a.served) == a.given && a.begun_twice == 0 &&
                 a.to_drained == 0 && a.longest <= 256;
    bool in_time = double(a.in_time) >= scenario_.useful() * double(a.begun);
    bool kept = rules && in_time;
    if (scenario_.slots() > 0) {
      std::printf(
          "orders begun for each that was handed in: %.2f; in time %.2f; turned away by workers "
          "%ld; longest "
          "line at one %d\n",
          double(a.begun) / double(a.given), double(a.in_time) / double(a.given),
          fleet_.workers().turned_away(), fleet_.workers().longest_line());
    }
    std::printf(
        "verdict: %s; %llu orders, %llu answered, %llu well, %llu begun twice, %llu to drained "
        "workers, "
        "longest datagram %ld bytes, %ld calls for lists\n",
        kept ? "kept" : "BROKEN", static_cast<unsigned long long>(a.given),
        static_cast<unsigned long long>(a.answered), static_cast<unsigned long long>(a.served),
        static_cast<unsigned long long>(a.begun_twice),
        static_cast<unsigned long long>(a.to_drained), a.longest, fleet_.workers().list_calls());
    double starved = stolen_part(from, core_ticks()) + in_line();
    std::printf("waited for a core: %.3f of the time\n", starved);
    if (!report.empty())
      write(report, a, kept);
    return {rules, in_time, starved};
  }

 private:
  static CoreTicks core_ticks() {
    std::ifstream stat("/proc/stat");
    return read_core_ticks(stat);
  }

  // The mean of the members that are up, over the life of the run.
  double in_line() {
    double waited = 0;
    for (int i : fleet_.up())
      waited += fleet_.member(i).waited_ms();
    double lived = 1000 * (now_s() - begun_) * double(fleet_.up().size());
    return lived > 0 ? waited / lived : 0;
  }

  // Members that no step touches: orders go there, and each has to be answered.
  std::vector<int> steady() const {
    std::set<int> left;
    for (std::uint32_t i = 0; i < scenario_.dispatchers(); ++i)
      left.insert(static_cast<int>(i));
    for (const Step& s : scenario_.step()) {
      for (const Members* m : {&s.crash(), &s.stop(), &s.end()}) {
        for (int i : members(*m))
          left.erase(i);
      }
    }
    if (left.empty())
      left.insert(0);
    return {left.begin(), left.end()};
  }

  void take(const Step& step) {
    auto each = [&](const Members& m, const char* what, auto act) {
      for (int i : members(m))
        act(i);
      say(std::to_string(members(m).size()) + " " + what);
    };
    switch (step.what_case()) {
      case Step::kStart:
        return each(step.start(), "started", [&](int i) { fleet_.start(i); });
      case Step::kCrash:
        return each(step.crash(), "crashed", [&](int i) { fleet_.crash(i); });
      case Step::kStop:
        return each(step.stop(), "stopped", [&](int i) { fleet_.stop(i); });
      case Step::kWake:
        return each(step.wake(), "woken", [&](int i) { fleet_.wake(i); });
      case Step::kEnd:
        return each(step.end(), "ended", [&](int i) { fleet_.leave(i); });
      case Step::kSplit:
        groups_.clear();
        for (const Members& g : step.split().group())
          groups_.push_back(members(g));
        fleet_.relays().split(groups_);
        return say("split into " + std::to_string(groups_.size()));
      case Step::kPath:
        return path(step.path());
      case Step::kHeal:
        groups_.clear();
        fleet_.relays().set_all({});
        return say("all paths are whole");
      case Step::kPassMs:
        std::this_thread::sleep_for(std::chrono::milliseconds(step.pass_ms()));
        return;
      case Step::kSettle:
        return settle();
      case Step::kListService: {
        ailed_ = true;
        fleet_.workers().ail({static_cast<ListFault::Kind>(step.list_service().fault()),
                              static_cast<int>(step.list_service().amount())});
        return say("the list service: " + ListService::Fault_Name(step.list_service().fault()));
      }
      case Step::kWorkers:
        return workers(step.workers());
      case Step::kRate:
        ailed_ = true;  // who is asked for too much may refuse
        fleet_.rate(step.rate());
        return say("orders: " + std::to_string(static_cast<int>(step.rate())) + " a second");
      case Step::kRecover:
        return recover();
      case Step::WHAT_NOT_SET:
        return;
    }
  }

  void recover() {
    double from = now_s();
    std::uint64_t since = fleet_.given();
    ProcessFleet::wait([&] { return fleet_.in_time(since); });
    double took = now_s() - from;
    recovered_.append(took);
    char text[80];
    std::snprintf(text, sizeof text, "in time again after %.2f s", took);
    say(text);
  }

  void workers(const Workers& w) {
    for (int i : members(w.who())) {
      if (w.fault() == Workers::DRAIN) {
        fleet_.drain(i);
      } else if (w.fault() == Workers::UP) {
        fleet_.raise(i);
      } else {
        ailed_ = true;
        fleet_.workers().ail(i, static_cast<WorkerFault>(w.fault()));
      }
    }
    say(std::to_string(members(w.who()).size()) +
        " order workers: " + Workers::Fault_Name(w.fault()));
  }

  void path(const Path& p) {
    Link link;
    link.cut = p.cut();
    link.loss = p.loss();
    link.twice = p.twice();
    link.spoilt = p.spoilt();
    link.delay_ms = p.delay_ms();
    link.jitter_ms = p.jitter_ms();
    int n = static_cast<int>(scenario_.dispatchers());
    for (int from = 0; from < n; ++from) {
      for (int to = 0; to < n; ++to) {
        if ((!p.has_from() || from == static_cast<int>(p.from())) &&
            (!p.has_to() || to == static_cast<int>(p.to())))
          fleet_.relays().set(from, to, link);
      }
    }
    say("paths changed");
  }

  void settle() {
    double from = now_s();
    std::vector<std::set<int>> parts;
    for (const auto& group : groups_) {
      std::set<int> up;
      for (int i : group) {
        if (fleet_.up().contains(i))
          up.insert(i);
      }
      if (!up.empty())
        parts.push_back(std::move(up));
    }
    if (parts.empty())
      parts.push_back(fleet_.up());
    for (const auto& part : parts)
      ProcessFleet::wait([&] { return fleet_.agree(part); });
    double took = now_s() - from;
    settled_.append(took);
    char text[80];
    std::snprintf(text, sizeof text, "settled after %.2f s, %zu up", took, fleet_.up().size());
    say(text);
  }

  void say(const std::string& what) {
    std::printf("%8.2f s  %s\n", now_s() - begun_, what.c_str());
    std::fflush(stdout);
  }

  void write(const std::string& folder, const ProcessFleet::Account& a, bool kept) {
    std::filesystem::create_directories(folder);
    Json::Value r;
    r["kept"] = kept;
    r["orders"] = Json::UInt64{a.given};
    r["answered"] = Json::UInt64{a.answered};
    r["served"] = Json::UInt64{a.served};
    r["to_drained"] = Json::UInt64{a.to_drained};
    r["in_time"] = Json::UInt64{a.in_time};
    r["recovered_s"] = recovered_;
    r["turned_away"] = Json::Int64{fleet_.workers().turned_away()};
    r["longest_line"] = fleet_.workers().longest_line();
    r["list_calls"] = Json::Int64{fleet_.workers().list_calls()};
    for (int i : fleet_.up()) {  // of the last process of each that is up
      Json::Value one;
      one["member"] = i;
      one["cpu_ms"] = fleet_.member(i).cpu_ms();
      one["memory_kb"] = Json::UInt64{fleet_.member(i).memory_kb("VmRSS")};
      one["datagrams"] = fleet_.view(i)["sent"];
      r["members"].append(one);
    }
    r["begun_twice"] = Json::UInt64{a.begun_twice};
    r["settled_s"] = settled_;
    r["datagrams_passed"] = Json::Int64{fleet_.relays().passed()};
    std::ofstream(folder + "/report.json") << r;
    for (std::uint32_t i = 0; i < scenario_.dispatchers(); ++i) {
      std::ofstream(folder + "/dispatcher-" + std::to_string(i) + ".log")
          << fleet_.member(static_cast<int>(i)).log();
    }
  }

  const Scenario& scenario_;
  ProcessFleet fleet_;
  std::vector<std::vector<int>> groups_;
  Json::Value settled_{Json::arrayValue};
  Json::Value recovered_{Json::arrayValue};
  double begun_ = 0;
  bool ailed_ = false;
};

// Prints what the logs of a run say of one order (its id, 16 hexadecimal digits) or one member (its
// address), in the order of time; the number of lines.
long follow(const std::string& folder, const std::string& id) {
  std::multimap<std::string, std::string> lines;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (file.path().extension() != ".log")
      continue;
    std::ifstream in(file.path());
    for (std::string text; std::getline(in, text);) {
      Json::Value line;
      std::istringstream one(text);
      std::string errors;
      if (!Json::parseFromStream(Json::CharReaderBuilder(), one, &line, &errors) ||
          !line.isObject())
        continue;  // of another kind
      if (std::ranges::none_of(line["ids"], [&](const Json::Value& has) { return has == id; }))
        continue;
      lines.emplace(line["time"].asString(), file.path().stem().string() + "  " +
                                                 line["kind"].asString() + ": " +
                                                 line["text"].asString());
    }
  }
  for (const auto& [time, text] : lines)
    std::printf("%s  %s\n", time.c_str(), text.c_str());
  return static_cast<long>(lines.size());
}

}  // namespace

int main(int argc, char** argv) try {
  CLI::App line{"Plays scenarios on processes of the dispatcher, on the loopback."};
  line.require_subcommand(1);
  std::string folder;
  std::string id;
  CLI::App* following = line.add_subcommand(
      "follow", "what a run's logs say of one order or member; exit 1: nothing");
  following->add_option("run", folder, "the folder of --report")
      ->required()
      ->check(CLI::ExistingDirectory);
  following->add_option("id", id, "of an order, 16 hexadecimal digits, or a member's ADDRESS:PORT")
      ->required();
  CLI::App* run = line.add_subcommand("run", "play one; exit 0 where it was kept, 1 where not");
  std::string path;
  std::string report;
  std::uint32_t dispatchers = 0;
  ProcessFleet::Setup setup;
  setup.program = "build/dispatcher";
  setup.config = "examples/config.json";
  run->add_option("scenario", path, "in protobuf text format, proto/scenario.proto")->required();
  run->add_option("--dispatchers", dispatchers, "instead of the scenario's");
  run->add_option("--seed", setup.seed, "of what is lost, doubled and spoilt on the way");
  run->add_option("--report", report, "a folder for report.json and the logs");
  run->add_option("--program", setup.program, "build/dispatcher");
  run->add_option("--config", setup.config, "examples/config.json");
  CLI11_PARSE(line, argc, argv);
  if (following->parsed())
    return follow(folder, id) > 0 ? 0 : 1;
  Scenario scenario = read(path, dispatchers);
  setup.trace = !report.empty();
  setup.rate = scenario.rate();
  setup.slots = static_cast<int>(scenario.slots());
  setup.places = static_cast<int>(scenario.places());
  setup.work_ms = static_cast<int>(scenario.work_ms());
  setup.wanted_ms = static_cast<int>(scenario.wanted_ms());
  setup.members = static_cast<int>(scenario.dispatchers());
  setup.workers = static_cast<int>(scenario.workers());
  setup.period_ms = static_cast<int>(scenario.period_ms());
  setup.answer_ms = static_cast<int>(scenario.answer_ms());
  for (int plays = 1;; ++plays) {
    Judgement j = judge(Run(scenario, setup).play(report), plays);
    if (j != Judgement::PlayAgain)
      return j == Judgement::Kept ? 0 : 1;
    std::printf("that says nothing of the program: played again\n");
  }
} catch (const std::invalid_argument& e) {  // lines of their own, as editors read them
  std::fprintf(stderr, "%s\n", e.what());
  return 1;
} catch (const std::exception& e) {
  std::fprintf(stderr, "dispatcher-testbed: %s\n", e.what());
  return 1;
}

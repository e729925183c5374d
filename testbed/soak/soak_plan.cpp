#include "testbed/soak/soak_plan.h"

#include <array>
#include <random>

namespace dispatcher::testbed {
namespace {

constexpr int kWorkers = 3;

class Draw {
 public:
  explicit Draw(std::uint64_t seed) : random_(seed) {}

  // Uniform in [low, high].
  int number(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<std::uint64_t>(high - low + 1));
  }
  std::chrono::milliseconds ms(int low, int high) {
    return std::chrono::milliseconds(number(low, high));
  }
  bool one_in(int count) { return number(1, count) == 1; }
  template <class Value, std::size_t kSize>
  Value one_of(const std::array<Value, kSize>& values) {
    return values.at(static_cast<std::size_t>(number(0, static_cast<int>(kSize) - 1)));
  }

 private:
  std::mt19937_64 random_;
};

DiscoveryFault draw_discovery_fault(Draw& draw) {
  switch (draw.number(1, 6)) {
    case 1:
      return {.kind = DiscoveryFault::Down};
    case 2:
      return {.kind = DiscoveryFault::Slow, .amount = draw.number(20, 600)};
    case 3:  // in effect unresponsive: about as long as a caller waits
      return {.kind = DiscoveryFault::Slow, .amount = draw.number(2000, 4000)};
    default:
      return {};
  }
}

SoakRound draw_round(Draw& draw, bool has_earlier_program) {
  static constexpr std::array kEvents{SoakEvent::HotRestart, SoakEvent::HotRestart,
                                      SoakEvent::HotRestart, SoakEvent::HotRestartTerminatedEarly,
                                      SoakEvent::Restart,    SoakEvent::Reload};
  static constexpr std::array kFaults{WorkerFault::None, WorkerFault::None, WorkerFault::None,
                                      WorkerFault::Hang, WorkerFault::Fail};
  SoakRound round;
  round.event = draw.one_of(kEvents);
  round.delay_before_event = draw.ms(0, 300);
  bool earlier = draw.one_in(2);
  round.earlier_program = has_earlier_program && earlier;
  round.connection_burst = draw.one_in(4);
  round.early_disconnects = draw.one_in(3);
  round.upload_resets = draw.one_in(4);
  round.worker_fault = draw.one_of(kFaults);
  round.faulty_worker = draw.number(0, kWorkers - 1);
  round.discovery_fault = draw_discovery_fault(draw);
  round.discovery_fault_lasts = draw.ms(100, 1500);
  round.sighups = draw.one_in(2) ? draw.number(1, 6) : 0;
  round.sigterms = draw.number(1, 3);
  round.signal_interval = draw.ms(0, 20);
  round.termination_delay = draw.ms(0, 40);
  round.balancer_delay = draw.ms(200, 400);
  return round;
}

void draw_list_change(Draw& draw, SoakRound& round) {
  static constexpr std::array kChanges{ListChange::None, ListChange::None, ListChange::Draining,
                                       ListChange::Removed};
  round.list_change = draw.one_of(kChanges);
  round.changed_worker = draw.number(0, kWorkers - 1);
}

bool is_hot_restart(SoakEvent event) {
  return event == SoakEvent::HotRestart || event == SoakEvent::HotRestartTerminatedEarly;
}

// Lets no hot restart be between two processes of the earlier version. The first process is of the
// current version, and a reload starts none.
void keep_one_end_current(SoakPlan& plan) {
  bool running_is_earlier = false;
  for (SoakRound& round : plan.rounds) {
    if (round.event == SoakEvent::Reload)
      continue;
    if (running_is_earlier && is_hot_restart(round.event))
      round.earlier_program = false;
    running_is_earlier = round.earlier_program;
  }
}

const char* to_text(SoakEvent event) {
  switch (event) {
    case SoakEvent::HotRestart:
      return "hot restart";
    case SoakEvent::HotRestartTerminatedEarly:
      return "hot restart, early SIGTERM";
    case SoakEvent::Restart:
      return "restart";
    case SoakEvent::Reload:
      return "reload";
  }
  return "";
}

const char* to_text(ListChange change) {
  return change == ListChange::Draining ? ", a worker drains" : ", a worker is removed";
}

const char* to_text(WorkerFault fault) {
  return fault == WorkerFault::Hang ? ", a worker hangs" : ", a worker fails";
}

}  // namespace

SoakPlan draw_soak_plan(std::uint64_t seed, int rounds, EarlierProgram earlier_program) {
  Draw draw(seed);
  SoakPlan plan{.seed = seed, .rounds = {}};
  for (int i = 0; i < rounds; ++i)
    plan.rounds.push_back(draw_round(draw, earlier_program != EarlierProgram::None));
  // Drawn last, so that list changes leave the other draws of known seeds as they were.
  for (SoakRound& round : plan.rounds)
    draw_list_change(draw, round);
  if (earlier_program == EarlierProgram::OneEndOnly)
    keep_one_end_current(plan);
  return plan;
}

std::string describe(const SoakRound& round) {
  std::string text = to_text(round.event);
  text += round.earlier_program ? ", starts the earlier version" : "";
  text += round.connection_burst ? ", connection burst" : "";
  text += round.early_disconnects ? ", clients disconnect early" : "";
  text += round.upload_resets ? ", upload resets" : "";
  if (round.worker_fault != WorkerFault::None)
    text += to_text(round.worker_fault);
  if (round.list_change != ListChange::None)
    text += to_text(round.list_change);
  if (round.discovery_fault.kind == DiscoveryFault::Down)
    text += ", discovery is down";
  if (round.discovery_fault.kind == DiscoveryFault::Slow)
    text += ", discovery takes " + std::to_string(round.discovery_fault.amount) + " ms";
  if (round.sighups > 0)
    text += ", SIGHUP x" + std::to_string(round.sighups);
  return text;
}

}  // namespace dispatcher::testbed

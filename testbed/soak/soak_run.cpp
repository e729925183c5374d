#include "testbed/soak/soak_run.h"

#include <csignal>

#include <chrono>
#include <cstdio>
#include <future>
#include <stdexcept>
#include <utility>

#include "testbed/stubs/evidence.h"

namespace dispatcher::testbed {
namespace {

constexpr int kWorkers = 3;
constexpr int kSockets = 1024;
constexpr std::chrono::milliseconds kStatisticsPollInterval{10};
constexpr int kMaxStatisticsPolls = 400;
// The longest time until a dispatcher knows of a change of the endpoint list.
constexpr double kMaxEndpointListDelayMs = 6000;
// Workers record an attempt at its end; the last ones, at a slow worker, end within this time.
constexpr std::chrono::milliseconds kLastAttemptsDelay{1500};

DispatcherProcess::Setup process_setup(const SoakSetup& setup) {
  return {.program = setup.program,
          .config = setup.config,
          .features = "",
          .host = process_loopback_address(),
          .max_sockets = kSockets,
          .admin_address = true,
          .trace = true};
}

// Sends a series of SIGHUPs from a thread of its own; the destructor waits for the end of the
// series.
class SighupSeries {
 public:
  SighupSeries(int pid, int count, std::chrono::milliseconds interval)
      : thread_([=] {
          for (int i = 0; i < count; ++i) {
            kill(pid, SIGHUP);
            std::this_thread::sleep_for(interval);
          }
        }) {}
  ~SighupSeries() { thread_.join(); }
  SighupSeries(const SighupSeries&) = delete;
  SighupSeries& operator=(const SighupSeries&) = delete;

 private:
  std::thread thread_;
};

}  // namespace

SoakRun::SoakRun(SoakSetup setup, SoakPlan plan)
    : setup_(std::move(setup)),
      plan_(std::move(plan)),
      services_(process_loopback_address(), kWorkers),
      dispatcher_(process_setup(setup_), services_),
      worker_faults_(kWorkers),
      clients_(dispatcher_.address(), plan_.seed, conditions_, ledger_) {}

std::vector<Violation> SoakRun::run() {
  started_ms_ = steady_ms();
  clients_.start();
  for (const SoakRound& round : plan_.rounds) {
    std::printf("%7.1f s  %s\n", (steady_ms() - started_ms_) / 1000, describe(round).c_str());
    std::fflush(stdout);
    run_round(round);
  }
  clients_.stop();
  check_results();
  std::printf("          %ld job event calls by workers were repeated\n",
              services_.repeated_events());
  if (!violations_.empty())
    keep_process_folders();
  return violations_;
}

void SoakRun::run_round(const SoakRound& round) {
  std::this_thread::sleep_for(round.delay_before_event);
  begin_faults(round);
  if (round.connection_burst)
    clients_.start_connection_burst();
  std::thread fault_timer([&] {
    std::this_thread::sleep_for(round.discovery_fault_lasts);
    end_faults(round);
  });
  switch (round.event) {
    case SoakEvent::HotRestart:
      hot_restart(round);
      break;
    case SoakEvent::HotRestartTerminatedEarly:
      hot_restart_terminated_early(round);
      break;
    case SoakEvent::Restart:
      restart(round);
      break;
    case SoakEvent::Reload:
      reload(round);
      break;
  }
  fault_timer.join();
  conditions_.fault_free = true;
  change_conditions();
}

void SoakRun::begin_faults(const SoakRound& round) {
  conditions_.fault_free = !round.has_worker_fault();
  conditions_.clients_disconnect_early = round.early_disconnects;
  conditions_.upload_resets = round.upload_resets;
  change_conditions();
  services_.set_fault(round.discovery_fault);
  services_.set_fault(round.faulty_worker, round.worker_fault);
  if (round.worker_fault != WorkerFault::None)
    worker_faults_.begin(round.faulty_worker, steady_ms());
  if (round.list_change != ListChange::None) {
    services_.set_state(round.changed_worker,
                        round.list_change == ListChange::Draining ? "draining" : "removed");
    worker_faults_.begin(round.changed_worker, steady_ms());
  }
}

void SoakRun::end_faults(const SoakRound& round) {
  services_.set_fault(DiscoveryFault{});
  services_.set_fault(round.faulty_worker, WorkerFault::None);
  if (round.worker_fault != WorkerFault::None)
    worker_faults_.end(round.faulty_worker, steady_ms());
  if (round.list_change != ListChange::None) {
    services_.set_state(round.changed_worker, "up");
    worker_faults_.end(round.changed_worker, steady_ms() + kMaxEndpointListDelayMs);
  }
  conditions_.upload_resets = false;
  conditions_.clients_disconnect_early = false;
}

bool SoakRun::start_next_process(const SoakRound& round) {
  dispatcher_.set_program(round.earlier_program ? setup_.earlier_program : setup_.program);
  return dispatcher_.start_hot_restart();
}

void SoakRun::hot_restart(const SoakRound& round) {
  {
    SighupSeries sighups(dispatcher_.pid(), round.sighups, round.signal_interval);
    if (!start_next_process(round))
      return add_violation("incoming process did not become ready", describe(round));
  }
  add_statistics(dispatcher_.outgoing_admin_address());
  check_exit(dispatcher_.terminate_repeatedly(DispatcherProcess::ProcessRole::Outgoing,
                                              round.sigterms, round.signal_interval));
}

void SoakRun::hot_restart_terminated_early(const SoakRound& round) {
  statistics_complete_ = false;
  conditions_.process_ending = true;
  change_conditions();
  int outgoing_pid = dispatcher_.pid();
  auto started = std::async(std::launch::async, [&] { return start_next_process(round); });
  std::this_thread::sleep_for(round.termination_delay);
  double terminated_ms = steady_ms();
  kill(outgoing_pid, SIGTERM);
  if (!started.get())
    return add_violation("incoming process did not become ready", describe(round));
  check_exit(dispatcher_.await_exit(DispatcherProcess::ProcessRole::Outgoing, terminated_ms));
  conditions_.process_ending = false;
  change_conditions();
}

void SoakRun::restart(const SoakRound& round) {
  statistics_complete_ = false;
  conditions_.process_ending = true;
  conditions_.listener_expected = false;
  change_conditions();
  std::thread balancer([&] {
    std::this_thread::sleep_for(round.balancer_delay);
    conditions_.balancer_open = false;
  });
  check_exit(dispatcher_.terminate_repeatedly(DispatcherProcess::ProcessRole::Newest,
                                              round.sigterms, round.signal_interval));
  balancer.join();
  dispatcher_.set_program(round.earlier_program ? setup_.earlier_program : setup_.program);
  dispatcher_.start_again();
  conditions_.listener_expected = true;
  conditions_.balancer_open = true;
  conditions_.process_ending = false;
  change_conditions();
}

void SoakRun::reload(const SoakRound& round) {
  SighupSeries sighups(dispatcher_.pid(), round.sighups, round.signal_interval);
}

void SoakRun::check_exit(DispatcherProcess::ExitResult ended) {
  if (ended.killed)
    return add_violation("process still running when SIGKILL is due", "");
  if (ended.exit_code != 0)
    add_violation("process exited with an error", "exit code " + std::to_string(ended.exit_code));
}

void SoakRun::add_statistics(const std::string& admin_address) {
  for (int i = 0; i < kMaxStatisticsPolls; ++i) {
    AdminResponse stats = call_admin(admin_address, "GET", "/admin/stats");
    if (stats.metric("dispatcher.open_requests") == 0) {
      fulfilled_ += stats.metric("dispatcher.operations.place-order.fulfilled");
      return;
    }
    std::this_thread::sleep_for(kStatisticsPollInterval);
  }
  statistics_complete_ = false;
}

void SoakRun::check_results() {
  std::this_thread::sleep_for(kLastAttemptsDelay);
  add_statistics(dispatcher_.admin_address());
  for (Violation& violation :
       ledger_.find_violations(services_.received_attempts(), worker_faults_))
    violations_.push_back(std::move(violation));
  if (clients_.refused_connections() > 0) {
    add_violation("connections refused although a process should accept them",
                  std::to_string(clients_.refused_connections()) + " connections were refused");
  }
  check_statistics();
}

// A request whose client disconnected may have been fulfilled before, so these may count as well.
void SoakRun::check_statistics() {
  LedgerTotals totals = ledger_.totals();
  auto served = static_cast<long>(totals.served);
  auto disconnected = static_cast<long>(totals.disconnected);
  if (!statistics_complete_ || (fulfilled_ >= served && fulfilled_ <= served + disconnected))
    return;
  add_violation("statistics do not match the responses",
                std::to_string(fulfilled_) + " fulfilled, " + std::to_string(served) + " served");
}

void SoakRun::add_violation(const std::string& rule, const std::string& detail) {
  violations_.push_back({rule, detail});
}

}  // namespace dispatcher::testbed

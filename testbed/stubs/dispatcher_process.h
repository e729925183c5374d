// The dispatcher itself, started as a process of its own and controlled by signals.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "testbed/stubs/stub_services.h"

namespace dispatcher::testbed {

// Starts the program and ends it with the object. During a hot restart there are two processes,
// the incoming one and the outgoing one; the accessors then mean the incoming one. Start-up
// failures throw std::runtime_error with the program's log. Not thread-safe.
class DispatcherProcess {
 public:
  struct Setup {
    std::string program;
    std::string config;    // path of a file
    std::string features;  // protobuf text; empty: none
    std::string host;
    int sockets = 4096;
    bool operators = false;  // with an admin address and a $TMPDIR of its own
    std::string more{};      // JSON that is merged into the configuration, object by object
    bool trace = false;      // logs each event, as JSON lines
  };
  DispatcherProcess(Setup setup, StubServices& services);
  DispatcherProcess(const DispatcherProcess&) = delete;
  DispatcherProcess& operator=(const DispatcherProcess&) = delete;
  ~DispatcherProcess();

  const std::string& address() const { return address_; }
  const std::string& operators() const { return admin_address_; }
  const std::string& outgoing_admin_address() const { return outgoing_admin_address_; }
  // Holds the configuration and the log; its "tmp" is the program's $TMPDIR.
  const std::string& folder() const { return folder_; }
  int pid() const { return pid_; }
  std::string log() const;

  // Of /proc/PID/status, VmHWM or VmRSS.
  std::uint64_t memory_kb(const char* field) const;
  double cpu_ms() const;
  // Time for which the process was ready to run and had no core.
  double waited_ms() const;

  // Ends with SIGTERM; returns the exit code.
  int end();
  // The same for the outgoing process of a hot restart.
  int terminate_outgoing();
  enum class Which { Newest, Outgoing };
  struct Ended {
    int exit_code = 0;  // 128 + the signal's number for a process that a signal ended
    bool killed = false;
  };
  // Sends SIGTERM in series. SIGKILL follows as early as the protocol allows, 3.7 s after the
  // first.
  Ended terminate_in_series(Which which, int times, std::chrono::milliseconds gap);
  // The same for a process that got its SIGTERM at `terminated_ms` of the steady clock.
  Ended await_end(Which which, double terminated_ms);
  // What the next start runs.
  void use_program(const std::string& program) { setup_.program = program; }
  // Ends with SIGKILL.
  void crash();
  // Starts the program after a crash or an end.
  void start_again() { start(Readiness::ClientAddress); }
  // Starts the incoming process of a hot restart. False when it ended by itself; the running
  // process then stays the only one.
  bool start_hot_restart();
  // Ends the newest process with SIGKILL. The outgoing one takes its place; without one, the
  // program is started again.
  void kill_newest();

 private:
  // Where a started process is asked whether it is ready.
  enum class Readiness { ClientAddress, AdminAddress };

  int& pid_of(Which which) { return which == Which::Newest ? pid_ : outgoing_pid_; }
  void write_configuration(StubServices& services);
  void start(Readiness readiness);
  void spawn();
  void wait_until_ready(Readiness readiness);
  std::vector<std::string> environment() const;
  std::string free_address() const;

  Setup setup_;
  std::string folder_;
  std::string address_;
  std::string admin_address_;
  std::string outgoing_admin_address_;
  int pid_ = -1;           // -1: not running
  int outgoing_pid_ = -1;  // -1: no hot restart
};

}  // namespace dispatcher::testbed

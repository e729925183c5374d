// The dispatcher program as a child process, controlled by signals.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "testbed/stubs/stub_services.h"

namespace dispatcher::testbed {

// Starts the program; the destructor ends it. During a hot restart there are two processes, the
// incoming one and the outgoing one; the accessors then refer to the incoming one. Failures of the
// start throw std::runtime_error with the program's log. Not thread-safe.
class DispatcherProcess {
 public:
  struct Setup {
    std::string program;
    std::string config;    // path of a file
    std::string features;  // protobuf text; empty: none
    std::string host;
    int max_sockets = 4096;
    bool admin_address = false;        // gives it an admin address and a $TMPDIR of its own
    std::string config_overrides{};    // JSON, merged into the configuration object by object
    bool trace = false;                // traces each event, and logs in JSON lines
    std::string discovery_variable{};  // ROUTER_DISCOVERY; empty: not set
  };
  DispatcherProcess(Setup setup, StubServices& services);
  DispatcherProcess(const DispatcherProcess&) = delete;
  DispatcherProcess& operator=(const DispatcherProcess&) = delete;
  ~DispatcherProcess();

  const std::string& address() const { return address_; }
  const std::string& admin_address() const { return admin_address_; }
  const std::string& outgoing_admin_address() const { return outgoing_admin_address_; }
  // Holds the configuration, the log and, as "tmp", the program's $TMPDIR.
  const std::string& folder() const { return folder_; }
  int pid() const { return pid_; }
  std::string log() const;

  // A field of /proc/PID/status: VmHWM or VmRSS.
  std::uint64_t memory_kb(const char* field) const;
  double cpu_ms() const;
  // Time for which the process was runnable and waited for a core.
  double cpu_wait_ms() const;

  // Sends SIGTERM and waits for the end; returns the exit code.
  int terminate();
  // The same for the outgoing process of a hot restart.
  int terminate_outgoing();
  enum class ProcessRole { Newest, Outgoing };
  struct ExitResult {
    int exit_code = 0;  // 128 + the signal's number for a process that a signal ended
    bool killed = false;
  };
  // Sends SIGTERM `times` times and waits for the end. Sends SIGKILL if the process still runs
  // 3.7 s after the first signal, the earliest time that the protocol allows.
  ExitResult terminate_repeatedly(ProcessRole role, int times, std::chrono::milliseconds gap);
  // The same for a process that was sent SIGTERM at `terminated_ms` of the steady clock.
  ExitResult await_exit(ProcessRole role, double terminated_ms);
  // Replaces the discovery address in the configuration file. It takes effect at a start or SIGHUP.
  void set_discovery(const std::string& discovery_address) const;
  // Sets the binary for the next start.
  void set_program(const std::string& program) { setup_.program = program; }
  // Sends SIGKILL and waits for the end.
  void crash();
  // Starts the program again after it crashed or ended.
  void start_again() { start(Readiness::ClientAddress); }
  // Starts the incoming process of a hot restart. Returns false if that did not become ready; the
  // running process then stays the only one.
  bool start_hot_restart();
  // Ends the newest process with SIGKILL. The outgoing process takes its place; if there is none,
  // the program is started again.
  void kill_newest();

 private:
  // The address at which a started process is polled for readiness.
  enum class Readiness { ClientAddress, AdminAddress };

  int& pid_of(ProcessRole role) { return role == ProcessRole::Newest ? pid_ : outgoing_pid_; }
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

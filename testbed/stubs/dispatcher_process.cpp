#include "testbed/stubs/dispatcher_process.h"

#include <fcntl.h>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "testbed/stubs/address.h"
#include "testbed/stubs/blocking_connection.h"
#include "testbed/stubs/evidence.h"
#include "testbed/stubs/http_transfer.h"

namespace dispatcher::testbed {
namespace {

constexpr int kReadinessPolls = 2000;
constexpr std::chrono::milliseconds kReadinessPollInterval{10};
constexpr std::chrono::milliseconds kEndPollInterval{5};
constexpr double kEarliestKillMs = 3700;  // after SIGTERM, with deadlines of 3 s or more

// Merges `changes` into `target`, object by object.
void merge(Json::Value& target, const Json::Value& changes) {
  for (const std::string& name : changes.getMemberNames()) {
    if (changes[name].isObject() && target[name].isObject()) {
      merge(target[name], changes[name]);
    } else {
      target[name] = changes[name];
    }
  }
}

void kill_and_wait(int pid) {
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
}

// For a process ended by a signal: 128 + the number of the signal, as in a shell.
int exit_code_of(int status) {
  static constexpr int kSignalExitBase = 128;
  return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
}

int terminate_and_wait(int& pid) {
  int status = 0;
  kill(pid, SIGTERM);
  waitpid(pid, &status, 0);
  pid = -1;
  return exit_code_of(status);
}

double steady_now_ms() {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

bool answers_ok(const std::string& address, const std::string& path) {
  int descriptor = BlockingConnection::dial(address);
  if (descriptor < 0)
    return false;
  BlockingConnection connection(descriptor);
  HttpHead head;
  return connection.send("GET " + path + " HTTP/1.1\r\n\r\n") && read_head(connection, head) &&
         head.start_line.find(" 200 ") != std::string::npos;
}

// From /proc/PID/schedstat.
struct SchedulerTimes {
  double running_ms = 0;
  double waiting_ms = 0;  // runnable, waiting for a core
};

SchedulerTimes read_scheduler_times(pid_t pid) {
  static constexpr double kNanosecondsPerMs = 1e6;
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double running_ns = 0;
  double waiting_ns = 0;
  file >> running_ns >> waiting_ns;
  return {.running_ms = running_ns / kNanosecondsPerMs,
          .waiting_ms = waiting_ns / kNanosecondsPerMs};
}

}  // namespace

DispatcherProcess::DispatcherProcess(Setup setup, StubServices& services)
    : setup_(std::move(setup)) {
  std::string pattern = "/tmp/dispatcher-testbed-XXXXXX";
  folder_ = mkdtemp(pattern.data());
  std::filesystem::create_directory(folder_ + "/tmp");
  address_ = free_address();
  services.set_callback_address(address_);
  write_configuration(services);
  start(Readiness::ClientAddress);
}

DispatcherProcess::~DispatcherProcess() {
  for (int pid : {pid_, outgoing_pid_}) {
    if (pid > 0)
      kill_and_wait(pid);
  }
  if (keeping_process_folders()) {
    report_kept_folder(folder_, log());
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void DispatcherProcess::write_configuration(StubServices& services) {
  Json::Value config;
  std::ifstream(setup_.config) >> config;
  config["listen"] = address_;
  config["discovery"] = services.discovery_address();
  config["limits"]["sockets"] = setup_.max_sockets;
  if (!setup_.config_overrides.empty()) {
    Json::Value changes;
    std::istringstream(setup_.config_overrides) >> changes;
    merge(config, changes);
  }
  std::ofstream(folder_ + "/config.json") << config;
  std::ofstream(folder_ + "/features.textproto") << setup_.features;
}

void DispatcherProcess::set_discovery(const std::string& discovery_address) const {
  std::string path = folder_ + "/config.json";
  Json::Value config;
  std::ifstream(path) >> config;
  config["discovery"] = discovery_address;
  std::ofstream(path + ".new") << config;
  std::filesystem::rename(path + ".new", path);
}

// Returns a port that was free when probed, on an address that other test processes do not use.
std::string DispatcherProcess::free_address() const {
  int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in bound = parse_address(setup_.host + ":0");
  socklen_t size = sizeof bound;
  if (bind(probe, reinterpret_cast<sockaddr*>(&bound), size) != 0) {
    close(probe);
    throw std::runtime_error("no free port on " + setup_.host);
  }
  getsockname(probe, reinterpret_cast<sockaddr*>(&bound), &size);
  close(probe);
  return setup_.host + ":" + std::to_string(ntohs(bound.sin_port));
}

std::vector<std::string> DispatcherProcess::environment() const {
  std::vector<std::string> variables{"ROUTER_CONFIG=" + folder_ + "/config.json"};
  for (char** entry = environ; *entry != nullptr; ++entry) {
    std::string_view variable(*entry);
    if (!variable.starts_with("ROUTER_") && !variable.starts_with("TMPDIR="))
      variables.emplace_back(variable);
  }
  if (!setup_.discovery_variable.empty())
    variables.push_back("ROUTER_DISCOVERY=" + setup_.discovery_variable);
  if (setup_.admin_address) {
    variables.push_back("ROUTER_OPS=" + admin_address_);
    variables.push_back("TMPDIR=" + folder_ + "/tmp");
  }
  return variables;
}

void DispatcherProcess::start(Readiness readiness) {
  if (setup_.admin_address)
    admin_address_ = free_address();
  spawn();
  wait_until_ready(readiness);
}

void DispatcherProcess::spawn() {
  std::string features = folder_ + "/features.textproto";
  std::vector<const char*> arguments{setup_.program.c_str()};
  if (!setup_.features.empty())
    arguments.insert(arguments.end(), {"--features", features.c_str()});
  if (setup_.trace)
    arguments.insert(arguments.end(), {"--trace", "--log-format", "json"});
  arguments.push_back(nullptr);
  std::vector<std::string> variables = environment();
  std::vector<char*> variable_pointers;
  variable_pointers.reserve(variables.size() + 1);
  for (std::string& variable : variables)
    variable_pointers.push_back(variable.data());
  variable_pointers.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, (folder_ + "/log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  int error = posix_spawn(&pid_, setup_.program.c_str(), &files, nullptr,
                          const_cast<char**>(arguments.data()), variable_pointers.data());
  posix_spawn_file_actions_destroy(&files);
  if (error != 0)
    throw std::runtime_error("cannot start " + setup_.program);
}

void DispatcherProcess::wait_until_ready(Readiness readiness) {
  bool at_client_address = readiness == Readiness::ClientAddress;
  const std::string& address = at_client_address ? address_ : admin_address_;
  const std::string path = at_client_address ? "/ready" : "/admin/health";
  for (int i = 0; i < kReadinessPolls; ++i) {
    if (answers_ok(address, path))
      return;
    if (waitpid(pid_, nullptr, WNOHANG) != 0) {
      pid_ = -1;
      throw std::runtime_error("the dispatcher ended during its start:\n" + log());
    }
    std::this_thread::sleep_for(kReadinessPollInterval);
  }
  throw std::runtime_error("the dispatcher did not become ready:\n" + log());
}

bool DispatcherProcess::start_hot_restart() {
  outgoing_pid_ = std::exchange(pid_, -1);
  outgoing_admin_address_ = admin_address_;
  try {
    start(Readiness::AdminAddress);
    return true;
  } catch (const std::runtime_error&) {
    if (pid_ > 0)
      kill_and_wait(pid_);
    pid_ = std::exchange(outgoing_pid_, -1);
    admin_address_ = outgoing_admin_address_;
    return false;
  }
}

void DispatcherProcess::crash() {
  kill_and_wait(pid_);
  pid_ = -1;
}

void DispatcherProcess::kill_newest() {
  kill_and_wait(pid_);
  pid_ = std::exchange(outgoing_pid_, -1);
  if (pid_ > 0) {
    admin_address_ = outgoing_admin_address_;
  } else {
    start(Readiness::ClientAddress);
  }
}

int DispatcherProcess::terminate() {
  return terminate_and_wait(pid_);
}

int DispatcherProcess::terminate_outgoing() {
  return terminate_and_wait(outgoing_pid_);
}

DispatcherProcess::ExitResult DispatcherProcess::terminate_repeatedly(
    ProcessRole role, int times, std::chrono::milliseconds gap) {
  double terminated_ms = steady_now_ms();
  for (int i = 0; i < times; ++i) {
    kill(pid_of(role), SIGTERM);
    std::this_thread::sleep_for(gap);
  }
  return await_exit(role, terminated_ms);
}

DispatcherProcess::ExitResult DispatcherProcess::await_exit(ProcessRole role,
                                                            double terminated_ms) {
  ExitResult result;
  int& pid = pid_of(role);
  int status = 0;
  while (waitpid(pid, &status, WNOHANG) == 0) {
    if (!result.killed && steady_now_ms() > terminated_ms + kEarliestKillMs) {
      result.killed = true;
      kill(pid, SIGKILL);
    }
    std::this_thread::sleep_for(kEndPollInterval);
  }
  pid = -1;
  result.exit_code = exit_code_of(status);
  return result;
}

std::string DispatcherProcess::log() const {
  std::ifstream file(folder_ + "/log");
  return {std::istreambuf_iterator<char>(file), {}};
}

std::uint64_t DispatcherProcess::memory_kb(const char* field) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(field))
      return std::stoull(line.substr(line.find(':') + 1));
  }
  return 0;
}

double DispatcherProcess::cpu_ms() const {
  return read_scheduler_times(pid_).running_ms;
}

double DispatcherProcess::cpu_wait_ms() const {
  return read_scheduler_times(pid_).waiting_ms;
}

}  // namespace dispatcher::testbed

// The serving process: configuration, sockets, signals and the main loop around one App.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hot_restart/hot_restart.h"
#include "http/admin_server.h"
#include "program/app.h"
#include "transport/gio_network.h"
#include "transport/loop.h"

namespace dispatcher::program {

struct ProcessOptions {
  bool trace = false;  // log a line for each event of a request
  operations::LogFormat log_format = operations::LogFormat::Plain;
};

class DispatcherProcess {
 public:
  // Reads the configuration and contacts the outgoing process, if there is one. SIGHUP must be
  // blocked; it is unblocked here once a reload is possible. Throws ConfigError, or
  // std::runtime_error if an address is not available. `features` must outlive this object.
  DispatcherProcess(const features::Features& features, const ProcessOptions& options);

  // Serves until SIGTERM, then until the graceful shutdown is complete. Throws std::runtime_error
  // if an address is not available.
  void run();

 private:
  std::optional<hot_restart::OutgoingProcessContact> contact_outgoing_process();
  std::optional<hot_restart::OutgoingProcessContact> inherit_state();
  Config read_start_config(ReadMode mode) const;
  std::unique_ptr<transport::GioNetwork> make_admin_network();
  hot_restart::Options hot_restart_options();
  std::function<void(const std::string&)> socket_error_logger();
  std::function<void(const std::string&)> trace_writer();
  void handle_signals();
  void reload(App::ReloadCause cause);
  void reload_keys();
  void serve_admin();
  void serve_clients();
  void start_fleet_socket(hot_restart::InheritedFleetState inherited);
  fleet::FleetSocket::Options fleet_options(hot_restart::InheritedFleetState& inherited) const;

  const features::Features& features_;
  bool trace_enabled_;
  transport::Duration wall_to_steady_;  // at the start; see App::inherit_endpoints()
  Config config_;                       // at the start
  transport::SteadyClock clock_;
  transport::Deadlines deadlines_;
  transport::Loop loop_;
  operations::Log log_;
  std::string local_socket_path_;  // empty: no hot restart
  std::optional<hot_restart::OutgoingProcessContact> outgoing_process_;
  DescriptorLimits descriptor_limits_;
  // Declared before network_ so that GLib serves the admin sockets first in each iteration.
  std::unique_ptr<transport::GioNetwork> admin_network_;
  transport::GioNetwork network_;
  App app_;
  std::function<void()> on_terminate_;
  std::function<void()> on_reload_;
  transport::SourcePtr terminate_signal_;
  transport::SourcePtr interrupt_signal_;
  transport::SourcePtr hangup_signal_;
  std::optional<fleet::FleetSocket> fleet_socket_;
  std::optional<http::AdminServer> admin_server_;
  std::optional<hot_restart::HotRestart> hot_restart_;
};

// Returns the value of an environment variable; empty if it is unset.
std::string environment(const char* variable);

// Ignores SIGPIPE, and blocks SIGHUP until DispatcherProcess can reload, so that a SIGHUP during
// the start is not lost.
void prepare_signals();

}  // namespace dispatcher::program

// The serving program: configuration, sockets, signals and the main loop around one App.
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
  // Reads the configuration and asks for an outgoing process. SIGHUP must be blocked: it is
  // unblocked here once there is something to reload. Throws ConfigError, or std::runtime_error
  // where an address cannot be had. `features` must outlive this object.
  DispatcherProcess(const features::Features& features, const ProcessOptions& options);

  // Serves until a SIGTERM and until all that was accepted is answered. Throws std::runtime_error
  // where an address cannot be had.
  void run();

 private:
  std::optional<hot_restart::OutgoingProcessContact> contact_outgoing_process();
  std::optional<hot_restart::OutgoingProcessContact> inherit_state();
  Config read_start_config() const;
  std::unique_ptr<transport::GioNetwork> make_operators_network();
  hot_restart::Options hot_restart_options();
  std::function<void(const std::string&)> log_socket_fault();
  std::function<void(const std::string&)> write_trace();
  void handle_signals();
  void reload();
  void exchange_keys();
  void serve_operators();
  void serve_clients();
  void start_fleet_socket(hot_restart::InheritedFleetState inherited);
  fleet::FleetSocket::Options fleet_options(hot_restart::InheritedFleetState& inherited) const;

  const features::Features& features_;
  bool traces_;
  transport::Duration wall_to_steady_;  // as at the start; see App::inherit_endpoints()
  Config config_;                       // as at the start
  transport::SteadyClock clock_;
  transport::Deadlines deadlines_;
  transport::Loop loop_;
  operations::Log log_;
  std::string local_socket_path_;  // empty: no hot restart
  std::optional<hot_restart::OutgoingProcessContact> outgoing_process_;
  Shares shares_;
  // Before the clients' network: GLib then serves the operators' sockets first in each turn.
  std::unique_ptr<transport::GioNetwork> operators_network_;
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

// An environment variable; empty if it is unset.
std::string environment(const char* variable);

// Ignores SIGPIPE, and holds SIGHUP back until DispatcherProcess can reload: a SIGHUP that comes
// while the program starts is not lost.
void prepare_signals();

}  // namespace dispatcher::program

#include "program/dispatcher_process.h"

#include <glib-unix.h>

#include <csignal>
#include <cstdlib>

#include "fleet/key_file.h"

namespace dispatcher::program {

namespace {

// In $TMPDIR, which the two processes of a hot restart share.
constexpr const char* kLocalSocketName = "/oatledge.sock";

transport::Duration measure_wall_to_steady() {
  transport::Duration steady = std::chrono::steady_clock::now().time_since_epoch();
  return steady - transport::Duration(std::chrono::system_clock::now().time_since_epoch());
}

// Increases with each start without being stored. If the clock was set back, the first refutation
// corrects the incarnation.
std::uint32_t new_incarnation() {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count());
}

void change_signal_mask(int how, int number) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, number);
  pthread_sigmask(how, &signals, nullptr);
}

// `callback` must outlive the source.
transport::SourcePtr on_signal(int number, std::function<void()>& callback, GMainContext* context) {
  transport::SourcePtr source(g_unix_signal_source_new(number));
  GSourceFunc call = [](gpointer data) -> gboolean {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source.get(), call, &callback, nullptr);
  g_source_attach(source.get(), context);
  return source;
}

// Returns an empty path if TMPDIR is not set or there is no admin address. Without an admin
// address, operators could not check whether a new process has taken over.
std::string local_socket_path(const Config& config) {
  std::string folder = environment("TMPDIR");
  return config.admin_address.empty() || folder.empty() ? std::string() : folder + kLocalSocketName;
}

}  // namespace

std::string environment(const char* variable) {
  const char* value = std::getenv(variable);
  return value ? value : "";
}

void prepare_signals() {
  std::signal(SIGPIPE, SIG_IGN);
  change_signal_mask(SIG_BLOCK, SIGHUP);
}

DispatcherProcess::DispatcherProcess(const features::Features& features,
                                     const ProcessOptions& options)
    : features_(features),
      trace_enabled_(options.trace),
      wall_to_steady_(measure_wall_to_steady()),
      config_(read_start_config(ReadMode::Start)),
      loop_(deadlines_, clock_),
      log_(clock_, options.log_format, config_.name),
      local_socket_path_(local_socket_path(config_)),
      outgoing_process_(inherit_state()),
      descriptor_limits_(divide_descriptors(config_)),
      admin_network_(make_admin_network()),
      network_(loop_.context(), deadlines_, clock_,
               {descriptor_limits_.accepted, descriptor_limits_.connected}, socket_error_logger()),
      app_(config_, features_, network_, deadlines_, clock_, log_) {
  loop_.set_post_io_callback([this] { return network_.serve_bulk(); });
  handle_signals();
  if (trace_enabled_)
    app_.enable_trace();
}

Config DispatcherProcess::read_start_config(ReadMode mode) const {
  return read_config_file(environment("ROUTER_CONFIG"), environment, wall_to_steady_, mode);
}

std::function<void(const std::string&)> DispatcherProcess::socket_error_logger() {
  return [this](const std::string& text) {
    log_.line("sockets", text);
  };
}

std::function<void(const std::string&)> DispatcherProcess::trace_writer() {
  return [this](const std::string& text) {
    log_.trace(text);
  };
}

// Returns null without an admin address.
std::unique_ptr<transport::GioNetwork> DispatcherProcess::make_admin_network() {
  if (config_.admin_address.empty())
    return nullptr;
  return std::make_unique<transport::GioNetwork>(
      loop_.context(), deadlines_, clock_,
      transport::GioNetwork::Limits{descriptor_limits_.admin_connections, 0},
      socket_error_logger());
}

// Takes over the clock offset and the endpoint list of an outgoing process, if there is one, and
// reads the configuration again with that offset.
std::optional<hot_restart::OutgoingProcessContact> DispatcherProcess::inherit_state() {
  auto contact = contact_outgoing_process();
  if (contact && contact->welcome) {
    const hot_restart::Welcome& welcome = *contact->welcome;
    wall_to_steady_ = transport::Duration(welcome.wall_to_steady());
    config_ =
        read_start_config(welcome.reloads() > 0 ? ReadMode::StartAfterReload : ReadMode::Start);
    config_.inherited_reloads = welcome.reloads();
    config_.cached_endpoints = hot_restart::read_endpoints(welcome, config_.identifier_tables);
    config_.cached_endpoints_outdated = welcome.snapshot_needed();
  }
  return contact;
}

std::optional<hot_restart::OutgoingProcessContact> DispatcherProcess::contact_outgoing_process() {
  if (local_socket_path_.empty())
    return std::nullopt;
  try {
    return hot_restart::contact_outgoing_process(local_socket_path_, {config_.name, config_.listen},
                                                 log_);
  } catch (const std::runtime_error& error) {
    log_.line("hot-restart", std::string("not available: ") + error.what());
    local_socket_path_.clear();
    return std::nullopt;
  }
}

void DispatcherProcess::handle_signals() {
  on_terminate_ = [this] {
    app_.terminate();
  };
  on_reload_ = [this] {
    reload(App::ReloadCause::Signal);
  };
  app_.on_reload_needed([this] { reload(App::ReloadCause::OtherProcess); });
  terminate_signal_ = on_signal(SIGTERM, on_terminate_, loop_.context());
  interrupt_signal_ = on_signal(SIGINT, on_terminate_, loop_.context());
  hangup_signal_ = on_signal(SIGHUP, on_reload_, loop_.context());
  change_signal_mask(SIG_UNBLOCK, SIGHUP);
}

// A partially written or invalid file changes nothing.
void DispatcherProcess::reload(App::ReloadCause cause) {
  reload_keys();
  try {
    app_.reload(
        read_config_file(environment("ROUTER_CONFIG"), environment,
                         app_.identifiers().wall_to_steady, ReadMode::Reload, app_.current_file()),
        cause);
  } catch (const std::exception& error) {
    app_.reload_failed(error.what(), cause);
  }
}

// Keys can be rotated while the dispatcher serves: see docs/operations/fleet.md.
void DispatcherProcess::reload_keys() {
  if (!features_.fleet().has_key_file() || !app_.fleet_socket())
    return;
  try {
    app_.fleet_socket()->rotate_keys(fleet::read_key_file(features_.fleet().key_file()));
    log_.line("keys", "key file reloaded");
  } catch (const fleet::KeyFileError& error) {
    log_.line("keys", std::string("the old keys are kept: ") + error.what());
  }
}

void DispatcherProcess::run() {
  // Without hot restart the fleet socket starts before app_.start(), so that the endpoint list is
  // announced from the beginning. Otherwise it starts once this process serves.
  if (local_socket_path_.empty()) {
    start_fleet_socket({});
    if (fleet_socket_)
      fleet_socket_->restate_counts();
  }
  serve_admin();
  app_.start();
  serve_clients();
  while (!app_.finished())
    loop_.turn();
  log_.line("stop", "ended");
}

void DispatcherProcess::serve_admin() {
  if (!admin_network_)
    return;
  admin_server_.emplace(*admin_network_, deadlines_, clock_, log_, app_);
  admin_network_->listen(config_.admin_address, *admin_server_);
}

void DispatcherProcess::serve_clients() {
  if (local_socket_path_.empty()) {
    network_.listen(config_.listen, app_.acceptor(), !config_.admin_address.empty());
    return;
  }
  hot_restart_.emplace(
      hot_restart_options(),
      hot_restart::ProcessContext{loop_.context(), app_, network_, deadlines_, clock_, log_});
  hot_restart_->start(std::move(outgoing_process_));
}

hot_restart::Options DispatcherProcess::hot_restart_options() {
  return {.socket_path = local_socket_path_,
          .identity = {config_.name, config_.listen},
          .connection_limits = {descriptor_limits_.accepted, descriptor_limits_.connected},
          .start_fleet_socket =
              [this](hot_restart::InheritedFleetState inherited) {
                start_fleet_socket(std::move(inherited));
              },
          .trace = trace_enabled_ ? trace_writer() : nullptr};
}

// If this fails, the dispatcher serves without gossip.
void DispatcherProcess::start_fleet_socket(hot_restart::InheritedFleetState inherited) {
  if (config_.peer_listen.empty() || fleet_socket_)
    return;
  try {
    fleet_socket_.emplace(loop_.context(), fleet_options(inherited), deadlines_, clock_, log_,
                          std::move(inherited.socket));
    app_.attach_gossip(*fleet_socket_);
  } catch (const std::runtime_error& error) {
    log_.line("peers", std::string("serving without load gossip: ") + error.what());
  }
}

fleet::FleetSocket::Options DispatcherProcess::fleet_options(
    hot_restart::InheritedFleetState& inherited) const {
  const features::Fleet& fleet = features_.fleet();
  fleet::FleetSocket::Options options;
  options.listen = config_.peer_listen;
  options.peers = config_.peers;
  options.self = config_.settings.index;
  options.membership_enabled = features_.has_fleet();
  options.incarnation = inherited.incarnation ? inherited.incarnation : new_incarnation();
  options.inherited_members = std::move(inherited.members);
  options.period = transport::Duration(fleet.period_ms());
  options.ack_timeout = transport::Duration(fleet.answer_ms());
  options.gone_retention = std::chrono::seconds(fleet.forget_s());
  options.seeds.assign(fleet.seed().begin(), fleet.seed().end());
  options.advertise = fleet.advertise();
  options.wall_clock_offset = -app_.identifiers().wall_to_steady;
  if (fleet.has_key_file())
    options.keys = fleet::read_key_file(fleet.key_file());
  return options;
}

}  // namespace dispatcher::program

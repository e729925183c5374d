#include "program/app.h"

#include <algorithm>
#include <cmath>

namespace dispatcher::program {

using hot_restart::RetryBudgetLimit;
using scheduling::Duration;
using scheduling::EndpointUpdateKind;

namespace {

// A client connection holds a message being read, one being answered and its request, together at
// most 256 KB.
constexpr std::size_t kConnectionsPerMegabyte = 4;

// Longest time that discovery may hold a watch call open; see http/discovery_client.cpp.
constexpr Duration kMaxWatchWait{2500};
constexpr Duration kMinHealthCheckTimeout{100};

// Graceful shutdown. SIGKILL follows SIGTERM after the longest request deadline (capped at
// kMaxCountedDeadline) plus 700 ms. Requests still open kAnswerMargin after that deadline are
// answered at that point.
constexpr Duration kMaxCountedDeadline{3000};
constexpr Duration kAnswerMargin{400};
constexpr Duration kNewConnectionsPeriod{500};    // clients may connect this long after SIGTERM
constexpr double kKeepConnectionsFraction = 0.6;  // of the shutdown; then idle ones close
constexpr Duration kLastBytesPeriod{200};         // for clients to read the last answers
constexpr Duration kDrainInterval{20};

WorkerClient::CallOptions worker_call_options(const Config& config) {
  WorkerClient::CallOptions call_options;
  if (config.settings.connect_timeout)
    call_options.connection_timeout = *config.settings.connect_timeout;
  call_options.call_timeout = std::max(kMinHealthCheckTimeout, 2 * call_options.connection_timeout);
  if (config.connection_idle_timeout.count() > 0)
    call_options.idle_lifetime = config.connection_idle_timeout * 0.5;
  call_options.asks_load_reports = config.settings.reports != scheduling::LoadReportMode::Off;
  return call_options;
}

DiscoveryClient::Options discovery_options(const Config& config) {
  DiscoveryClient::Options options;
  options.address = config.discovery;
  // An unresponsive discovery is noticed only when a wait ends. Discovery handles calls one by one,
  // so the dispatchers of a fleet must not all renew their watches at the same time: each uses a
  // different wait.
  double position = (config.settings.index + 0.5) / std::max(1, config.settings.dispatchers);
  options.wait = kMaxWatchWait * (0.5 + 0.5 * position);
  options.retries = !config.settings.watch_required;
  return options;
}

std::optional<Streaming> streaming_options(const features::Features& features) {
  if (!features.has_streaming())
    return std::nullopt;
  const features::Streaming& feature = features.streaming();
  Streaming options;
  options.max_body_bytes = feature.most_body_bytes();
  options.replay_bytes = feature.replay_bytes();
  options.stall_timeout = Duration(feature.stall_ms());
  options.max_timeout = Duration(feature.longest_transfer_ms());
  options.budget = std::make_shared<streaming::MemoryBudget>(
      std::size_t{feature.memory_ceiling_mb()} << 20, std::size_t{feature.window_kb()} << 10);
  return options;
}

std::vector<scheduling::WorkerEntry> entries_of(const protocol::EndpointUpdate& update) {
  std::vector<scheduling::WorkerEntry> entries;
  for (const protocol::WorkerEndpoint& endpoint : update.entries) {
    entries.push_back(endpoint.entry);
    entries.back().worker = endpoint.uid;
  }
  return entries;
}

// Comma-separated names of the changed settings that need a restart.
std::string changed_restart_only_settings(const std::map<std::string, std::string>& current,
                                          const std::map<std::string, std::string>& next) {
  std::string names;
  for (const auto& [field, text] : next) {
    auto it = current.find(field);
    if (it == current.end() ? text.empty() : it->second == text)
      continue;
    names += (names.empty() ? "" : ", ") + field;
  }
  return names;
}

// How long after SIGTERM requests that are still open are answered.
Duration drain_timeout(const Config& config) {
  return std::min(longest_deadline(config), kMaxCountedDeadline) + kAnswerMargin;
}

}  // namespace

// Clients get the largest share, limited by what workers and discovery need and by the memory that
// is needed if every connection is full at once. The limit of open requests is below that of client
// connections, so that workers can always connect to deliver job events.
DescriptorLimits divide_descriptors(const Config& config) {
  DescriptorLimits limits{
      .accepted = std::min(config.sockets * 3 / 4, config.memory_mb * kConnectionsPerMegabyte),
      .connected = config.sockets * 3 / 16,
      .open_request_limit = 0,
      .admin_connections =
          config.admin_address.empty() ? 0 : std::clamp<std::size_t>(config.sockets / 16, 8, 64)};
  limits.accepted -= std::min(limits.admin_connections, limits.accepted / 4);
  limits.open_request_limit = limits.accepted * 9 / 10;
  if (config.max_open_requests > 0)
    limits.open_request_limit = std::min(limits.open_request_limit, config.max_open_requests);
  return limits;
}

App::App(Config config, const features::Features& features, transport::Network& network,
         transport::Deadlines& deadlines, const transport::Clock& clock, Log& log)
    : config_(std::move(config)),
      deadlines_(deadlines),
      clock_(clock),
      log_(log),
      streaming_(streaming_options(features)),
      client_server_({network, deadlines, clock, config_.identifier_tables, log, metrics_},
                     streaming_),
      workers_({network, deadlines, clock, config_.identifier_tables, log, metrics_},
               worker_call_options(config_), streaming_),
      discovery_({network, deadlines, clock, config_.identifier_tables, log, metrics_},
                 discovery_options(config_)),
      router_(config_.settings, divide_descriptors(config_).open_request_limit, clock, deadlines,
              {client_server_, workers_, discovery_}, metrics_,
              [&log](const std::string& text) { log.line("scheduler", text); }),
      adopted_requests_(client_server_, workers_,
                        {network, deadlines, clock, config_.identifier_tables, log, metrics_}) {
  client_server_.attach(router_);
  workers_.attach(router_);
  discovery_.attach([this](EndpointUpdateKind kind, const protocol::EndpointUpdate& update) {
    on_endpoint_update(kind, update);
  });
}

void App::enable_trace() {
  auto write_line = [this](const std::string& text) {
    log_.trace(text);
  };
  router_.set_trace_sink(write_line);
  adopted_requests_.set_trace_sink(write_line);
  discovery_.trace(write_line);
}

void App::attach_gossip(FleetSocket& fleet_socket) {
  fleet_socket_ = &fleet_socket;
  fleet_socket.attach(router_);
  router_.attach_gossip(fleet_socket);
  announce_workers();
}

// Passes the uids of the listed workers to the fleet socket. Call after the scheduler has received
// the endpoint list.
void App::announce_workers() {
  if (!fleet_socket_)
    return;
  std::vector<std::string> uids;
  for (const auto& [uid, endpoint] : cordon_list_.listed())
    uids.push_back(uid);
  fleet_socket_->set_workers(uids);
}

void App::start() {
  protocol::EndpointUpdate endpoints =
      cordon_list_.apply(config_.cached_endpoints.value_or(protocol::EndpointUpdate{0, true, {}}));
  workers_.update(endpoints);
  if (!endpoints.entries.empty() && !config_.cached_endpoints_outdated)
    discovery_.resume_from(endpoints.revision);
  router_.start(entries_of(endpoints));
  workers_.recall_unsent_attempts();
  announce_workers();
  // If discovery pushes its lists, the cached list is used immediately. Otherwise it may be
  // outdated, and the dispatcher becomes ready only once discovery has answered or failed to.
  if (!endpoints.entries.empty() && config_.settings.watch_required)
    client_server_.set_ready();
  if (!config_.settings.watch_required)
    discovery_.watch();
  log_.line("start", config_.name + " listens on " + config_.listen +
                         "; cached endpoint list has " + std::to_string(endpoints.entries.size()) +
                         " workers; discovery at " + config_.discovery +
                         (config_.inherited_reloads > 0 ? ", as of the last reload" : ""));
}

void App::on_endpoint_update(EndpointUpdateKind kind, const protocol::EndpointUpdate& update) {
  if (kind == EndpointUpdateKind::Failed) {
    if (!cordon_list_.listed().empty())
      client_server_.set_ready();
    return router_.on_endpoint_update(kind, {});
  }
  bool could_serve = can_serve();
  client_server_.set_ready();
  apply_endpoints(kind, update);
  if (!could_serve && on_able_to_serve_)
    on_able_to_serve_();
}

void App::apply_endpoints(EndpointUpdateKind kind, const protocol::EndpointUpdate& update) {
  protocol::EndpointUpdate visible = cordon_list_.apply(update);
  workers_.update(visible);
  router_.on_endpoint_update(kind, entries_of(visible));
  workers_.recall_unsent_attempts();
  announce_workers();
}

// If this process's own list is newer, only its start times are converted to the new clock offset:
// otherwise the scheduler would take every worker for restarted at the next update.
void App::inherit_endpoints(Duration wall_to_steady, const protocol::EndpointUpdate& list,
                            bool snapshot_needed) {
  Duration shift = wall_to_steady - config_.identifier_tables.wall_to_steady;
  config_.identifier_tables.wall_to_steady = wall_to_steady;
  bool is_newer = cordon_list_.listed().empty() || list.revision > cordon_list_.revision();
  if (is_newer && !list.entries.empty()) {
    if (snapshot_needed) {
      discovery_.request_snapshot();
    } else {
      discovery_.resume_from(list.revision);
    }
    apply_endpoints(EndpointUpdateKind::Cached, list);
  } else if (shift.count() != 0 && !cordon_list_.listed().empty()) {
    apply_endpoints(EndpointUpdateKind::Cached, cordon_list_.with_shifted_start_times(shift));
  }
}

void App::apply_endpoint_update(const protocol::EndpointUpdate& update) {
  if (update.entries.empty())
    return;
  workers_.update(update);
  router_.on_endpoint_update(EndpointUpdateKind::Local, entries_of(update));
  workers_.recall_unsent_attempts();
}

// ---- Reload ----

void App::follow_reloads(std::uint32_t reloads) {
  if (reloads <= config_.inherited_reloads)
    return;
  config_.inherited_reloads = reloads;
  log_.line("hot-restart", "the other process has reloaded its configuration: reading it again");
  if (on_reload_needed_)
    on_reload_needed_();
}

void App::reload(Config next, ReloadCause cause) {
  bool discovery_moved = next.discovery != config_.discovery;
  bool settings_changed = next.file["settings"] != config_.file["settings"];
  preserve_indexes(config_, next);
  log_reload(next, settings_changed);
  config_.settings = std::move(next.settings);
  if (settings_changed)
    limit_retry_budget(retry_budget_limit_);
  config_.identifier_tables = std::move(next.identifier_tables);
  config_.connection_idle_timeout = next.connection_idle_timeout;
  config_.max_open_requests = next.max_open_requests;
  config_.file = std::move(next.file);
  if (settings_changed) {
    workers_.set_call_options(worker_call_options(config_));
    router_.set_max_requests(divide_descriptors(config_).open_request_limit);
  }
  // SIGKILL comes when the settings at SIGTERM say so: later ones can only shorten the time.
  if (terminated_at_)
    drain_timeout_ = std::min(drain_timeout_, drain_timeout(config_));
  metrics_.cfg_accepted += cause == ReloadCause::Signal ? 1 : 0;
  ++accepted_reloads_;
  config_.discovery = next.discovery;
  if (discovery_moved)
    discovery_.change_address(next.discovery);
  if (on_reload_accepted_)
    on_reload_accepted_();
}

void App::log_reload(const Config& next, bool settings_changed) const {
  bool discovery_moved = next.discovery != config_.discovery;
  std::string text = "configuration read; ";
  text += settings_changed ? "new settings; " : "";
  text += "discovery ";
  text += discovery_moved ? "moves to " + next.discovery : "stays at " + config_.discovery;
  std::string kept =
      changed_restart_only_settings(config_.restart_only_settings, next.restart_only_settings);
  text += kept.empty() ? "" : "; changed, but needs a restart: " + kept;
  log_.line("reload", text);
}

void App::limit_retry_budget(RetryBudgetLimit limit) {
  retry_budget_limit_ = limit;
  scheduling::Settings settings = config_.settings;
  if (settings.retry_budget_window && limit != RetryBudgetLimit::Unlimited)
    settings.retry_budget_free = 0;
  if (settings.retry_budget_window && limit == RetryBudgetLimit::NoRetries)
    settings.retry_budget_ratio = 0;
  router_.apply_settings(settings);
}

void App::reload_failed(const std::string& reason, ReloadCause cause) {
  metrics_.cfg_invalid += cause == ReloadCause::Signal ? 1 : 0;
  log_.line("reload", "the old configuration is kept: " + reason);
}

// ---- Graceful shutdown ----

void App::terminate() {
  if (terminated_at_)
    return;
  terminated_at_ = clock_.now();
  drain_timeout_ = drain_timeout(config_);
  log_.line("stop", "draining for at most " + std::to_string(std::lround(drain_timeout_.count())) +
                        " ms; " + std::to_string(open_requests()) + " requests are open");
  client_server_.start_draining();
  if (fleet_socket_)
    fleet_socket_->leave();
  drain();
}

// Runs periodically after terminate(). At first the dispatcher keeps serving, and it exits once all
// clients have disconnected: in a rolling restart the only other dispatcher may still be starting,
// and closing connections would leave clients without a dispatcher. Later, idle connections are
// closed so that clients connect to another dispatcher. Open requests finish, or are answered
// shortly before SIGKILL.
void App::drain() {
  Duration elapsed = clock_.now() - *terminated_at_;
  if (elapsed >= drain_timeout_)
    end_open_requests();
  // While connections are being released to the process that has taken over, none is closed here.
  if (!client_server_.hands_over_connections() &&
      elapsed >= std::max(kNewConnectionsPeriod, kKeepConnectionsFraction * drain_timeout_))
    client_server_.close_connections();
  if (has_open_work(elapsed)) {
    idle_since_.reset();
  } else if (!idle_since_) {
    idle_since_ = clock_.now();
  }
  finished_ = elapsed >= drain_timeout_ + kLastBytesPeriod ||
              (idle_since_ && clock_.now() - *idle_since_ >= kLastBytesPeriod);
  if (!finished_)
    deadlines_.add(clock_.now() + kDrainInterval, [this] { drain(); });
}

// The drain timeout is over: hands requests to the process that has taken over, or fails them.
void App::end_open_requests() {
  if (on_drain_timeout_)
    on_drain_timeout_();
  adopted_requests_.fail_all();
  if (router_.open_requests() > 0) {
    log_.line("stop", std::to_string(router_.open_requests()) +
                          " open requests fail: the drain timeout is over");
    router_.fail_all();
  }
  client_server_.reject_requests();
  client_server_.abort_replies();
}

bool App::has_open_work(Duration since_term) const {
  bool clients_may_connect =
      !client_server_.hands_over_connections() && since_term < kNewConnectionsPeriod;
  return router_.open_requests() > 0 || !client_server_.empty() || clients_may_connect;
}

}  // namespace dispatcher::program

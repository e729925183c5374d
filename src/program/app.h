// Connects the layers of the dispatcher. The network and the clock are passed in, so that tests can
// replace them.
//
// The calls of operators are in app_admin.cpp, the rest of the class is in app.cpp.
#pragma once

#include "features/features.h"
#include "fleet/fleet_socket.h"
#include "hot_restart/serving_program.h"
#include "http/discovery_client.h"
#include "http/worker_client.h"
#include "operations/admin_handler.h"
#include "operations/cordon_list.h"
#include "program/config.h"

namespace dispatcher::program {

using fleet::FleetSocket;
using http::ClientServer;
using http::DiscoveryClient;
using http::Platform;
using http::Streaming;
using http::WorkerClient;
using operations::Log;

// How the file descriptors of the process are divided.
struct DescriptorLimits {
  std::size_t accepted;            // client connections
  std::size_t connected;           // connections to workers and discovery
  std::size_t open_request_limit;  // maximum of open requests; less than `accepted`
  std::size_t admin_connections;   // connections to the admin address; 0 if there is none
};
DescriptorLimits divide_descriptors(const Config& config);

class App final : public operations::AdminOperations, public hot_restart::ServingProgram {
 public:
  // Features that are absent are off. The references must outlive the App.
  App(Config config, const features::Features& features, transport::Network& network,
      transport::Deadlines& deadlines, const transport::Clock& clock, Log& log);

  transport::Acceptor& acceptor() { return client_server_; }
  // Logs a line for each event of a request. Call before start().
  void enable_trace();
  // Starts gossip with the other dispatchers. `fleet_socket` must outlive the App.
  void attach_gossip(FleetSocket& fleet_socket);
  void start();

  // Why the configuration is read again. Only reloads by a signal are counted in the metrics.
  enum class ReloadCause { Signal, OtherProcess };
  // The new settings apply to future requests; open requests, the scheduler's learned state and the
  // endpoint list are kept. Changed settings that need a restart are logged.
  void reload(Config next, ReloadCause cause = ReloadCause::Signal);
  // The configuration file in use, which a reload is checked against.
  const Json::Value& current_file() const { return config_.file; }
  // A reload with an unusable file: keeps the configuration.
  void reload_failed(const std::string& reason, ReloadCause cause = ReloadCause::Signal);
  // `callback` reads the configuration and calls reload() or reload_failed(), with the cause
  // OtherProcess.
  void on_reload_needed(std::function<void()> callback) { on_reload_needed_ = std::move(callback); }

  // SIGTERM: starts the graceful shutdown.
  void terminate();
  // True once the graceful shutdown that terminate() started is complete.
  bool finished() const { return finished_; }

  // operations::AdminOperations
  bool healthy() const override;
  std::string stats() override;
  bool cordon(const std::string& worker) override;
  bool uncordon(const std::string& worker) override;
  std::string fleet() const override;

  // hot_restart::ServingProgram
  ClientServer& client_server() override { return client_server_; }
  routing::Router& router() override { return router_; }
  operations::CordonList& cordon_list() override { return cordon_list_; }
  hot_restart::AdoptedRequests& adopted_requests() override { return adopted_requests_; }
  FleetSocket* fleet_socket() override { return fleet_socket_; }
  const protocol::IdentifierTables& identifiers() const override {
    return config_.identifier_tables;
  }
  const scheduling::Settings& settings() const override { return config_.settings; }
  void inherit_endpoints(scheduling::Duration wall_to_steady, const protocol::EndpointUpdate& list,
                         bool snapshot_needed) override;
  bool needs_snapshot() const override { return discovery_.needs_snapshot(); }
  std::uint32_t reloads() const override { return config_.inherited_reloads + accepted_reloads_; }
  void follow_reloads(std::uint32_t reloads) override;
  void on_reload_accepted(std::function<void()> callback) override {
    on_reload_accepted_ = std::move(callback);
  }
  bool can_serve() const override {
    return client_server_.ready() || !cordon_list_.listed().empty();
  }
  void on_able_to_serve(std::function<void()> callback) override {
    on_able_to_serve_ = std::move(callback);
  }
  void set_serving(bool serving) override { serving_ = serving; }
  void apply_endpoint_update(const protocol::EndpointUpdate& update) override;
  void apply_acknowledged_cordon(const operations::CordonChange& change) override;
  void limit_retry_budget(hot_restart::RetryBudgetLimit limit) override;
  void on_cordon_call(OnCordonCall callback) override { on_cordon_call_ = std::move(callback); }
  void on_drain_timeout(OnDrainTimeout callback) override {
    on_drain_timeout_ = std::move(callback);
  }

 private:
  bool set_cordoned(const std::string& worker, bool cordoned);
  void announce_workers();
  void apply_endpoints(scheduling::EndpointUpdateKind kind, const protocol::EndpointUpdate& update);
  void on_endpoint_update(scheduling::EndpointUpdateKind kind,
                          const protocol::EndpointUpdate& update);
  void log_reload(const Config& next, bool settings_changed) const;
  void drain();
  void end_open_requests();
  // Requests that are not answered yet, adopted ones included.
  std::size_t open_requests() const { return router_.open_requests() + adopted_requests_.size(); }
  bool has_open_work(transport::Duration since_term) const;

  Config config_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  Log& log_;
  operations::Metrics metrics_;
  operations::CordonList cordon_list_;
  std::optional<Streaming> streaming_;
  ClientServer client_server_;
  WorkerClient workers_;
  DiscoveryClient discovery_;
  routing::Router router_;
  hot_restart::AdoptedRequests adopted_requests_;
  FleetSocket* fleet_socket_ = nullptr;
  std::optional<transport::Time> terminated_at_;
  scheduling::Duration drain_timeout_{0};      // after terminated_at_
  std::optional<transport::Time> idle_since_;  // since when there has been no open work
  bool finished_ = false;
  bool serving_ = true;
  std::uint32_t accepted_reloads_ = 0;  // whatever their cause
  std::function<void()> on_able_to_serve_;
  std::function<void()> on_reload_needed_;
  std::function<void()> on_reload_accepted_;
  OnCordonCall on_cordon_call_;
  OnDrainTimeout on_drain_timeout_;
  hot_restart::RetryBudgetLimit retry_budget_limit_ = hot_restart::RetryBudgetLimit::Unlimited;
};

}  // namespace dispatcher::program

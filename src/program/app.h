// The wiring: one program out of the layers, over whatever network and clock it is given.
#pragma once

#include "features/features.h"
#include "fleet/fleet_socket.h"
#include "http/discovery_client.h"
#include "http/worker_client.h"
#include "operations/admin_handler.h"
#include "operations/cordon_list.h"
#include "program/adopted_requests.h"
#include "program/config.h"

namespace dispatcher::program {

using fleet::FleetSocket;
using http::ClientServer;
using http::DiscoveryClient;
using http::Platform;
using http::Streaming;
using http::WorkerClient;
using operations::Log;

struct Shares {  // of the descriptors
  std::size_t accepted;
  std::size_t connected;
  std::size_t commands;
  std::size_t operators;  // of their callers; set aside where there is an address for them
};
Shares share_descriptors(const Config& config);

class App final : public operations::AdminOperations {
 public:
  // Features that are absent are off.
  App(Config config, const features::Features& features, transport::Network& network,
      transport::Deadlines& deadlines, const transport::Clock& clock, Log& log);

  transport::Acceptor& acceptor() { return front_; }
  void trace();  // from here on, a line in the log for each thing that happens to a command; before
                 // start()
  void talk_to(FleetSocket& peers);  // before start()
  void start();
  void reload(Config next);  // SIGHUP; read against in_force()
  const Json::Value& in_force() const { return config_.file; }
  void reload_failed(const std::string& why);  // the same, where the file makes no sense
  void terminate();                            // SIGTERM
  // What the other process of this dispatcher, during an upgrade, has to do with.
  ClientServer& front() { return front_; }
  routing::Router& router() { return router_; }
  operations::CordonList& roster() { return roster_; }
  const protocol::IdentifierTables& words() const { return config_.words; }
  void serve(bool on) {
    serves_ = on;
  }  // false: another process still does, and this one's health is a no
  void hear(const protocol::EndpointUpdate& heard);   // of the roster
  bool by_hand(const std::string& worker, bool out);  // false: unknown
  // The retry budget over an upgrade, in each window of its own length: what the old process has
  // used of it is not known to the new one, which may use its free part only after a window; the
  // old one uses none any more.
  enum class Budget { Whole, NoFree, None };
  void limit_budget(Budget to);
  AdoptedRequests& wards() { return wards_; }
  using GiveAway =
      std::function<void(routing::RequestRef)>;  // of what is open when the time to end is over
  void on_last_call(GiveAway give) { give_away_ = std::move(give); }
  FleetSocket* peers() { return peers_; }
  using TellByHand = std::function<void(const std::string& worker, bool out)>;
  void on_by_hand(TellByHand tell) {
    tell_by_hand_ = std::move(tell);
  }  // calls that were taken here

  bool healthy() const override;
  std::string stats() override;
  bool cordon(const std::string& worker) override;
  bool uncordon(const std::string& worker) override;
  std::string fleet() const override { return peers_ ? peers_->view_json() : std::string(); }
  bool finished() const { return finished_; }  // after terminate(): all that was taken is answered

 private:
  void tell_peers();
  void on_endpoint_update(scheduling::EndpointUpdateKind kind,
                          const protocol::EndpointUpdate& list);
  void drain();

  Config config_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  Log& log_;
  operations::Metrics metrics_;
  operations::CordonList roster_;
  std::optional<Streaming> streaming_;
  ClientServer front_;
  WorkerClient workers_;
  DiscoveryClient names_;
  routing::Router router_;
  AdoptedRequests wards_;
  FleetSocket* peers_ = nullptr;
  std::optional<transport::Time> terminated_;
  std::optional<transport::Time> quiet_since_;  // the latter: nothing is open any more
  bool finished_ = false;
  bool serves_ = true;
  TellByHand tell_by_hand_;
  GiveAway give_away_;
  Budget budget_ = Budget::Whole;
};

}  // namespace dispatcher::program

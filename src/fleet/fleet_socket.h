// UDP socket to the other dispatchers of the fleet: sends and receives load gossip and, where it is
// configured, the membership protocol, both optionally authenticated. Runs in the thread of the
// main context.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/load_gossip.h"
#include "fleet/membership_view.h"
#include "fleet/message_authenticator.h"
#include "fleet/view_json.h"
#include "operations/admin_handler.h"
#include "operations/log.h"
#include "routing/router.h"
#include "transport/datagrams.h"

namespace dispatcher::fleet {

class FleetSocket final : public routing::GossipPort {
 public:
  struct Options {
    std::string listen;
    std::vector<std::string> peers;  // address and port by dispatcher index
    int self = 0;                    // index of this dispatcher
    // Runs the membership protocol. The options below except `keys` and `to_wall` need it.
    bool view = false;
    std::uint32_t incarnation = 1;
    std::vector<MembershipView::Entry> known;  // from the process that this one replaces
    Duration period{1000};
    Duration answer_in{300};
    Duration forget{3'600'000};
    std::vector<std::string> seeds;  // configured members; empty: all peers
    std::string advertise;  // this dispatcher's address as others see it; empty: that of the peers
    std::vector<Key> keys;  // empty: datagrams are not authenticated
    Duration to_wall{0};    // from the clock's time to ms since 1970
  };
  // Throws std::runtime_error where an address is invalid or cannot be bound. `bound`: the socket
  // handed over by the process that this one replaces.
  FleetSocket(GMainContext* context, Options options, transport::Deadlines& deadlines,
              const transport::Clock& clock, operations::Log& log,
              transport::Descriptor bound = {});
  ~FleetSocket() override;

  void attach(routing::Router& router) { router_ = &router; }
  // Replaces the endpoint list; call after the scheduler has received it.
  void list(const std::vector<std::string>& workers);
  void announce(const std::string& worker, int jobs) override;
  // Another process of this dispatcher has gone: what it announced at other dispatchers is replaced
  // by this process's counts.
  void restate_counts();
  // Off while another process of this dispatcher uses the socket: then nothing is sent or received.
  void speak(bool on);
  // Replaces the keys. No effect where there were none at the start.
  void exchange(std::vector<Key> keys);
  // Announces to the fleet that this dispatcher leaves.
  void leave();
  const MembershipView* view() const { return view_ ? &*view_ : nullptr; }
  // Body of GET /admin/fleet; empty without the membership protocol.
  std::string view_json() const;
  // Nothing without the membership protocol.
  std::optional<operations::Gauges::Fleet> metrics() const;
  transport::Descriptor descriptor() const { return socket_.descriptor(); }

 private:
  Endpoint own_endpoint() const;
  void resolve_peers();
  void start_membership();
  MembershipView::Options membership_options();
  void on_member_changed(const Endpoint& member, State state, std::uint32_t incarnation,
                         bool state_changed);
  void on_jobs_changed(const std::string& worker, int jobs);
  LoadGossip::Changed jobs_observer();

  transport::Datagrams::Received receiver();
  void receive(const std::string& from, std::string_view bytes);
  void drop(const std::string& reason, const std::string& from, std::size_t size);
  bool take_load_gossip(const Endpoint& from, std::string_view bytes);

  void send(const Endpoint& to, const std::string& bytes);
  void send_load_gossip();
  void tick();
  void sweep();
  void notify_undamped();
  MessageAuthenticator::WallMs wall_time() const;

  Options options_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  operations::Log& log_;
  routing::Router* router_ = nullptr;
  LoadGossip gossip_;
  std::optional<MembershipView> view_;
  std::vector<Endpoint> peers_;  // by index; without membership and keys a host name is all zeros
  std::map<Endpoint, std::size_t> peer_indexes_;  // of the others
  std::optional<MessageAuthenticator> authenticator_;
  DropCounts dropped_;
  std::uint64_t state_changes_ = 0;  // of members
  bool speaks_ = true;
  transport::Datagrams socket_;
  transport::Deadlines::Handle sweep_timer_;
  transport::Deadlines::Handle tick_timer_;
  transport::Deadlines::Handle gossip_timer_;  // for delayed counts
};

}  // namespace dispatcher::fleet

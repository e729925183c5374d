// UDP socket to the other dispatchers of the fleet: sends and receives load gossip and, if
// configured, the membership protocol, both optionally authenticated. Runs in the main context's
// thread.
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
    // Whether to run the membership protocol. Of the options below, only `keys` and
    // `wall_clock_offset` apply without it.
    bool membership_enabled = false;
    std::uint32_t incarnation = 1;
    std::vector<MembershipView::Update> inherited_members;  // from the outgoing process
    Duration period{1000};
    Duration ack_timeout{300};
    Duration gone_retention{3'600'000};
    std::vector<std::string> seeds;  // configured members; empty: all peers
    std::string advertise;  // this dispatcher's address as others see it; empty: that of the peers
    std::vector<Key> keys;  // empty: datagrams are not authenticated
    Duration wall_clock_offset{0};  // wall clock (ms since 1970) minus the time of `clock`
  };
  // Throws std::runtime_error if an address is invalid or cannot be bound. `bound`: the socket
  // inherited from the outgoing process.
  FleetSocket(GMainContext* context, Options options, transport::Deadlines& deadlines,
              const transport::Clock& clock, operations::Log& log,
              transport::Descriptor bound = {});
  ~FleetSocket() override;

  void attach(routing::Router& router) { router_ = &router; }
  // Replaces the endpoint list; call after the scheduler has received it.
  void set_workers(const std::vector<std::string>& workers);
  void announce(const std::string& worker, int jobs) override;
  // Call after another process of this dispatcher has ended: replaces the counts that it announced
  // to other dispatchers by those of this process.
  void restate_counts();
  // Inactive while another process of this dispatcher uses the socket: nothing is sent or received.
  void set_active(bool active);
  // Replaces the keys. No effect if the socket was created without keys.
  void rotate_keys(std::vector<Key> keys);
  // Announces to the fleet that this dispatcher leaves.
  void leave();
  const MembershipView* view() const { return view_ ? &*view_ : nullptr; }
  // Body of GET /admin/fleet; empty without the membership protocol.
  std::string view_json() const;
  // nullopt without the membership protocol.
  std::optional<operations::Gauges::Fleet> metrics() const;
  transport::Descriptor descriptor() const { return socket_.descriptor(); }

 private:
  Endpoint own_endpoint() const;
  void resolve_peers();
  void start_membership();
  MembershipView::Options membership_options();
  void on_member_changed(const Endpoint& member, MemberState state, std::uint32_t incarnation,
                         bool state_changed);
  void on_jobs_changed(const std::string& worker, int jobs);
  LoadGossip::JobsCallback jobs_observer();

  transport::UdpSocket::ReceiveCallback receiver();
  void receive(const std::string& from, std::string_view bytes);
  void drop(const std::string& reason, const std::string& from, std::size_t size);
  bool handle_load_gossip(const Endpoint& from, std::string_view bytes);

  void send(const Endpoint& to, const std::string& bytes);
  void send_load_gossip();
  void tick();
  void sweep();
  void resume_gossip_to_undamped();
  MessageAuthenticator::WallMs wall_time() const;

  Options options_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  operations::Log& log_;
  routing::Router* router_ = nullptr;
  LoadGossip gossip_;
  std::optional<MembershipView> view_;
  std::vector<Endpoint> peers_;  // by index; zeros for a host name (neither membership nor keys)
  std::map<Endpoint, std::size_t> peer_indexes_;  // of the other dispatchers
  std::optional<MessageAuthenticator> authenticator_;
  DropCounts dropped_;
  std::uint64_t state_changes_ = 0;  // of all members
  bool active_ = true;
  transport::UdpSocket socket_;
  transport::Deadlines::Handle sweep_timer_;
  transport::Deadlines::Handle tick_timer_;
  transport::Deadlines::Handle gossip_timer_;  // for decreased counts, which are sent with a delay
};

}  // namespace dispatcher::fleet

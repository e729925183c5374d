// The other dispatchers over UDP: when the number of our attempts at a worker changes, those
// near to it are told.
#pragma once

#include <unordered_map>

#include "fleet/load_gossip.h"
#include "fleet/membership_view.h"
#include "fleet/message_authenticator.h"
#include "operations/admin_handler.h"
#include "operations/log.h"
#include "routing/router.h"
#include "transport/datagrams.h"

namespace dispatcher::fleet {

class FleetSocket final : public routing::GossipPort {
 public:
  struct Options {
    std::string listen;
    std::vector<std::string> peers;  // by the dispatchers' numbers, to send to and to hear from
    int self = 0;                    // our own number
    bool view = false;               // of the fleet, kept and told; the rest of it counts only then
    std::uint32_t incarnation = 1;
    std::vector<MembershipView::Entry> known;  // from the process that had the socket
    Duration period{1000};
    Duration answer_in{300};
    Duration forget{3'600'000};
    std::vector<std::string> seeds;  // asked for the others instead of all peers; empty: all peers
    std::string advertise;  // our own address as the others see it; empty: that of the peers
    std::vector<Key> keys;  // empty: nothing is sealed
    Duration to_wall{0};    // from the clock's time to ms since 1970
  };
  // Throws std::runtime_error where the address cannot be had. `bound`: the socket, where another
  // process of this dispatcher had it.
  FleetSocket(GMainContext* context, Options options, transport::Deadlines& deadlines,
              const transport::Clock& clock, operations::Log& log,
              transport::Descriptor bound = {});
  ~FleetSocket() override {
    deadlines_.drop(sweep_), deadlines_.drop(tick_), deadlines_.drop(late_);
  }

  void attach(routing::Router& router) { router_ = &router; }
  void list(const std::vector<std::string>&
                workers);  // on the own list; after the scheduler has heard of them
  void announce(const std::string& worker, int jobs) override;
  // While another process of this dispatcher speaks for it, this one says and hears nothing.
  void speak(bool on);
  void exchange(std::vector<Key> keys);  // from now on, where there were some
  void leave();                          // says goodbye to the fleet's view
  const MembershipView* view() const { return view_ ? &*view_ : nullptr; }
  // {"self", "incarnation", "digest", "members": [{"member", "state", "incarnation", "for_ms",
  // "round_trip_ms", "damped"}], "sent", "dropped" (by reason), "doubt_in_self", "sealed"}; empty
  // where no view is kept.
  std::string view_json() const;
  std::optional<operations::Gauges::Fleet> metrics() const;  // nothing where no view is kept
  transport::Descriptor descriptor() const { return socket_.descriptor(); }

 private:
  transport::Datagrams::Received hears();
  void received(const std::string& from, std::string_view bytes);
  void sweep();
  void tick();
  void tell();
  void heard(const std::string& worker, int jobs);
  Endpoint own() const;
  void begin_view();
  void changed(const Endpoint& member, State state, std::uint32_t incarnation, bool other);
  void send(const Endpoint& to, const std::string& bytes);
  bool take_loads(const Endpoint& from, std::string_view bytes);
  MessageAuthenticator::Wall wall() const;

  Options options_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  operations::Log& log_;
  routing::Router* router_ = nullptr;
  LoadGossip loads_;
  std::optional<MembershipView> view_;
  std::vector<Endpoint> peers_;              // by number; a name that is no address: zeros
  std::map<Endpoint, std::size_t> senders_;  // the others' numbers
  std::optional<MessageAuthenticator> seal_;
  std::map<std::string, std::uint64_t> dropped_;  // by reason
  std::uint64_t changes_ = 0;                     // of a state, as told by the view
  bool speaks_ = true;
  transport::Datagrams socket_;
  transport::Deadlines::Handle sweep_;
  transport::Deadlines::Handle tick_;
  transport::Deadlines::Handle late_;  // late: for counts that fell
};

}  // namespace dispatcher::fleet

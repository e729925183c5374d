#include "fleet/fleet_socket.h"

#include <stdexcept>

namespace dispatcher::fleet {
namespace {

constexpr transport::Duration kSweepInterval{1000};
constexpr int kTicksPerPeriod = 20;

// The upper four bits of the first byte distinguish membership datagrams from load gossip.
bool is_membership_datagram(std::string_view bytes) {
  return !bytes.empty() && (bytes[0] & 0xf0) == 0x20;
}

}  // namespace

FleetSocket::FleetSocket(GMainContext* context, Options options, transport::Deadlines& deadlines,
                         const transport::Clock& clock, operations::Log& log,
                         transport::Descriptor bound)
    : options_(std::move(options)),
      deadlines_(deadlines),
      clock_(clock),
      log_(log),
      gossip_(options_.self, static_cast<int>(options_.peers.size())),
      socket_(bound ? transport::UdpSocket(context, std::move(bound), receiver())
                    : transport::UdpSocket(context, options_.listen, receiver())) {
  resolve_peers();
  if (!options_.keys.empty())
    authenticator_.emplace(options_.keys, own_endpoint(), wall_time());
  sweep();
  if (options_.membership_enabled)
    start_membership();
}

FleetSocket::~FleetSocket() {
  deadlines_.disarm(sweep_timer_);
  deadlines_.disarm(tick_timer_);
  deadlines_.disarm(gossip_timer_);
}

void FleetSocket::resolve_peers() {
  for (std::size_t i = 0; i < options_.peers.size(); ++i) {
    auto endpoint = parse_endpoint(options_.peers[i]);
    if (!endpoint && (options_.membership_enabled || !options_.keys.empty()))
      throw std::runtime_error("peer is not an IPv4 address and port: " + options_.peers[i]);
    peers_.push_back(endpoint.value_or(Endpoint{}));
    if (endpoint && static_cast<int>(i) != options_.self)
      peer_indexes_[*endpoint] = i;
  }
}

Endpoint FleetSocket::own_endpoint() const {
  if (auto advertised = parse_endpoint(options_.advertise))
    return *advertised;
  if (options_.self < 0 || options_.self >= static_cast<int>(peers_.size()))
    throw std::runtime_error("this dispatcher's address is not in the list of peers");
  return peers_[static_cast<std::size_t>(options_.self)];
}

MembershipView::Options FleetSocket::membership_options() {
  Endpoint self = own_endpoint();
  std::vector<Endpoint> others;
  for (const std::string& seed : options_.seeds)
    others.push_back(parse_endpoint(seed).value());
  if (options_.seeds.empty())
    others = peers_;
  std::uint64_t endpoint_bits = std::uint64_t{self.address} << 16 | self.port;
  return {.self = self,
          .configured_members = std::move(others),
          .incarnation = options_.incarnation,
          .inherited_members = options_.inherited_members,
          .seed = options_.incarnation ^ endpoint_bits,
          .period = options_.period,
          .ack_timeout = options_.ack_timeout,
          .gone_retention = options_.gone_retention,
          .max_datagram_bytes =
              kMaxDatagramBytes - (authenticator_ ? MessageAuthenticator::kOverhead : 0),
          .payload_for =
              [this](const Endpoint& to, std::size_t max_bytes) {
                auto peer = peer_indexes_.find(to);
                if (peer == peer_indexes_.end())
                  return std::string();
                return gossip_.take_payload(clock_.now(), static_cast<int>(peer->second),
                                            max_bytes);
              },
          .on_payload =
              [this](const Endpoint& from, std::string_view bytes) {
                if (!handle_load_gossip(from, bytes))
                  ++dropped_["no loads"];  // wire: reason in /admin/fleet
              }};
}

void FleetSocket::start_membership() {
  view_.emplace(
      membership_options(), clock_.now(),
      [this](const Endpoint& to, const std::string& bytes) { send(to, bytes); },
      [this](const Endpoint& member, MemberState state, std::uint32_t incarnation,
             bool state_changed) { on_member_changed(member, state, incarnation, state_changed); });
  tick();
}

void FleetSocket::on_member_changed(const Endpoint& member, MemberState state,
                                    std::uint32_t incarnation, bool state_changed) {
  if (state_changed) {
    ++state_changes_;
    log_.line("fleet", to_text(member) + " is " + to_text(state) + ", incarnation " +
                           std::to_string(incarnation));
  }
  auto peer = peer_indexes_.find(member);
  if (peer == peer_indexes_.end() || state == MemberState::Suspect)
    return;
  // A member with a new incarnation may have restarted, so it is sent all counts again. `view_` is
  // still empty while its constructor applies the table inherited from the outgoing process.
  bool damped = view_ && view_->damped(clock_.now(), member);
  gossip_.set_reachable(static_cast<int>(peer->second), state == MemberState::Alive && !damped);
}

void FleetSocket::send(const Endpoint& to, const std::string& bytes) {
  socket_.send(to_text(to), authenticator_ ? authenticator_->sign(wall_time(), to, bytes) : bytes);
}

MessageAuthenticator::WallMs FleetSocket::wall_time() const {
  auto ms = (clock_.now().time_since_epoch() + options_.wall_clock_offset).count();
  return ms > 0 ? static_cast<MessageAuthenticator::WallMs>(ms) : 0;
}

void FleetSocket::rotate_keys(std::vector<Key> keys) {
  if (authenticator_)
    authenticator_->replace_keys(std::move(keys));
}

void FleetSocket::tick() {
  if (active_)
    view_->tick(clock_.now());
  tick_timer_ =
      deadlines_.add(clock_.now() + options_.period / kTicksPerPeriod, [this] { tick(); });
}

void FleetSocket::leave() {
  // Not while another process of this dispatcher continues to serve.
  if (view_ && active_)
    view_->leave(clock_.now());
}

std::string FleetSocket::view_json() const {
  if (!view_)
    return {};
  return write_view_json(*view_, dropped_, authenticator_.has_value(), clock_.now());
}

std::optional<operations::Gauges::Fleet> FleetSocket::metrics() const {
  if (!view_)
    return std::nullopt;
  std::uint64_t dropped = 0;
  for (const auto& [reason, count] : dropped_)
    dropped += count;
  return operations::Gauges::Fleet{.alive = view_->count(MemberState::Alive),
                                   .suspect = view_->count(MemberState::Suspect),
                                   .dead = view_->count(MemberState::Dead),
                                   .left = view_->count(MemberState::Left),
                                   .changes = state_changes_,
                                   .sent = view_->sent(),
                                   .dropped = dropped};
}

transport::UdpSocket::ReceiveCallback FleetSocket::receiver() {
  return [this](const std::string& from, std::string_view bytes) {
    receive(from, bytes);
  };
}

void FleetSocket::set_active(bool active) {
  active_ = active;
  socket_.set_receiving(active);
}

void FleetSocket::set_workers(const std::vector<std::string>& workers) {
  gossip_.set_workers(workers, jobs_observer());
  send_load_gossip();
}

void FleetSocket::restate_counts() {
  gossip_.restate_counts(clock_.now());
  send_load_gossip();
}

void FleetSocket::announce(const std::string& worker, int jobs) {
  gossip_.announce(clock_.now(), worker, jobs);
  send_load_gossip();
}

void FleetSocket::send_load_gossip() {
  if (!active_)
    return;  // entries stay pending until this process uses the socket
  std::size_t max_bytes =
      authenticator_ ? kMaxMessageBytes - MessageAuthenticator::kOverhead : kMaxMessageBytes;
  for (const LoadGossip::Message& message : gossip_.due_messages(clock_.now(), max_bytes)) {
    auto peer = static_cast<std::size_t>(message.to);
    if (authenticator_) {
      send(peers_[peer], message.bytes);
    } else {
      socket_.send(options_.peers[peer], message.bytes);  // may be a host name
    }
  }
  bool scheduled = gossip_timer_.sequence != 0;
  if (!gossip_.has_pending() || scheduled)
    return;
  gossip_timer_ = deadlines_.add(clock_.now() + kMaxDecreaseDelay, [this] {
    gossip_timer_ = {};
    send_load_gossip();
  });
}

bool FleetSocket::handle_load_gossip(const Endpoint& from, std::string_view bytes) {
  auto peer = peer_indexes_.find(from);
  return peer != peer_indexes_.end() &&
         gossip_.handle_message(clock_.now(), peer->second, bytes, jobs_observer());
}

void FleetSocket::drop(const std::string& reason, const std::string& from, std::size_t size) {
  std::uint64_t count = ++dropped_[reason];
  log_.line("peers", "message " + std::to_string(count) + " dropped (" + reason + "), of " +
                         std::to_string(size) + " bytes from " + from);
}

// wire: the reasons appear in /admin/fleet.
void FleetSocket::receive(const std::string& from, std::string_view bytes) {
  auto sender = parse_endpoint(from);
  if (!sender)
    return drop("no address", from, bytes.size());
  std::string_view content = bytes;
  if (authenticator_) {
    auto verified = authenticator_->verify(wall_time(), *sender, bytes);
    if (!verified)
      return drop(to_text(verified.error()), from, bytes.size());
    content = *verified;
  }
  if (view_ && is_membership_datagram(content)) {
    if (!view_->handle_datagram(clock_.now(), *sender, content))
      drop("no message of the view", from, bytes.size());
    return;
  }
  if (!handle_load_gossip(*sender, content))
    drop(peer_indexes_.contains(*sender) ? "no loads" : "unknown sender", from, bytes.size());
}

void FleetSocket::sweep() {
  gossip_.expire(clock_.now(), jobs_observer());
  resume_gossip_to_undamped();
  send_load_gossip();
  sweep_timer_ = deadlines_.add(clock_.now() + kSweepInterval, [this] { sweep(); });
}

// Resumes load gossip to peers that flapped and have been alive long enough since.
void FleetSocket::resume_gossip_to_undamped() {
  if (!view_)
    return;
  for (const auto& [peer_endpoint, index] : peer_indexes_) {
    auto peer = static_cast<int>(index);
    if (!gossip_.is_unreachable(peer) || view_->damped(clock_.now(), peer_endpoint))
      continue;
    auto member = view_->members().find(peer_endpoint);
    if (member != view_->members().end() && member->second.state == MemberState::Alive)
      gossip_.set_reachable(peer, true);
  }
}

LoadGossip::JobsCallback FleetSocket::jobs_observer() {
  return [this](const std::string& worker, int jobs) {
    on_jobs_changed(worker, jobs);
  };
}

void FleetSocket::on_jobs_changed(const std::string& worker, int jobs) {
  if (router_)
    router_->on_load_gossip(worker, jobs);
}

}  // namespace dispatcher::fleet

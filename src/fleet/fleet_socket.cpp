#include "fleet/fleet_socket.h"

#include <stdexcept>

namespace dispatcher::fleet {
namespace {

constexpr transport::Duration kSweepInterval{1000};
constexpr int kTicksPerPeriod = 20;

// The membership protocol's datagrams differ from load gossip in the upper half of the first byte.
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
      socket_(bound ? transport::Datagrams(context, std::move(bound), receiver())
                    : transport::Datagrams(context, options_.listen, receiver())) {
  resolve_peers();
  if (!options_.keys.empty())
    authenticator_.emplace(options_.keys, own_endpoint(), wall_time());
  sweep();
  if (options_.view)
    start_membership();
}

FleetSocket::~FleetSocket() {
  deadlines_.drop(sweep_timer_);
  deadlines_.drop(tick_timer_);
  deadlines_.drop(gossip_timer_);
}

void FleetSocket::resolve_peers() {
  for (std::size_t i = 0; i < options_.peers.size(); ++i) {
    auto endpoint = parse_endpoint(options_.peers[i]);
    if (!endpoint && (options_.view || !options_.keys.empty()))
      throw std::runtime_error("no address and port: " + options_.peers[i]);
    peers_.push_back(endpoint.value_or(Endpoint{}));
    if (endpoint && static_cast<int>(i) != options_.self)
      peer_indexes_[*endpoint] = i;
  }
}

Endpoint FleetSocket::own_endpoint() const {
  if (auto advertised = parse_endpoint(options_.advertise))
    return *advertised;
  if (options_.self < 0 || options_.self >= static_cast<int>(peers_.size()))
    throw std::runtime_error("the own address is not among the peers");
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
          .others = std::move(others),
          .incarnation = options_.incarnation,
          .known = options_.known,
          .seed = options_.incarnation ^ endpoint_bits,
          .period = options_.period,
          .answer_in = options_.answer_in,
          .forget = options_.forget,
          .longest = kMaxDatagramBytes - (authenticator_ ? MessageAuthenticator::kOverhead : 0),
          .riding =
              [this](const Endpoint& to, std::size_t room) {
                auto peer = peer_indexes_.find(to);
                if (peer == peer_indexes_.end())
                  return std::string();
                return gossip_.riding(clock_.now(), static_cast<int>(peer->second), room);
              },
          .carried =
              [this](const Endpoint& from, std::string_view bytes) {
                if (!take_load_gossip(from, bytes))
                  ++dropped_["no loads"];  // wire: reason in /admin/fleet
              }};
}

void FleetSocket::start_membership() {
  view_.emplace(
      membership_options(), clock_.now(),
      [this](const Endpoint& to, const std::string& bytes) { send(to, bytes); },
      [this](const Endpoint& member, State state, std::uint32_t incarnation, bool state_changed) {
        on_member_changed(member, state, incarnation, state_changed);
      });
  tick();
}

void FleetSocket::on_member_changed(const Endpoint& member, State state, std::uint32_t incarnation,
                                    bool state_changed) {
  if (state_changed) {
    ++state_changes_;
    log_.line("fleet", to_text(member) + " is " + to_text(state) + ", incarnation " +
                           std::to_string(incarnation));
  }
  auto peer = peer_indexes_.find(member);
  if (peer == peer_indexes_.end() || state == State::Suspect)
    return;
  // A member with another incarnation may have restarted and is notified anew. `view_` is empty
  // while its constructor applies the table handed over by another process.
  bool damped = view_ && view_->damped(clock_.now(), member);
  gossip_.hears(static_cast<int>(peer->second), state == State::Alive && !damped);
}

void FleetSocket::send(const Endpoint& to, const std::string& bytes) {
  socket_.send(to_text(to), authenticator_ ? authenticator_->sign(wall_time(), to, bytes) : bytes);
}

MessageAuthenticator::WallMs FleetSocket::wall_time() const {
  auto ms = (clock_.now().time_since_epoch() + options_.to_wall).count();
  return ms > 0 ? static_cast<MessageAuthenticator::WallMs>(ms) : 0;
}

void FleetSocket::exchange(std::vector<Key> keys) {
  if (authenticator_)
    authenticator_->replace_keys(std::move(keys));
}

void FleetSocket::tick() {
  if (speaks_)
    view_->tick(clock_.now());
  tick_timer_ =
      deadlines_.add(clock_.now() + options_.period / kTicksPerPeriod, [this] { tick(); });
}

void FleetSocket::leave() {
  // Not while another process of this dispatcher serves on.
  if (view_ && speaks_)
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
  return operations::Gauges::Fleet{.alive = view_->count(State::Alive),
                                   .suspect = view_->count(State::Suspect),
                                   .dead = view_->count(State::Dead),
                                   .left = view_->count(State::Left),
                                   .changes = state_changes_,
                                   .sent = view_->sent(),
                                   .dropped = dropped};
}

transport::Datagrams::Received FleetSocket::receiver() {
  return [this](const std::string& from, std::string_view bytes) {
    receive(from, bytes);
  };
}

void FleetSocket::speak(bool on) {
  speaks_ = on;
  socket_.listen(on);
}

void FleetSocket::list(const std::vector<std::string>& workers) {
  gossip_.list(workers, jobs_observer());
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
  if (!speaks_)
    return;  // kept until this process uses the socket
  std::size_t room = authenticator_ ? kLongest - MessageAuthenticator::kOverhead : kLongest;
  for (const LoadGossip::Message& message : gossip_.due(clock_.now(), room)) {
    auto peer = static_cast<std::size_t>(message.to);
    if (authenticator_) {
      send(peers_[peer], message.bytes);
    } else {
      socket_.send(options_.peers[peer], message.bytes);  // may be a host name
    }
  }
  bool scheduled = gossip_timer_.order != 0;
  if (!gossip_.waits() || scheduled)
    return;
  gossip_timer_ = deadlines_.add(clock_.now() + kLeft, [this] {
    gossip_timer_ = {};
    send_load_gossip();
  });
}

bool FleetSocket::take_load_gossip(const Endpoint& from, std::string_view bytes) {
  auto peer = peer_indexes_.find(from);
  return peer != peer_indexes_.end() &&
         gossip_.take(clock_.now(), peer->second, bytes, jobs_observer());
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
    if (!view_->take(clock_.now(), *sender, content))
      drop("no message of the view", from, bytes.size());
    return;
  }
  if (!take_load_gossip(*sender, content))
    drop(peer_indexes_.contains(*sender) ? "no loads" : "unknown sender", from, bytes.size());
}

void FleetSocket::sweep() {
  gossip_.expire(clock_.now(), jobs_observer());
  notify_undamped();
  send_load_gossip();
  sweep_timer_ = deadlines_.add(clock_.now() + kSweepInterval, [this] { sweep(); });
}

// A peer that flapped and has been alive for long enough receives load gossip again.
void FleetSocket::notify_undamped() {
  if (!view_)
    return;
  for (const auto& [who, index] : peer_indexes_) {
    auto peer = static_cast<int>(index);
    if (!gossip_.away(peer) || view_->damped(clock_.now(), who))
      continue;
    auto member = view_->members().find(who);
    if (member != view_->members().end() && member->second.state == State::Alive)
      gossip_.hears(peer, true);
  }
}

LoadGossip::Changed FleetSocket::jobs_observer() {
  return [this](const std::string& worker, int jobs) {
    on_jobs_changed(worker, jobs);
  };
}

void FleetSocket::on_jobs_changed(const std::string& worker, int jobs) {
  if (router_)
    router_->on_load_gossip(worker, jobs);
}

}  // namespace dispatcher::fleet

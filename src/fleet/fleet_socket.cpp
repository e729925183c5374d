#include "fleet/fleet_socket.h"

#include <json/json.h>

namespace dispatcher::fleet {
namespace {

constexpr transport::Duration kSweep{1000};

}  // namespace

FleetSocket::FleetSocket(GMainContext* context, Options options, transport::Deadlines& deadlines,
                         const transport::Clock& clock, operations::Log& log,
                         transport::Descriptor bound)
    : options_(std::move(options)),
      deadlines_(deadlines),
      clock_(clock),
      log_(log),
      loads_(options_.self, static_cast<int>(options_.peers.size())),
      socket_(bound ? transport::Datagrams(context, std::move(bound), hears())
                    : transport::Datagrams(context, options_.listen, hears())) {
  for (std::size_t i = 0; i < options_.peers.size(); ++i) {
    auto address = parse_endpoint(options_.peers[i]);
    if (!address && (options_.view || !options_.keys.empty()))
      throw std::runtime_error("no address and port: " + options_.peers[i]);
    peers_.push_back(address.value_or(Endpoint{}));
    if (address && static_cast<int>(i) != options_.self)
      senders_[*address] = i;
  }
  if (!options_.keys.empty())
    seal_.emplace(options_.keys, own(), wall());
  sweep();
  if (options_.view)
    begin_view();
}

Endpoint FleetSocket::own() const {
  auto self = parse_endpoint(options_.advertise);
  if (self)
    return *self;
  if (options_.self < 0 || options_.self >= static_cast<int>(peers_.size()))
    throw std::runtime_error("the own address is not among the peers");
  return peers_[static_cast<std::size_t>(options_.self)];
}

void FleetSocket::begin_view() {
  MembershipView::Options view;
  view.self = own();
  view.incarnation = options_.incarnation;
  view.known = options_.known;
  view.seed = options_.incarnation ^ (std::uint64_t{view.self.address} << 16 | view.self.port);
  view.period = options_.period;
  view.answer_in = options_.answer_in;
  view.forget = options_.forget;
  for (const std::string& seed : options_.seeds)
    view.others.push_back(parse_endpoint(seed).value());
  if (options_.seeds.empty())
    view.others = peers_;
  if (seal_)
    view.longest -= MessageAuthenticator::kOverhead;
  view.riding = [this](const Endpoint& to, std::size_t room) {
    auto peer = senders_.find(to);
    return peer == senders_.end()
               ? std::string()
               : loads_.riding(clock_.now(), static_cast<int>(peer->second), room);
  };
  view.carried = [this](const Endpoint& from, std::string_view bytes) {
    if (!take_loads(from, bytes))
      ++dropped_["no loads"];
  };
  view_.emplace(
      std::move(view), clock_.now(),
      [this](const Endpoint& to, const std::string& bytes) { send(to, bytes); },
      [this](const Endpoint& member, State state, std::uint32_t incarnation, bool other) {
        changed(member, state, incarnation, other);
      });
  tick();
}

void FleetSocket::changed(const Endpoint& member, State state, std::uint32_t incarnation,
                          bool other) {
  changes_ += other;
  if (other) {
    log_.line("fleet", to_text(member) + " is " + to_text(state) + ", incarnation " +
                           std::to_string(incarnation));
  }
  auto peer = senders_.find(member);
  // While the view is still being made of what an upgrade hands over, there is none to ask. Whoever
  // has another incarnation may have started again, and then knows nothing of what it was told.
  if (peer != senders_.end() && state != State::Suspect) {
    loads_.hears(static_cast<int>(peer->second),
                 state == State::Alive && !(view_ && view_->damped(clock_.now(), member)));
  }
}

void FleetSocket::send(const Endpoint& to, const std::string& bytes) {
  socket_.send(to_text(to), seal_ ? seal_->close(wall(), to, bytes) : bytes);
}

MessageAuthenticator::Wall FleetSocket::wall() const {
  auto ms = (clock_.now().time_since_epoch() + options_.to_wall).count();
  return ms > 0 ? static_cast<MessageAuthenticator::Wall>(ms) : 0;
}

void FleetSocket::exchange(std::vector<Key> keys) {
  if (seal_)
    seal_->exchange(std::move(keys));
}

void FleetSocket::tick() {
  if (speaks_)
    view_->tick(clock_.now());
  tick_ = deadlines_.add(clock_.now() + options_.period / 20, [this] { tick(); });
}

void FleetSocket::leave() {
  if (view_ && speaks_)
    view_->leave(clock_.now());  // not where another process of this member serves on
}

std::string FleetSocket::view_json() const {
  if (!view_)
    return {};
  auto digest = [](std::uint64_t d) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(d));
    return std::string(text);
  };
  Json::Value all;
  Json::Value members(Json::arrayValue);
  for (const auto& [who, m] : view_->members()) {
    Json::Value one;
    one["member"] = to_text(who);
    one["state"] = to_text(m.state);
    one["incarnation"] = m.incarnation;
    one["for_ms"] = static_cast<Json::Int64>((clock_.now() - m.since).count());
    if (m.round_trip >= 0)
      one["round_trip_ms"] = m.round_trip;
    one["damped"] = view_->damped(clock_.now(), who);
    members.append(one);
  }
  all["self"] = to_text(view_->self());
  all["incarnation"] = view_->incarnation();
  all["digest"] = digest(view_->digest());
  all["members"] = members;
  all["sent"] = Json::UInt64{view_->sent()};
  all["dropped"] = Json::Value(Json::objectValue);
  for (const auto& [why, times] : dropped_)
    all["dropped"][why] = Json::UInt64{times};
  all["sealed"] = seal_.has_value();
  all["doubt_in_self"] = view_->doubt_in_self();
  return all.toStyledString();
}

std::optional<operations::Gauges::Fleet> FleetSocket::metrics() const {
  if (!view_)
    return std::nullopt;
  operations::Gauges::Fleet f;
  f.alive = view_->count(State::Alive);
  f.suspect = view_->count(State::Suspect);
  f.dead = view_->count(State::Dead);
  f.left = view_->count(State::Left);
  f.changes = changes_;
  f.sent = view_->sent();
  for (const auto& [why, times] : dropped_)
    f.dropped += times;
  return f;
}

transport::Datagrams::Received FleetSocket::hears() {
  return [this](const std::string& from, std::string_view bytes) {
    received(from, bytes);
  };
}

void FleetSocket::speak(bool on) {
  speaks_ = on;
  socket_.listen(on);
}

void FleetSocket::list(const std::vector<std::string>& workers) {
  loads_.list(workers, [this](const std::string& worker, int jobs) { heard(worker, jobs); });
}

void FleetSocket::announce(const std::string& worker, int jobs) {
  loads_.announce(clock_.now(), worker, jobs);
  tell();
}

void FleetSocket::tell() {
  if (!speaks_)
    return;  // what waits is told from when this process speaks
  std::size_t room = seal_ ? kLongest - MessageAuthenticator::kOverhead
                           : kLongest;  // a datagram has 256 bytes with its seal
  for (const LoadGossip::Message& m : loads_.due(clock_.now(), room)) {
    auto to = static_cast<std::size_t>(m.to);
    if (seal_) {
      send(peers_[to], m.bytes);
    } else {
      socket_.send(options_.peers[to], m.bytes);
    }
  }
  if (!loads_.waits() || late_.order != 0)
    return;
  late_ = deadlines_.add(clock_.now() + kLeft, [this] { late_ = {}, tell(); });
}

bool FleetSocket::take_loads(const Endpoint& from, std::string_view bytes) {
  auto sender = senders_.find(from);
  return sender != senders_.end() &&
         loads_.take(clock_.now(), sender->second, bytes,
                     [this](const std::string& worker, int jobs) { heard(worker, jobs); });
}

void FleetSocket::received(const std::string& from, std::string_view bytes) {
  auto drop = [&](const std::string& why) {
    log_.line("peers", "message " + std::to_string(++dropped_[why]) + " dropped (" + why +
                           "), of " + std::to_string(bytes.size()) + " bytes from " + from);
  };
  auto who = parse_endpoint(from);
  if (!who)
    return drop("no address");
  std::string_view plain = bytes;
  if (seal_) {
    if (auto fault = seal_->open(wall(), *who, bytes, plain);
        fault != MessageAuthenticator::Fault::None)
      return drop(MessageAuthenticator::to_text(fault));
  }
  // Without keys anybody may join the view, whose messages bear another first byte than those of
  // loads.
  bool of_view = view_ && !plain.empty() && (plain[0] & 0xf0) == 0x20;
  if (of_view ? view_->take(clock_.now(), *who, plain) : take_loads(*who, plain))
    return;
  drop(of_view                   ? "no message of the view"
       : senders_.contains(*who) ? "no loads"
                                 : "unknown sender");
}

void FleetSocket::sweep() {
  loads_.expire(clock_.now(), [this](const std::string& worker, int jobs) { heard(worker, jobs); });
  // One that has stayed for long enough is no longer damped.
  for (const auto& [who, number] : senders_) {
    if (view_ && loads_.away(static_cast<int>(number)) && !view_->damped(clock_.now(), who)) {
      if (auto m = view_->members().find(who);
          m != view_->members().end() && m->second.state == State::Alive)
        loads_.hears(static_cast<int>(number), true);
    }
  }
  tell();
  sweep_ = deadlines_.add(clock_.now() + kSweep, [this] { sweep(); });
}

void FleetSocket::heard(const std::string& worker, int jobs) {
  if (router_)
    router_->on_load_gossip(worker, jobs);
}

}  // namespace dispatcher::fleet

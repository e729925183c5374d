#include "fleet/membership_view.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "fleet/byte_order.h"

namespace dispatcher::fleet {
namespace {

constexpr unsigned char kVersion = 0x22;
constexpr std::size_t kLongest = 256, kHead = 25, kRiding = 24, kEntry = 11, kCheck = 4;
constexpr std::size_t kMostMembers = 4096;  // a stranger cannot make the table grow without end
constexpr int kMostDoubt = 8;               // in ourselves
constexpr int kHelpers = 3;                 // asked to try where a probe had no answer
constexpr std::uint64_t kAskedAgain = 3;    // of those in doubt, in each period, about
constexpr int kHearsay = 3;   // whom others doubt we hold suspect so much longer: they tell the end
constexpr int kDeadTurn = 4;  // every so many periods somebody held dead is probed
constexpr std::size_t kFarewells = 8;
constexpr std::size_t kMostReplies = 4;  // datagrams to one that compares
constexpr int kCompareEach = 40;         // of those that are answered in a period, at the most
constexpr std::size_t kMostRelays = 256;
constexpr double kDamped = 2.5;  // flaps; three within a few minutes
constexpr int kFlapHalves = 60;  // periods in which what is held against a member halves
constexpr int kNewsEach = 10;    // datagrams of news a period at the most, beside the probes
enum Kind { kProbe = 1, kAnswer = 2, kProbeFor = 3, kNews = 4, kCompare = 5 };

std::size_t part_of(const Endpoint& e) {
  return (e.address * 2654435761U ^ e.port * 40503U) >> 12 & (kParts - 1);
}

// The dead do not count: one has forgotten them sooner than another.
std::uint64_t hash(const Endpoint& who, State state, std::uint32_t incarnation) {
  if (state == State::Dead || state == State::Left)
    return 0;
  std::string bytes;
  put(bytes, who);
  put(bytes, static_cast<std::uint64_t>(state), 1);
  put(bytes, incarnation, 4);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  Endpoint e;
  const char* at = text.data();
  const char* end = at + text.size();
  for (int part = 0; part < 5; ++part) {
    unsigned value = 0;
    auto [next, error] = std::from_chars(at, end, value);
    if (error != std::errc() || value > (part < 4 ? 255U : 65535U))
      return std::nullopt;
    at = next;
    if (part == 4) {
      e.port = static_cast<std::uint16_t>(value);
      break;
    }
    e.address = e.address << 8 | value;
    if (at == end || *at++ != (part < 3 ? '.' : ':'))
      return std::nullopt;
  }
  if (at != end || e.port == 0)
    return std::nullopt;
  return e;
}

std::string to_text(const Endpoint& e) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8)
    out += std::to_string(e.address >> shift & 0xff) + (shift ? "." : ":");
  return out + std::to_string(e.port);
}

const char* to_text(State state) {
  switch (state) {
    case State::Alive:
      return "alive";
    case State::Suspect:
      return "suspect";
    case State::Dead:
      return "dead";
    case State::Left:
      return "left";
  }
  return "";
}

MembershipView::MembershipView(Options options, Time now, Send send, Changed changed)
    : options_(std::move(options)),
      send_(std::move(send)),
      changed_(std::move(changed)),
      random_(options_.seed) {
  self_ = {State::Alive, options_.incarnation, now};
  digest_ = hash(options_.self, State::Alive, self_.incarnation);
  // Held alive with the least incarnation of all until heard: who is not there is found out like
  // any other.
  for (const Endpoint& other : options_.others) {
    configured_.insert(other);
    if (other != options_.self && members_.try_emplace(other, Member{State::Alive, 0, now}).second)
      digest_ ^= hash(other, State::Alive, 0);
  }
  telling_[options_.self] = 0;
  for (const Entry& known :
       options_.known) {  // the dead among them too, which news alone would not bring
    if (members_.contains(known.who) || known.who == options_.self) {
      hear(now, known);
    } else {
      set(now, known.who, known.state, known.incarnation);
    }
  }
  // Members that start together do not probe in step.
  std::uniform_real_distribution<double> phase(0, 1);
  begun_ = now - options_.period * phase(random_);
  ticked_ = now;
}

std::size_t MembershipView::count(State state) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(members_, [&](auto& m) { return m.second.state == state; }));
}

double MembershipView::log_size() const {
  return std::log2(static_cast<double>(members_.size()) + 2);
}
// Enough to reach nearly all; digests bring the rest.
int MembershipView::times_told() const {
  return static_cast<int>(std::ceil(log_size()));
}
// As long as news of the suspicion, and the refutation after it, take to reach all; longer where
// answers have lately not come to ourselves (Lifeguard).
Duration MembershipView::suspicion() const {
  return options_.period * (log_size() / 2 + 1) * (1 + doubt_ / 8.0);
}

void MembershipView::tick(Time now) {
  if (left_)
    return;
  // Guards a member that was stopped and wakes: the silence was its own.
  bool slept = now - ticked_ > options_.period;
  ticked_ = now;
  if (slept) {
    if (options_.local_health)
      doubt_ = std::min(kMostDoubt, doubt_ + 2);
    probe_.reset();
    for (auto& [who, doubt] : suspected_)
      doubt.since = now;
    begun_ = now;
    return period_begins(now);
  }
  Duration wait = options_.answer_in * (1 + doubt_ / 4.0);
  if (probe_ && !probe_->answered && !probe_->others_asked && now - probe_->sent >= wait) {
    probe_->others_asked = true;
    std::vector<Endpoint> helpers;
    for (const auto& [who, m] : members_) {
      if (m.state == State::Alive && who != probe_->to)
        helpers.push_back(who);
    }
    std::ranges::shuffle(helpers, random_);
    helpers.resize(std::min<std::size_t>(helpers.size(), kHelpers));
    say(probe_->to, kProbe, probe_->number, {});  // the first may have been lost
    for (const Endpoint& helper : helpers)
      say(helper, kProbeFor, probe_->number, probe_->to);
  }
  for (auto it = suspected_.begin(); it != suspected_.end();) {
    auto m = members_.find(it->first);
    bool over = now - it->second.since >= suspicion() * (it->second.own ? 1 : kHearsay);
    if (over && m->second.state == State::Suspect) {
      Endpoint who = it->first;
      it = suspected_.erase(it);
      set(now, who, State::Dead, m->second.incarnation);
    } else {
      it = m->second.state == State::Suspect ? std::next(it) : suspected_.erase(it);
    }
  }
  // While there is something to tell, which each tells a few times only, or the latest that was
  // heard from holds another view, the rest of the table is not kept for the next probe.
  if ((!telling_.empty() || differs_) && now - told_ >= options_.period / kNewsEach) {
    told_ = now;
    std::vector<Endpoint> alive;
    for (const auto& [who, m] : members_) {
      if (m.state == State::Alive)
        alive.push_back(who);
    }
    // Those that come and go without end are told of by probes alone.
    bool news = std::ranges::any_of(telling_, [&](const auto& t) { return !damped(now, t.first); });
    if (!alive.empty() && news) {
      say(alive[random_() % alive.size()], kNews, 0, {});
    } else if (!alive.empty() && differs_) {
      write(alive[random_() % alive.size()], kCompare, 0, {}, {});
    }
  }
  if (now - begun_ < options_.period)
    return;
  begun_ += options_.period;
  period_ends(now);
  period_begins(now);
}

double MembershipView::flaps(Time now, const Member& m) const {
  return m.flaps * std::exp2(-((now - m.flaps_at) / (options_.period * kFlapHalves)));
}

bool MembershipView::damped(Time now, const Endpoint& who) const {
  auto m = members_.find(who);
  return m != members_.end() && flaps(now, m->second) > kDamped;
}

void MembershipView::forget(Time now) {
  std::erase_if(members_, [&](const auto& entry) {
    const auto& [who, m] = entry;
    bool gone = (m.state == State::Dead || m.state == State::Left) &&
                now - m.since >= options_.forget && !configured_.contains(who);
    if (gone)
      telling_.erase(who);
    return gone;
  });
}

// Of a table that is full, whoever has been gone longest makes room for one that is there.
bool MembershipView::make_room() {
  if (members_.size() < kMostMembers)
    return true;
  auto oldest = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    if ((it->second.state == State::Dead || it->second.state == State::Left) &&
        !configured_.contains(it->first) &&
        (oldest == members_.end() || it->second.since < oldest->second.since))
      oldest = it;
  }
  if (oldest == members_.end())
    return false;
  telling_.erase(oldest->first);
  members_.erase(oldest);
  return true;
}

void MembershipView::period_ends(Time now) {
  forget(now);
  std::erase_if(relays_, [&](auto& r) { return now - r.second.sent > options_.period; });
  if (!probe_)
    return;
  Probe last = *std::exchange(probe_, std::nullopt);
  if (last.answered)
    return;
  // Where others were heard meanwhile it is not ourselves; Lifeguard asks helpers for a no to tell
  // the same.
  if (heard_ < last.sent) {
    doubt_ = std::min(kMostDoubt, doubt_ + options_.local_health);
  } else {
    begun_ -= options_.period / 2;  // one is gone, and many may be: the next is looked at sooner
  }
  auto m = members_.find(last.to);
  if (m != members_.end() && m->second.state == State::Alive)
    set(now, last.to, State::Suspect, m->second.incarnation);
  if (auto s = suspected_.find(last.to); s != suspected_.end())
    s->second.own = true;
}

void MembershipView::period_begins(Time now) {
  std::optional<Endpoint> to = next_to_probe();
  if (!to)
    return;
  probe_ = Probe{*to, ++number_, now};
  if (members_.at(*to).state == State::Dead)
    probe_->answered = true;  // no answer is no news
  // What is said of it first of all, so that it can refute that.
  if (members_.at(*to).state != State::Alive)
    telling_.try_emplace(*to, 0);
  say(*to, kProbe, number_, {});
  // Whom we ourselves have come to doubt is asked again in each period, and told of it: where
  // messages are lost, a suspicion is mostly a false one, and its refutation must not be lost as
  // well.
  auto doubted = static_cast<std::uint64_t>(
      std::ranges::count_if(suspected_, [](auto& s) { return s.second.own; }));
  for (const auto& [who, doubt] : suspected_) {
    if (doubt.own && who != *to && random_() % doubted < kAskedAgain) {
      Entry said = entry_of(who);
      write(who, kProbe, number_, {}, {&said, 1});
    }
  }
}

// Everybody once in a round, in an order of this member's own; in between, at a bounded rate, one
// that is held dead: after a partition each side finds the other again by these.
std::optional<Endpoint> MembershipView::next_to_probe() {
  if (number_ % kDeadTurn == kDeadTurn - 1 || count(State::Alive) + count(State::Suspect) == 0) {
    std::vector<Endpoint> dead;
    for (const auto& [who, m] : members_) {
      if (m.state == State::Dead)
        dead.push_back(who);
    }
    if (!dead.empty())
      return dead[random_() % dead.size()];
  }
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      Endpoint who = round_.back();
      round_.pop_back();
      auto m = members_.find(who);
      if (m != members_.end() &&
          (m->second.state == State::Alive || m->second.state == State::Suspect))
        return who;
    }
    for (const auto& [who, m] : members_)
      round_.push_back(who);
    std::ranges::shuffle(round_, random_);
  }
  return std::nullopt;
}

void MembershipView::set(Time now, const Endpoint& who, State state, std::uint32_t incarnation) {
  auto [it, fresh] = members_.try_emplace(who);
  Member& m = it->second;
  if (!fresh)
    digest_ ^= hash(who, m.state, m.incarnation);
  bool other = fresh || m.state != state;
  bool rose = incarnation > m.incarnation;
  if (other)
    m.since = now;
  if (!fresh && m.state == State::Dead && state == State::Alive) {
    m.flaps = flaps(now, m) + 1;
    m.flaps_at = now;
  }
  m.state = state;
  m.incarnation = incarnation;
  digest_ ^= hash(who, state, incarnation);
  telling_[who] = 0;
  if (state == State::Suspect) {
    suspected_.try_emplace(who, Doubt{now});
  } else {
    suspected_.erase(who);
  }
  if (other || rose)
    changed_(who, state, incarnation, other);
}

// Of two pieces of news on one member the higher incarnation counts; of one incarnation the graver
// state. So all that have heard the same hold the same, in whatever order it came.
void MembershipView::hear(Time now, const Entry& news) {
  if (news.who == options_.self) {
    if (news.state != State::Alive && news.incarnation >= self_.incarnation) {
      refute(now, news.incarnation);
    } else if (news.incarnation > self_.incarnation) {
      refute(now, news.incarnation);
    }
    return;
  }
  auto it = members_.find(news.who);
  if (it == members_.end()) {
    // Who is forgotten stays so; what is not remembered here is not told on.
    bool gone = news.state == State::Dead || news.state == State::Left;
    if (!gone && make_room())
      set(now, news.who, news.state, news.incarnation);
    return;
  }
  const Member& m = it->second;
  if (news.incarnation < m.incarnation ||
      (news.incarnation == m.incarnation && news.state <= m.state))
    return;
  set(now, news.who, news.state, news.incarnation);
}

void MembershipView::refute(Time now, std::uint32_t above) {
  digest_ ^= hash(options_.self, State::Alive, self_.incarnation);
  self_.incarnation = above + 1;
  self_.since = now;
  digest_ ^= hash(options_.self, State::Alive, self_.incarnation);
  telling_[options_.self] = 0;
}

bool MembershipView::take(Time now, const Endpoint& from, std::string_view bytes) {
  auto bad = [&] {
    return ++dropped_, false;
  };
  if (bytes.size() < kHead + kCheck || bytes.size() > kLongest)
    return bad();
  bool compares = static_cast<unsigned char>(bytes[1]) == kCompare;
  std::size_t riding = static_cast<unsigned char>(bytes[kRiding]);
  if (riding > bytes.size() - kHead - kCheck)
    return bad();
  std::size_t rest = bytes.size() - kHead - kCheck - riding;
  if (compares ? rest != 8 * kParts : rest % kEntry != 0)
    return bad();
  std::size_t body = bytes.size() - kCheck;
  if (static_cast<unsigned char>(bytes[0]) != kVersion ||
      get(bytes, body, 4) != XXH32(bytes.data(), body, 0))
    return bad();
  auto kind = static_cast<int>(get(bytes, 1, 1));
  if (kind < kProbe || kind > kCompare || from == options_.self)
    return bad();
  std::vector<Entry> entries;
  for (std::size_t at = kHead; at < kHead + rest && !compares; at += kEntry) {
    auto state = get(bytes, at + 6, 1);
    if (state < 1 || state > 4)
      return bad();
    entries.push_back({get_endpoint(bytes, at), static_cast<State>(state),
                       static_cast<std::uint32_t>(get(bytes, at + 7, 4))});
  }
  if (left_)
    return true;
  heard_ = now;
  if (riding > 0 && options_.carried)
    options_.carried(from, bytes.substr(kHead + rest, riding));
  auto number = static_cast<std::uint32_t>(get(bytes, 2, 4));
  auto incarnation = static_cast<std::uint32_t>(get(bytes, 6, 4));
  std::uint64_t digest = get(bytes, 10, 8);
  Endpoint target = get_endpoint(bytes, 18);
  bool leaves = std::ranges::any_of(
      entries, [&](const Entry& e) { return e.who == from && e.state == State::Left; });
  if (!leaves)
    hear(now, {from, State::Alive, incarnation});
  for (const Entry& e : entries)
    hear(now, e);
  differs_ = digest != digest_;
  // Who is held dead or suspect with this very incarnation is told so, to refute it.
  if (auto m = members_.find(from);
      m != members_.end() && m->second.state != State::Alive && !leaves)
    telling_[from] = 0;
  // Bounds what a flood can make this one say; the table is told in time all the same.
  if (compares && differs_ && now - compared_ >= options_.period / kCompareEach) {
    compared_ = now;
    compare(from, bytes);
  }
  if (kind == kProbe)
    say(from, kAnswer, number, options_.self);
  if (kind == kProbeFor && relays_.size() < kMostRelays) {
    relays_[++number_] = {from, target, number, now};
    if (members_.contains(target))
      say(target, kProbe, number_, {});
  }
  if (kind == kAnswer) {
    if (auto r = relays_.find(number); r != relays_.end() && r->second.target == from) {
      say(r->second.asker, kAnswer, r->second.number, from);
      relays_.erase(r);
    }
    if (probe_ && probe_->number == number && target == probe_->to) {
      if (auto m = members_.find(from); m != members_.end() && from == probe_->to)
        m->second.round_trip = (now - probe_->sent).count();
      if (!probe_->answered)
        doubt_ = std::max(0, doubt_ - 1);
      probe_->answered = true;
    }
  }
  return true;
}

// What has been told least comes first, of the receiver itself before all else.
std::vector<MembershipView::Entry> MembershipView::news_for(const Endpoint& to) {
  std::vector<std::pair<int, Endpoint>> order;
  for (const auto& [who, times] : telling_)
    order.emplace_back(who == to ? -1 : times, who);
  std::ranges::shuffle(order, random_);
  std::ranges::stable_sort(order, {}, &std::pair<int, Endpoint>::first);
  order.resize(std::min(order.size(), most_entries()));
  std::vector<Entry> out;
  for (const auto& [times, who] : order) {
    out.push_back(entry_of(who));
    if (++telling_[who] >= times_told())
      telling_.erase(who);
  }
  return out;
}

MembershipView::Entry MembershipView::entry_of(const Endpoint& who) const {
  if (who == options_.self)
    return {who, left_ ? State::Left : State::Alive, self_.incarnation};
  const Member& m = members_.at(who);
  return {who, m.state, m.incarnation};
}

std::array<std::uint64_t, kParts> MembershipView::parts() const {
  std::array<std::uint64_t, kParts> out{};
  auto add = [&](const Entry& e) {
    out[part_of(e.who)] ^= hash(e.who, e.state, e.incarnation);
  };
  add({options_.self, State::Alive, self_.incarnation});
  for (const auto& [who, m] : members_)
    add({who, m.state, m.incarnation});
  return out;
}

// Where the digests of two tables differ though nothing is new, one tells the digests of its parts,
// and the other what it holds in those that differ: a few datagrams, however large the table is.
void MembershipView::compare(const Endpoint& from, std::string_view bytes) {
  auto own = parts();
  std::vector<Entry> entries;
  auto add = [&](const Entry& e) {
    if (own[part_of(e.who)] != get(bytes, kHead + 8 * part_of(e.who), 8))
      entries.push_back(e);
  };
  add(entry_of(options_.self));
  for (const auto& [who, m] : members_)
    add({who, m.state, m.incarnation});
  std::ranges::shuffle(entries, random_);  // where they are many, others will send the rest
  std::size_t most = most_entries();
  for (std::size_t at = 0, sent = 0; at < entries.size() && sent < kMostReplies; at += most, ++sent)
    write(from, kNews, 0, {}, std::span(entries).subspan(at, std::min(most, entries.size() - at)));
}

std::size_t MembershipView::most_entries() const {
  return (options_.longest - kHead - kCheck) / kEntry;
}

void MembershipView::say(const Endpoint& to, int kind, std::uint32_t number,
                         const Endpoint& target) {
  write(to, kind, number, target, news_for(to));
}

void MembershipView::write(const Endpoint& to, int kind, std::uint32_t number,
                           const Endpoint& target, std::span<const Entry> entries) {
  std::string out;
  out += static_cast<char>(kVersion);
  put(out, static_cast<std::uint64_t>(kind), 1);
  put(out, number, 4);
  put(out, self_.incarnation, 4);
  put(out, digest_, 8);
  put(out, target);
  put(out, 0, 1);
  if (kind == kCompare) {
    for (std::uint64_t part : parts())
      put(out, part, 8);
  }
  for (const Entry& e : entries) {
    put(out, e.who);
    put(out, static_cast<std::uint64_t>(e.state), 1);
    put(out, e.incarnation, 4);
  }
  if (options_.riding) {
    std::string more =
        options_.riding(to, std::min<std::size_t>(255, options_.longest - kCheck - out.size()));
    out[kRiding] = static_cast<char>(more.size());
    out += more;
  }
  put(out, XXH32(out.data(), out.size(), 0), 4);
  ++sent_;
  send_(to, out);
}

void MembershipView::leave(Time) {
  if (std::exchange(left_, true))
    return;
  std::vector<Endpoint> to;
  for (const auto& [who, m] : members_) {
    if (m.state == State::Alive)
      to.push_back(who);
  }
  std::ranges::shuffle(to, random_);
  to.resize(std::min(to.size(), kFarewells));
  for (const Endpoint& who : to) {
    telling_[options_.self] = 0;
    say(who, kNews, 0, {});
  }
}

}  // namespace dispatcher::fleet

// Who of the fleet is there, as this member holds it: SWIM with local health, digests, and probes
// of the dead. Pure: bytes and time in, bytes and events out. Gossip, for people and for saving
// messages; no decision on orders rests on it. docs/design/fleet-view.md has the ways that were
// weighed.
//
// A datagram, at most 256 bytes, integers with the highest byte first:
//   0x20 + version 2   1 byte   apart from the load messages, whose first byte is 0x10 to 0x1f
//   kind               1 byte   1 probe, 2 answer, 3 probe for another, 4 news alone, 5 compare
//   number             4 bytes  of the probe that is sent or answered
//   incarnation        4 bytes  of the sender
//   digest             8 bytes  of the sender's view: who is alive or suspect
//   target             6 bytes  kind 3: who is to be probed; else of whom an answer is, or zeros
//   riding             1 byte   bytes of what rides along
//   entries           11 bytes each: address 4, port 2, state 1, incarnation 4; kind 5: 16 digests
//   of parts
//                     of the table, 8 bytes each
//   what rides along   of those who use the view; none of this file's business
//   check              4 bytes  of all before it: guards against bytes spoilt on the way, not
//   against malice
#pragma once

#include "dispatcher/scheduling/scheduler.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dispatcher::fleet {

using scheduling::Duration;
using scheduling::Time;

struct Endpoint {  // an IPv4 address and port, host order
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};
std::optional<Endpoint> parse_endpoint(std::string_view text);  // "127.0.0.1:7000"
std::string to_text(const Endpoint& endpoint);

inline constexpr std::size_t kParts = 16;  // of the table, whose digests are compared

enum class State : std::uint8_t { Alive = 1, Suspect = 2, Dead = 3, Left = 4 };
const char* to_text(State state);

struct Member {
  State state = State::Alive;
  std::uint32_t incarnation = 0;
  Time since{};            // of this state
  double round_trip = -1;  // ms; below 0: none was measured
  double flaps =
      0;  // times that it came back from the dead, as of flaps_at; halves as time goes by
  Time flaps_at{};
};

class MembershipView {
 public:
  struct Entry {
    Endpoint who;
    State state = State::Alive;
    std::uint32_t incarnation = 0;
  };
  struct Options {
    Endpoint self;
    std::vector<Endpoint> others;   // known from the start: all, or a few that know more
    std::uint32_t incarnation = 1;  // higher than at the last start
    std::vector<Entry> known;  // by another process of this very member, that it takes over from
    std::uint64_t seed = 0;
    Duration period{1000};       // one probe in each; tick() at least ten times in it
    Duration answer_in{300};     // before others are asked to try
    Duration forget{3'600'000};  // one that is dead or has left and is not among `others`
    std::size_t longest = 256;   // bytes of a datagram
    bool local_health = true;    // false: for measuring what it is worth
    // Bytes for a datagram that goes to this member, at most `room`, and what came with one.
    std::function<std::string(const Endpoint& to, std::size_t room)> riding{};
    std::function<void(const Endpoint& from, std::string_view bytes)> carried{};
  };
  using Send = std::function<void(const Endpoint& to, const std::string& bytes)>;
  // `other`: the state is another one; false: only the incarnation has risen.
  using Changed = std::function<void(const Endpoint& member, State state, std::uint32_t incarnation,
                                     bool other)>;

  MembershipView(Options options, Time now, Send send, Changed changed);

  void tick(Time now);
  // False: not a message of this kind, and nothing of it counts.
  bool take(Time now, const Endpoint& from, std::string_view bytes);
  void leave(Time now);  // the last that is said

  std::uint64_t digest() const { return digest_; }
  std::uint32_t incarnation() const { return self_.incarnation; }
  const Endpoint& self() const { return options_.self; }
  const std::map<Endpoint, Member>& members() const { return members_; }  // the others
  std::size_t count(State state) const;                                   // of the others
  // It has come back from the dead so often of late that it had better be left alone.
  bool damped(Time now, const Endpoint& who) const;
  std::uint64_t sent() const { return sent_; }
  std::uint64_t dropped() const { return dropped_; }
  int doubt_in_self() const { return doubt_; }

 private:
  struct Probe {  // the one of this period
    Endpoint to;
    std::uint32_t number = 0;
    Time sent{};
    bool answered = false;
    bool others_asked = false;
  };
  struct Relay {  // a probe made for somebody else
    Endpoint asker;
    Endpoint target;
    std::uint32_t number;
    Time sent;
  };

  void period_begins(Time now);
  void period_ends(Time now);
  std::optional<Endpoint> next_to_probe();
  void hear(Time now, const Entry& news);
  void set(Time now, const Endpoint& who, State state, std::uint32_t incarnation);
  void refute(Time now, std::uint32_t above);
  void forget(Time now);
  double flaps(Time now, const Member& m) const;
  bool make_room();
  Entry entry_of(const Endpoint& who) const;
  std::array<std::uint64_t, kParts> parts() const;
  void compare(const Endpoint& from, std::string_view bytes);
  void write(const Endpoint& to, int kind, std::uint32_t number, const Endpoint& target,
             std::span<const Entry> entries);
  void say(const Endpoint& to, int kind, std::uint32_t number, const Endpoint& target);
  std::vector<Entry> news_for(const Endpoint& to);
  std::size_t most_entries() const;  // of one datagram
  Duration suspicion() const;
  int times_told() const;  // each piece of news
  double log_size() const;

  Options options_;
  Send send_;
  Changed changed_;
  std::mt19937_64 random_;
  Member self_;
  std::map<Endpoint, Member> members_;
  std::set<Endpoint> configured_;    // never forgotten
  std::map<Endpoint, int> telling_;  // how often the latest of whom has been told
  struct Doubt {
    Time since{};      // as of when it was heard here
    bool own = false;  // by a probe of our own that had no answer
  };
  std::map<Endpoint, Doubt> suspected_;
  std::vector<Endpoint> round_;  // who is to be probed, in this round's order
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Relay> relays_;  // by our own number
  std::uint32_t number_ = 0;
  std::uint64_t digest_ = 0;
  std::uint64_t sent_ = 0;
  std::uint64_t dropped_ = 0;
  Time begun_{};
  Time ticked_{};
  Time told_{};
  Time heard_{};
  Time compared_{Duration(-1e12)};
  int doubt_ = 0;  // in ourselves: probes during which nobody was heard, less those answered
  bool differs_ = false;
  bool left_ = false;
};

}  // namespace dispatcher::fleet

// Seals the datagrams of one fleet with a keyed hash, so that no stranger speaks in it and nothing
// that was recorded counts again: not twice, not at another member, not after a restart of whoever
// hears it. Pure: bytes and time in, bytes out. What is sealed can be read by anybody.
//
// Layout, integers with the highest byte first: 0x31, key number 1, session 6 (ms of the wall clock
// when the sender began), age 4 (ms since then), counter 4, what is sealed, hash 16: BLAKE2b with
// the key, over the addresses and ports of sender and receiver and all before it.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/membership_view.h"

namespace dispatcher::fleet {

struct Key {
  std::uint8_t id = 0;
  std::array<unsigned char, 32> secret{};
};

class MessageAuthenticator {
 public:
  using Wall = std::uint64_t;                   // ms since 1970
  static constexpr std::size_t kOverhead = 32;  // bytes
  static constexpr Wall kMostSkew =
      30'000;  // ms, of the clocks of two members and the way between them
  static constexpr std::size_t kWindow = 64;  // counters back from the highest that may still come

  enum class Fault { None, NotSealed, UnknownKey, Forged, Stale, Replayed };
  static const char* to_text(Fault fault);

  // `keys`: at least one; the first one seals. Throws std::runtime_error where libsodium cannot
  // start.
  MessageAuthenticator(std::vector<Key> keys, Endpoint self, Wall now);

  void exchange(std::vector<Key> keys) { keys_ = std::move(keys); }
  std::string close(Wall now, const Endpoint& to, std::string_view plain);
  // `plain` points into `bytes`; set with Fault::None only.
  Fault open(Wall now, const Endpoint& from, std::string_view bytes, std::string_view& plain);
  std::size_t senders() const { return seen_.size(); }

 private:
  struct Seen {
    Wall session = 0;
    Wall at = 0;  // at: by the sender's clock, the latest
    std::uint32_t highest = 0;
    std::uint64_t before = 0;  // bit i: highest - 1 - i has come
  };
  bool fresh(Seen& seen, Wall session, std::uint32_t counter);

  std::vector<Key> keys_;
  Endpoint self_;
  Wall session_;
  std::uint32_t counter_ = 0;
  std::map<Endpoint, Seen> seen_;
};

}  // namespace dispatcher::fleet

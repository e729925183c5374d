// Signs the datagrams of one fleet with a keyed hash and verifies them, so that outsiders cannot
// take part. A recorded datagram cannot be replayed, neither to its original receiver, even after
// the receiver has restarted, nor to another member. The content is not encrypted.
//
// Does no I/O: the caller passes in the time and the bytes. Not thread-safe.
//
// Layout, integers in network byte order:
//   marker    1 byte   0x31
//   key id    1 byte
//   session   6 bytes  wall clock in ms at the start of the session
//   age       4 bytes  ms since then
//   counter   4 bytes  of the datagrams of this session
//   content
//   hash     16 bytes  BLAKE2b with the key, over sender and receiver (address and port each) and
//                      everything before it
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "fleet/endpoint.h"
#include "fleet/replay_window.h"

namespace dispatcher::fleet {

struct Key {
  std::uint8_t id = 0;
  std::array<unsigned char, 32> secret{};
};

enum class VerifyError { NotSigned, UnknownKey, WrongHash, Stale, Replayed };

// wire: the reasons in `dropped` of /admin/fleet and in the log line about a dropped message.
const char* to_text(VerifyError error);

class MessageAuthenticator {
 public:
  using WallMs = std::uint64_t;                 // ms since 1970
  static constexpr std::size_t kOverhead = 32;  // bytes added to each message
  // Tolerated difference between two members' clocks, transit time included.
  static constexpr WallMs kMaxClockSkewMs = 30'000;

  // `keys`: at least one; the first one signs, all verify. Throws std::runtime_error if
  // libsodium cannot be initialized.
  MessageAuthenticator(std::vector<Key> keys, Endpoint self, WallMs now);

  void replace_keys(std::vector<Key> keys) { keys_ = std::move(keys); }
  std::string sign(WallMs now, const Endpoint& receiver, std::string_view content);
  // Returns the content, which is a part of `bytes`.
  tl::expected<std::string_view, VerifyError> verify(WallMs now, const Endpoint& sender,
                                                     std::string_view bytes);
  std::size_t known_senders() const { return senders_.size(); }

 private:
  struct Sender {
    ReplayWindow window;
    WallMs latest_sent_at = 0;  // latest of the accepted datagrams, by the sender's clock
  };
  bool accept_once(WallMs now, const Endpoint& sender, std::string_view bytes, WallMs sent_at);

  std::vector<Key> keys_;
  Endpoint self_;
  WallMs session_;
  std::uint32_t counter_ = 0;
  std::map<Endpoint, Sender> senders_;
};

}  // namespace dispatcher::fleet

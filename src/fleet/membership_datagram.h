// Wire format of the membership protocol: message type, encoder and decoder.
//
// A datagram has at most 256 bytes; integers are in network byte order:
//   version            1 byte   0x22; load gossip uses 0x10 to 0x1f as its first byte
//   kind               1 byte   1 ping, 2 ack, 3 ping-req, 4 gossip, 5 compare
//   sequence number    4 bytes  of the ping that is sent or acknowledged
//   incarnation        4 bytes  of the sender
//   digest             8 bytes  of the sender's table of live members
//   target             6 bytes  ping-req: the member to ping; ack: the member that answered;
//                               otherwise zeros
//   payload size       1 byte
//   updates           11 bytes each: address 4, port 2, state 1, incarnation 4; a compare datagram
//                               has the 16 part digests of the table instead, 8 bytes each
//   payload                     opaque to the membership protocol
//   checksum           4 bytes  XXH32 of everything before it; detects corruption, not forgery
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpoint.h"

namespace dispatcher::fleet {

inline constexpr std::size_t kMaxDatagramBytes = 256;
inline constexpr std::size_t kDigestParts = 16;  // parts of the table, each with its own digest

// wire: the numbers are those of the datagram and of the hot restart messages.
enum class MemberState : std::uint8_t { Alive = 1, Suspect = 2, Dead = 3, Left = 4 };
const char* to_text(MemberState state);

// True for a member that no longer takes part: dead or left.
bool is_gone(MemberState state);

// The state of a member as reported by some member, possibly the same one.
struct MemberUpdate {
  Endpoint endpoint;
  MemberState state = MemberState::Alive;
  std::uint32_t incarnation = 0;
};

// wire: kind
enum class DatagramKind : std::uint8_t {
  Ping = 1,
  Ack = 2,
  PingRequest = 3,
  Gossip = 4,
  Compare = 5
};

using PartDigests = std::array<std::uint64_t, kDigestParts>;

struct MembershipDatagram {
  DatagramKind kind = DatagramKind::Ping;
  std::uint32_t sequence = 0;
  std::uint32_t incarnation = 0;  // of the sender
  std::uint64_t digest = 0;       // of the sender's table
  Endpoint target{};
  std::vector<MemberUpdate> updates{};  // empty in a compare datagram
  PartDigests part_digests{};           // in a compare datagram only
  std::string_view payload{};           // not owned; after decoding a part of the input
};

// Returns the number of updates that fit into a datagram of `max_bytes` without payload.
std::size_t max_updates(std::size_t max_bytes);

// Returns the bytes of payload that can be added to `datagram` within `max_bytes`.
std::size_t payload_capacity(const MembershipDatagram& datagram, std::size_t max_bytes);

std::string encode(const MembershipDatagram& datagram);

// Returns nullopt unless the bytes are a complete, valid datagram of this version.
std::optional<MembershipDatagram> decode_membership_datagram(std::string_view bytes);

}  // namespace dispatcher::fleet

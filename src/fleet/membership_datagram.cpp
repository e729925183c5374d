#include "fleet/membership_datagram.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

#include "fleet/byte_order.h"

namespace dispatcher::fleet {
namespace {

constexpr unsigned char kVersion = 0x22;

// Offsets and sizes in bytes.
constexpr std::size_t kVersionOffset = 0;
constexpr std::size_t kKindOffset = 1;
constexpr std::size_t kSequenceOffset = 2;
constexpr std::size_t kIncarnationOffset = 6;
constexpr std::size_t kDigestOffset = 10;
constexpr std::size_t kTargetOffset = 18;
constexpr std::size_t kPayloadSizeOffset = 24;
constexpr std::size_t kHeaderBytes = 25;
constexpr std::size_t kUpdateBytes = 11;
constexpr std::size_t kUpdateStateOffset = 6;
constexpr std::size_t kUpdateIncarnationOffset = 7;
constexpr std::size_t kPartDigestBytes = 8;
constexpr std::size_t kChecksumBytes = 4;
constexpr std::size_t kMaxPayloadBytes = 255;  // the size field has one byte

std::uint32_t checksum(std::string_view bytes) {
  return XXH32(bytes.data(), bytes.size(), 0);
}

std::size_t body_bytes(const MembershipDatagram& datagram) {
  if (datagram.kind == DatagramKind::Compare)
    return kDigestParts * kPartDigestBytes;
  return datagram.updates.size() * kUpdateBytes;
}

void append_header(std::string& out, const MembershipDatagram& datagram) {
  append_integer(out, kVersion, 1);
  append_integer(out, static_cast<std::uint64_t>(datagram.kind), 1);
  append_integer(out, datagram.sequence, 4);
  append_integer(out, datagram.incarnation, 4);
  append_integer(out, datagram.digest, 8);
  append_endpoint(out, datagram.target);
  append_integer(out, datagram.payload.size(), 1);
}

void append_update(std::string& out, const MemberUpdate& update) {
  append_endpoint(out, update.endpoint);
  append_integer(out, static_cast<std::uint64_t>(update.state), 1);
  append_integer(out, update.incarnation, 4);
}

std::optional<MemberUpdate> read_update(std::string_view bytes, std::size_t offset) {
  std::uint64_t state = read_integer(bytes, offset + kUpdateStateOffset, 1);
  if (state < static_cast<std::uint64_t>(MemberState::Alive) ||
      state > static_cast<std::uint64_t>(MemberState::Left))
    return std::nullopt;
  return MemberUpdate{.endpoint = read_endpoint(bytes, offset),
                      .state = static_cast<MemberState>(state),
                      .incarnation = static_cast<std::uint32_t>(
                          read_integer(bytes, offset + kUpdateIncarnationOffset, 4))};
}

// Reads the whole body. Returns false unless it consists of complete, valid updates.
bool read_updates(std::string_view body, std::vector<MemberUpdate>& updates) {
  if (body.size() % kUpdateBytes != 0)
    return false;
  updates.reserve(body.size() / kUpdateBytes);
  for (std::size_t offset = 0; offset < body.size(); offset += kUpdateBytes) {
    auto update = read_update(body, offset);
    if (!update)
      return false;
    updates.push_back(*update);
  }
  return true;
}

bool read_part_digests(std::string_view body, PartDigests& digests) {
  if (body.size() != kDigestParts * kPartDigestBytes)
    return false;
  for (std::size_t i = 0; i < kDigestParts; ++i)
    digests[i] = read_integer(body, i * kPartDigestBytes, kPartDigestBytes);
  return true;
}

std::optional<DatagramKind> read_kind(std::string_view bytes) {
  std::uint64_t kind = read_integer(bytes, kKindOffset, 1);
  if (kind < static_cast<std::uint64_t>(DatagramKind::Ping) ||
      kind > static_cast<std::uint64_t>(DatagramKind::Compare))
    return std::nullopt;
  return static_cast<DatagramKind>(kind);
}

// Checks length, version and checksum.
bool is_intact(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes + kChecksumBytes || bytes.size() > kMaxDatagramBytes)
    return false;
  std::size_t checked_bytes = bytes.size() - kChecksumBytes;
  return read_integer(bytes, kVersionOffset, 1) == kVersion &&
         read_integer(bytes, checked_bytes, kChecksumBytes) ==
             checksum(bytes.substr(0, checked_bytes));
}

}  // namespace

const char* to_text(MemberState state) {
  switch (state) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Dead:
      return "dead";
    case MemberState::Left:
      return "left";
  }
  return "";
}

bool is_gone(MemberState state) {
  return state == MemberState::Dead || state == MemberState::Left;
}

std::size_t max_updates(std::size_t max_bytes) {
  return (max_bytes - kHeaderBytes - kChecksumBytes) / kUpdateBytes;
}

std::size_t payload_capacity(const MembershipDatagram& datagram, std::size_t max_bytes) {
  return std::min(kMaxPayloadBytes,
                  max_bytes - kChecksumBytes - kHeaderBytes - body_bytes(datagram));
}

std::string encode(const MembershipDatagram& datagram) {
  std::string out;
  out.reserve(kHeaderBytes + body_bytes(datagram) + datagram.payload.size() + kChecksumBytes);
  append_header(out, datagram);
  if (datagram.kind == DatagramKind::Compare) {
    for (std::uint64_t digest : datagram.part_digests)
      append_integer(out, digest, kPartDigestBytes);
  }
  for (const MemberUpdate& update : datagram.updates)
    append_update(out, update);
  out += datagram.payload;
  append_integer(out, checksum(out), kChecksumBytes);
  return out;
}

std::optional<MembershipDatagram> decode_membership_datagram(std::string_view bytes) {
  if (!is_intact(bytes))
    return std::nullopt;
  auto kind = read_kind(bytes);
  std::size_t payload_bytes = read_integer(bytes, kPayloadSizeOffset, 1);
  std::string_view rest = bytes.substr(kHeaderBytes, bytes.size() - kHeaderBytes - kChecksumBytes);
  if (!kind || payload_bytes > rest.size())
    return std::nullopt;
  std::size_t body_size = rest.size() - payload_bytes;
  MembershipDatagram datagram{
      .kind = *kind,
      .sequence = static_cast<std::uint32_t>(read_integer(bytes, kSequenceOffset, 4)),
      .incarnation = static_cast<std::uint32_t>(read_integer(bytes, kIncarnationOffset, 4)),
      .digest = read_integer(bytes, kDigestOffset, 8),
      .target = read_endpoint(bytes, kTargetOffset),
      .updates = {},
      .part_digests = {},
      .payload = rest.substr(body_size)};
  std::string_view body = rest.substr(0, body_size);
  bool valid = *kind == DatagramKind::Compare ? read_part_digests(body, datagram.part_digests)
                                              : read_updates(body, datagram.updates);
  if (!valid)
    return std::nullopt;
  return datagram;
}

}  // namespace dispatcher::fleet

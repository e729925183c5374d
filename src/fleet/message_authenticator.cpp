#include "fleet/message_authenticator.h"

#include <sodium.h>

#include <algorithm>
#include <limits>
#include <stdexcept>

#include "fleet/byte_order.h"

namespace dispatcher::fleet {
namespace {

constexpr unsigned char kMarker = 0x31;

// Offsets and sizes in bytes.
constexpr std::size_t kKeyIdOffset = 1;
constexpr std::size_t kSessionOffset = 2;
constexpr std::size_t kAgeOffset = 8;
constexpr std::size_t kCounterOffset = 12;
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kHashBytes = 16;
static_assert(kHeaderBytes + kHashBytes == MessageAuthenticator::kOverhead);

constexpr MessageAuthenticator::WallMs kMaxSessionMs = 0x7fffffff;  // then a new session begins
// From this number of senders on, those whose datagrams are all too old to be replayed are removed.
constexpr std::size_t kSenderCleanupThreshold = 1024;

using Hash = std::array<unsigned char, kHashBytes>;

Hash keyed_hash(const Key& key, const Endpoint& sender, const Endpoint& receiver,
                std::string_view bytes) {
  std::string endpoints;
  append_endpoint(endpoints, sender);
  append_endpoint(endpoints, receiver);
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.secret.data(), key.secret.size(), kHashBytes);
  for (std::string_view part : {std::string_view(endpoints), bytes}) {
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                              part.size());
  }
  Hash hash{};
  crypto_generichash_final(&state, hash.data(), hash.size());
  return hash;
}

}  // namespace

const char* to_text(VerifyError error) {
  switch (error) {
    case VerifyError::NotSigned:
      return "not sealed";
    case VerifyError::UnknownKey:
      return "unknown key";
    case VerifyError::WrongHash:
      return "wrong hash";
    case VerifyError::Stale:
      return "too old, or of a clock that is wrong";
    case VerifyError::Replayed:
      return "came before";
  }
  return "";
}

MessageAuthenticator::MessageAuthenticator(std::vector<Key> keys, Endpoint self, WallMs now)
    : keys_(std::move(keys)), self_(self), session_(now) {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium failed to initialize");
}

std::string MessageAuthenticator::sign(WallMs now, const Endpoint& receiver,
                                       std::string_view content) {
  if (now > session_ + kMaxSessionMs || counter_ == std::numeric_limits<std::uint32_t>::max()) {
    session_ = now;
    counter_ = 0;
  }
  ++counter_;
  // 0 while the clock is behind the session's start, after it was set back.
  WallMs age = now > session_ ? now - session_ : 0;
  std::string out;
  append_integer(out, kMarker, 1);
  append_integer(out, keys_.front().id, 1);
  append_integer(out, session_, 6);
  append_integer(out, age, 4);
  append_integer(out, counter_, 4);
  out += content;
  Hash hash = keyed_hash(keys_.front(), self_, receiver, out);
  out.append(reinterpret_cast<const char*>(hash.data()), hash.size());
  return out;
}

tl::expected<std::string_view, VerifyError> MessageAuthenticator::verify(WallMs now,
                                                                         const Endpoint& sender,
                                                                         std::string_view bytes) {
  if (bytes.size() < kOverhead || static_cast<unsigned char>(bytes[0]) != kMarker)
    return tl::unexpected(VerifyError::NotSigned);
  auto key = std::ranges::find(keys_, read_integer(bytes, kKeyIdOffset, 1), &Key::id);
  if (key == keys_.end())
    return tl::unexpected(VerifyError::UnknownKey);
  std::string_view hashed = bytes.substr(0, bytes.size() - kHashBytes);
  Hash hash = keyed_hash(*key, sender, self_, hashed);
  if (sodium_memcmp(hash.data(), bytes.data() + hashed.size(), kHashBytes) != 0)
    return tl::unexpected(VerifyError::WrongHash);
  WallMs sent_at = read_integer(bytes, kSessionOffset, 6) + read_integer(bytes, kAgeOffset, 4);
  if (sent_at + kMaxClockSkewMs < now || now + kMaxClockSkewMs < sent_at)
    return tl::unexpected(VerifyError::Stale);
  if (!accept_once(now, sender, bytes, sent_at))
    return tl::unexpected(VerifyError::Replayed);
  return hashed.substr(kHeaderBytes);
}

bool MessageAuthenticator::accept_once(WallMs now, const Endpoint& sender, std::string_view bytes,
                                       WallMs sent_at) {
  // All earlier datagrams of such a sender are rejected as stale, so its window can be reset. It is
  // then accepted again even if its clock was set back.
  auto outdated = [&](const Sender& candidate) {
    return candidate.latest_sent_at + 2 * kMaxClockSkewMs < now;
  };
  if (senders_.size() >= kSenderCleanupThreshold)
    std::erase_if(senders_, [&](const auto& entry) { return outdated(entry.second); });
  Sender& known = senders_[sender];
  WallMs session = read_integer(bytes, kSessionOffset, 6);
  if (outdated(known) || session > known.window.session())
    known = {};
  auto counter = static_cast<std::uint32_t>(read_integer(bytes, kCounterOffset, 4));
  if (!known.window.accept(session, counter))
    return false;
  known.latest_sent_at = std::max(known.latest_sent_at, sent_at);
  return true;
}

}  // namespace dispatcher::fleet

#include "fleet/message_authenticator.h"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>

#include "fleet/byte_order.h"

namespace dispatcher::fleet {
namespace {

constexpr unsigned char kSealed = 0x31;
constexpr std::size_t kHead = 16, kHash = 16;
constexpr MessageAuthenticator::Wall kLongestSession = 0x7fffffff;
constexpr std::size_t kManySenders =
    1024;  // from then on those that are too old to be replayed are let go

void hash(unsigned char* out, const Key& key, const Endpoint& from, const Endpoint& to,
          std::string_view bytes) {
  std::string who;
  put(who, from);
  put(who, to);
  crypto_generichash_state state;
  crypto_generichash_init(&state, key.secret.data(), key.secret.size(), kHash);
  auto add = [&](std::string_view b) {
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(b.data()), b.size());
  };
  add(who);
  add(bytes);
  crypto_generichash_final(&state, out, kHash);
}

}  // namespace

const char* MessageAuthenticator::to_text(Fault fault) {
  switch (fault) {
    case Fault::None:
      return "none";
    case Fault::NotSealed:
      return "not sealed";
    case Fault::UnknownKey:
      return "unknown key";
    case Fault::Forged:
      return "wrong hash";
    case Fault::Stale:
      return "too old, or of a clock that is wrong";
    case Fault::Replayed:
      return "came before";
  }
  return "";
}

MessageAuthenticator::MessageAuthenticator(std::vector<Key> keys, Endpoint self, Wall now)
    : keys_(std::move(keys)), self_(self), session_(now) {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium does not start");
}

std::string MessageAuthenticator::close(Wall now, const Endpoint& to, std::string_view plain) {
  // A clock that was put back must not make a session look older than what was said in it.
  if (now > session_ + kLongestSession || counter_ == UINT32_MAX) {
    session_ = now;
    counter_ = 0;
  }
  std::string out;
  put(out, kSealed, 1);
  put(out, keys_.front().id, 1);
  put(out, session_, 6);
  put(out, now > session_ ? now - session_ : 0, 4);
  put(out, ++counter_, 4);
  out += plain;
  unsigned char tag[kHash];
  hash(tag, keys_.front(), self_, to, out);
  out.append(reinterpret_cast<const char*>(tag), kHash);
  return out;
}

MessageAuthenticator::Fault MessageAuthenticator::open(Wall now, const Endpoint& from,
                                                       std::string_view bytes,
                                                       std::string_view& plain) {
  if (bytes.size() < kHead + kHash || static_cast<unsigned char>(bytes[0]) != kSealed)
    return Fault::NotSealed;
  auto key = std::ranges::find(keys_, get(bytes, 1, 1), &Key::id);
  if (key == keys_.end())
    return Fault::UnknownKey;
  std::size_t body = bytes.size() - kHash;
  unsigned char tag[kHash];
  hash(tag, *key, from, self_, bytes.substr(0, body));
  if (sodium_memcmp(tag, bytes.data() + body, kHash) != 0)
    return Fault::Forged;
  Wall session = get(bytes, 2, 6);
  Wall at = session + get(bytes, 8, 4);
  if (at + kMostSkew < now || now + kMostSkew < at)
    return Fault::Stale;
  if (seen_.size() >= kManySenders)
    std::erase_if(seen_, [&](const auto& s) { return s.second.at + 2 * kMostSkew < now; });
  Seen& seen = seen_[from];
  // What is older than this is refused as stale anyway. A member whose clock was put back is heard
  // again.
  if (seen.at + 2 * kMostSkew < now)
    seen = {};
  if (!fresh(seen, session, static_cast<std::uint32_t>(get(bytes, 12, 4))))
    return Fault::Replayed;
  seen.at = std::max(seen.at, at);
  plain = bytes.substr(kHead, body - kHead);
  return Fault::None;
}

bool MessageAuthenticator::fresh(Seen& seen, Wall session, std::uint32_t counter) {
  if (session < seen.session)
    return false;
  if (session > seen.session)
    seen = {session, 0, 0, 0};
  if (counter > seen.highest) {
    std::uint32_t more = counter - seen.highest;
    seen.before =
        more > kWindow ? 0 : (more == kWindow ? 0 : seen.before << more) | 1ULL << (more - 1);
    seen.highest = counter;
    return true;
  }
  std::uint32_t back = seen.highest - counter;
  if (back == 0 || back > kWindow || seen.before >> (back - 1) & 1)
    return false;
  seen.before |= 1ULL << (back - 1);
  return true;
}

}  // namespace dispatcher::fleet

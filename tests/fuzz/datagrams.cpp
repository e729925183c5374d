// libFuzzer on the decoders of datagrams from other dispatchers: membership, load gossip and
// authentication, chosen by the first byte. The checksum of a membership datagram is made right, so
// that the fuzzer reaches what lies behind it.
#include "fleet/load_gossip.h"
#include "fleet/membership_view.h"
#include "fleet/message_authenticator.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdlib>

using namespace dispatcher::fleet;

namespace {

void must(bool holds) {
  if (!holds)
    std::abort();
}

void view(std::string_view in) {
  MembershipView::Options o;
  o.self = {1, 1};
  o.others = {{2, 1}, {3, 1}};
  MembershipView v(
      o, Time{}, [](const Endpoint&, const std::string& bytes) { must(bytes.size() <= 256); },
      [](const Endpoint&, State, std::uint32_t, bool) {});
  // Several datagrams, each after a byte of its length.
  for (int i = 1; !in.empty() && i < 50; ++i) {
    std::size_t n = std::min<std::size_t>(static_cast<unsigned char>(in[0]), in.size() - 1);
    std::string one(in.substr(1, n));
    in.remove_prefix(1 + n);
    XXH32_hash_t check = XXH32(one.data(), one.size(), 0);
    for (int shift = 24; shift >= 0; shift -= 8)
      one += static_cast<char>(check >> shift & 0xff);
    v.take(Time(Duration(i * 37)), {2 + static_cast<std::uint32_t>(i % 3), 1}, one);
    v.tick(Time(Duration(i * 37)));
  }
  must(v.members().size() <= 4096);
}

void loads(std::string_view in) {
  LoadGossip l(0, 3);
  auto changed = [](const std::string&, int jobs) {
    must(jobs >= 0 && jobs <= kMaxJobsPerWorker);
  };
  l.list({"s-1", "s-2"}, changed);
  l.take(Time{}, 1, in, changed);
  l.take(Time{}, 2, in.substr(in.size() / 2), changed);
  l.expire(Time(Duration(20'000)), changed);
}

void authentication(std::string_view in) {
  Key key;
  MessageAuthenticator a({key}, {1, 1}, 1000);
  MessageAuthenticator b({key}, {2, 1}, 1000);
  must(!b.verify(1000, {1, 1}, in));  // nobody guesses a hash
  std::string signed_bytes = a.sign(1000, {2, 1}, in);
  auto content = b.verify(1000, {1, 1}, signed_bytes);
  must(content.has_value());
  must(*content == in);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0)
    return 0;
  std::string_view in(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % 3) {
    case 0:
      view(in);
      break;
    case 1:
      loads(in);
      break;
    case 2:
      authentication(in);
      break;
  }
  return 0;
}

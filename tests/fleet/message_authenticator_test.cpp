// Authentication of the fleet's datagrams, and its key file.
#include "fleet/message_authenticator.h"

#include <sys/stat.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

#include "fleet/key_file.h"

using namespace dispatcher::fleet;

namespace {

constexpr MessageAuthenticator::WallMs kNow = 1'800'000'000'000;
const Endpoint kA{0x7f000001, 7000}, kB{0x7f000002, 7000}, kC{0x7f000003, 7000};

Key key(unsigned char id, unsigned char fill) {
  Key k;
  k.id = id;
  k.secret.fill(fill);
  return k;
}

// Nothing: the datagram was accepted.
using Verdict = std::optional<VerifyError>;
constexpr Verdict kAccepted = std::nullopt;

Verdict verdict(const tl::expected<std::string_view, VerifyError>& content) {
  return content ? kAccepted : Verdict(content.error());
}

struct Pair {
  MessageAuthenticator a{{key(1, 7)}, kA, kNow};
  MessageAuthenticator b{{key(1, 7)}, kB, kNow};
  std::string_view plain;
  // What b makes of a datagram; the content of an accepted one is in `plain`.
  Verdict receive(const std::string& sealed, MessageAuthenticator::WallMs now = kNow,
                  const Endpoint& from = kA) {
    auto content = b.verify(now, from, sealed);
    plain = content.value_or(plain);
    return verdict(content);
  }
};

}  // namespace

TEST_CASE("what is sealed opens once, where it was meant for, with every byte as it was") {
  Pair p;
  std::string sealed = p.a.sign(kNow, kB, "what one says");
  CHECK(sealed.size() == 13 + MessageAuthenticator::kOverhead);
  for (std::size_t i = 0; i < sealed.size(); ++i) {
    for (int bit = 0; bit < 8; ++bit) {
      std::string spoilt = sealed;
      spoilt[i] = static_cast<char>(spoilt[i] ^ 1 << bit);
      CHECK(p.receive(spoilt) != kAccepted);
      CHECK(p.receive(sealed.substr(0, i)) != kAccepted);
    }
  }
  CHECK(p.receive(sealed, kNow, kC) == VerifyError::WrongHash);  // somebody else sends it on
  MessageAuthenticator c({key(1, 7)}, kC, kNow);
  CHECK(verdict(c.verify(kNow, kA, sealed)) == VerifyError::WrongHash);  // or to somebody else
  REQUIRE(p.receive(sealed) == kAccepted);
  CHECK(p.plain == "what one says");
  CHECK(p.receive(sealed) == VerifyError::Replayed);
  MessageAuthenticator foreign({key(1, 8)}, kA, kNow);
  MessageAuthenticator other({key(2, 7)}, kA, kNow);
  CHECK(p.receive(foreign.sign(kNow, kB, "x")) == VerifyError::WrongHash);
  CHECK(p.receive(other.sign(kNow, kB, "x")) == VerifyError::UnknownKey);
  CHECK(p.receive("") == VerifyError::NotSigned);
  CHECK(p.receive(std::string(200, '\x21')) == VerifyError::NotSigned);
}

TEST_CASE("what comes out of order counts, within a window, and what was recorded does not, ever") {
  Pair p;
  std::vector<std::string> sent;
  for (int i = 0; i < 200; ++i)
    sent.push_back(p.a.sign(kNow, kB, std::to_string(i)));
  CHECK(p.receive(sent[100]) == kAccepted);
  for (int i : {99, 37, 35, 98, 37, 102, 101, 199, 135, 134}) {
    bool again = i == 37 && p.plain == "98";
    bool old = i == 35 || i == 134;
    CHECK(p.receive(sent[i]) == (again || old ? Verdict(VerifyError::Replayed) : kAccepted));
  }
  SECTION("also where the receiver has started again and knows of no counter") {
    MessageAuthenticator fresh({key(1, 7)}, kB, kNow + 31'000);
    CHECK(verdict(fresh.verify(kNow + 31'000, kA, sent[150])) == VerifyError::Stale);
    CHECK(verdict(fresh.verify(kNow - 31'000, kA, sent[150])) == VerifyError::Stale);
  }
  SECTION("a sender that has started again begins anew, and what it said before is over") {
    MessageAuthenticator again({key(1, 7)}, kA, kNow + 2000);
    CHECK(p.receive(again.sign(kNow + 2000, kB, "x"), kNow + 2000) == kAccepted);
    CHECK(p.receive(sent[160], kNow + 2000) == VerifyError::Replayed);
  }
  SECTION("one whose clock was put back is heard once the old time can no longer be replayed") {
    MessageAuthenticator back({key(1, 7)}, kA, kNow - 10'000);
    CHECK(p.receive(back.sign(kNow + 1000, kB, "x"), kNow + 1000) == VerifyError::Replayed);
    CHECK(p.receive(back.sign(kNow + 61'000, kB, "y"), kNow + 61'000) == kAccepted);
  }
}

TEST_CASE("a key is exchanged while both old and new are spoken") {
  Pair p;
  p.b.replace_keys({key(1, 7), key(2, 9)});
  CHECK(p.receive(p.a.sign(kNow, kB, "old")) == kAccepted);
  p.a.replace_keys({key(2, 9), key(1, 7)});
  CHECK(p.receive(p.a.sign(kNow, kB, "new")) == kAccepted);
  p.b.replace_keys({key(2, 9)});
  CHECK(p.receive(p.a.sign(kNow, kB, "new")) == kAccepted);
  p.a.replace_keys({key(1, 7)});
  CHECK(p.receive(p.a.sign(kNow, kB, "too late")) == VerifyError::UnknownKey);
}

TEST_CASE("a flood of sessions that were real does not fill the memory") {
  MessageAuthenticator b({key(1, 7)}, kB, kNow);
  for (std::uint32_t i = 0; i < 5000; ++i) {
    Endpoint from{0x7f010000 + i, 7000};
    MessageAuthenticator a({key(1, 7)}, from, kNow + i * 1000);
    REQUIRE(verdict(b.verify(kNow + i * 1000, from, a.sign(kNow + i * 1000, kB, "x"))) ==
            kAccepted);
  }
  CHECK(b.known_senders() <= 1024);
}

TEST_CASE("a file of keys is read whole, or told where it is wrong") {
  char folder[] = "/tmp/dispatcher-keys-XXXXXX";
  REQUIRE(mkdtemp(folder));
  std::string path = std::string(folder) + "/keys";
  auto write = [&](const std::string& text, mode_t mode = 0600) {
    std::ofstream(path, std::ios::trunc) << text;
    chmod(path.c_str(), mode);
  };
  auto fault = [&] {
    try {
      read_keys_file(path);
      return std::string("none");
    } catch (const KeyFileError& e) {
      return std::string(e.what()).substr(path.size());
    }
  };
  CHECK(fault() == ":1:1: cannot be read");
  std::string one = new_key(3);
  std::string two = new_key(4);
  CHECK(one != new_key(3));
  write(one + two);
  auto keys = read_keys_file(path);
  REQUIRE(keys.size() == 2);
  CHECK((keys[0].id == 3 && keys[1].id == 4 && keys[0].secret != keys[1].secret));
  write(one + one);
  CHECK(fault() == ":2:1: there is another key of this id");
  write("");
  CHECK(fault() == ":1:1: there is no key in it");
  write("key { id: 1 secret: \"abc\" }\n");
  CHECK(fault() == ":1:1: secret must be 64 hexadecimal digits");
  write("\nkey { id: 256 secret: \"" + std::string(64, 'a') + "\" }\n");
  CHECK(fault() == ":2:1: id must be from 0 to 255");
  write("key { id: 1 }\n");
  CHECK(fault().find("secret") != std::string::npos);
  write("keys\n");
  CHECK(fault().find(":2:1:") == 0);
  write(std::string(70'000, ' '));
  CHECK(fault() == ":1:1: is longer than a key file can be");
  write(one, 0640);
  CHECK(fault() == ":1:1: others than its owner may use it; chmod 600 mends that");
  std::filesystem::remove(path);
  std::filesystem::create_directory(path);
  CHECK(fault() == ":1:1: is no file");
  std::filesystem::remove_all(folder);
}

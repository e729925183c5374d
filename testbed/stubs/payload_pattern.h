// Generated test bodies: any part can be computed from its offset, and the SHA-256 verifies them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dispatcher::testbed {

// An incremental SHA-256 digest.
class Sha256 {
 public:
  Sha256();
  void add(std::string_view bytes);
  // Finishes the digest and returns it as 64 hexadecimal digits. May be called once.
  std::string hex();

 private:
  std::shared_ptr<void> state_;
};

// Writes bytes [from, from + count) of the body generated from `seed`. No two parts of a body are
// equal, so that a lost or duplicated piece changes the digest.
void fill_pattern(std::uint64_t seed, std::uint64_t from, char* out, std::size_t count);

// The SHA-256 of the first `count` bytes of the body generated from `seed`.
std::string pattern_sha(std::uint64_t seed, std::uint64_t count);

}  // namespace dispatcher::testbed

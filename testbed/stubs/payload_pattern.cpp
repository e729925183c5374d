#include "testbed/stubs/payload_pattern.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>

namespace dispatcher::testbed {
namespace {

constexpr std::size_t kBlockBytes = 64 << 10;

// The word of the splitmix64 sequence with the given index.
std::uint64_t pattern_word(std::uint64_t seed, std::uint64_t index) {
  std::uint64_t word = (seed + index + 1) * 0x9e3779b97f4a7c15U;
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9U;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebU;
  return word ^ (word >> 31);
}

EVP_MD_CTX* context(const std::shared_ptr<void>& state) {
  return static_cast<EVP_MD_CTX*>(state.get());
}

}  // namespace

Sha256::Sha256()
    : state_(EVP_MD_CTX_new(),
             [](void* state) { EVP_MD_CTX_free(static_cast<EVP_MD_CTX*>(state)); }) {
  EVP_DigestInit_ex(context(state_), EVP_sha256(), nullptr);
}

void Sha256::add(std::string_view bytes) {
  EVP_DigestUpdate(context(state_), bytes.data(), bytes.size());
}

std::string Sha256::hex() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_DigestFinal_ex(context(state_), digest.data(), &size);
  std::string text;
  for (unsigned int i = 0; i < size; ++i) {
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x", digest.at(i));
    text += digits.data();
  }
  return text;
}

void fill_pattern(std::uint64_t seed, std::uint64_t from, char* out, std::size_t count) {
  std::size_t done = 0;
  while (done < count) {
    std::uint64_t at = from + done;
    std::uint64_t word = pattern_word(seed, at / sizeof word);
    std::size_t skip = at % sizeof word;
    std::size_t piece = std::min<std::size_t>(sizeof word - skip, count - done);
    std::memcpy(out + done, reinterpret_cast<const char*>(&word) + skip, piece);
    done += piece;
  }
}

std::string pattern_sha(std::uint64_t seed, std::uint64_t count) {
  Sha256 sha;
  std::string block(kBlockBytes, 0);
  for (std::uint64_t done = 0; done < count; done += kBlockBytes) {
    std::size_t piece = std::min<std::uint64_t>(kBlockBytes, count - done);
    fill_pattern(seed, done, block.data(), piece);
    sha.add({block.data(), piece});
  }
  return sha.hex();
}

}  // namespace dispatcher::testbed

#include "fleet/key_file.h"

#include <fcntl.h>
#include <google/protobuf/text_format.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <set>
#include <tuple>

#include "keys.pb.h"
#include "settings/parse_error_collector.h"
#include "transport/descriptor.h"

namespace dispatcher::fleet {
namespace {

using google::protobuf::TextFormat;
using settings::ParseErrorCollector;

constexpr std::size_t kMaxFileBytes = 1 << 16;
constexpr unsigned kMaxKeyId = 255;
constexpr std::size_t kSecretBytes = std::tuple_size_v<decltype(Key::secret)>;

// Throws KeyFileError if the file cannot be read or is accessible to users other than its owner.
std::string read_private_file(const std::string& path) {
  auto make_error = [&](const std::string& reason) {
    return KeyFileError(path + ":1:1: " + reason);
  };
  // Non-blocking, since opening a named pipe would otherwise wait for a writer.
  transport::Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat status {};
  if (!file || fstat(file.get(), &status) != 0)
    throw make_error("cannot be read");
  if (!S_ISREG(status.st_mode))
    throw make_error("is not a regular file");
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    throw make_error("is accessible to users other than its owner; run chmod 600");
  std::string text(kMaxFileBytes + 1, '\0');
  ssize_t count = read(file.get(), text.data(), text.size());
  if (count < 0)
    throw make_error("cannot be read");
  if (static_cast<std::size_t>(count) > kMaxFileBytes)
    throw make_error("is larger than 64 KiB");
  text.resize(static_cast<std::size_t>(count));
  return text;
}

// Returns nullopt unless the text is 64 hexadecimal digits.
std::optional<decltype(Key::secret)> parse_secret(const std::string& hex) {
  decltype(Key::secret) secret{};
  std::size_t size = 0;
  if (hex.size() != 2 * kSecretBytes ||
      sodium_hex2bin(secret.data(), secret.size(), hex.data(), hex.size(), nullptr, &size,
                     nullptr) != 0 ||
      size != secret.size())
    return std::nullopt;
  return secret;
}

std::vector<Key> validate_keys(const keys::Keys& parsed, const TextFormat::ParseInfoTree& locations,
                               ParseErrorCollector& errors) {
  std::vector<Key> keys;
  std::set<unsigned> ids;
  const auto* field = keys::Keys::descriptor()->FindFieldByName("key");
  for (int i = 0; i < parsed.key_size(); ++i) {
    const keys::Key& key = parsed.key(i);
    auto location = locations.GetLocation(field, i);
    auto secret = parse_secret(key.secret());
    if (key.id() > kMaxKeyId)
      errors.AddError(location.line, location.column, "id must be from 0 to 255");
    if (!ids.insert(key.id()).second)
      errors.AddError(location.line, location.column, "duplicate key id");
    if (!secret)
      errors.AddError(location.line, location.column, "secret must be 64 hexadecimal digits");
    keys.push_back(
        {.id = static_cast<std::uint8_t>(key.id()), .secret = secret.value_or(Key{}.secret)});
  }
  if (keys.empty())
    errors.AddError(0, 0, "contains no key");
  return keys;
}

}  // namespace

std::vector<Key> read_key_file(const std::string& path) {
  std::string text = read_private_file(path);
  ParseErrorCollector errors(path);
  TextFormat::ParseInfoTree locations;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&errors);
  parser.WriteLocationsTo(&locations);
  keys::Keys parsed;
  if (!parser.ParseFromString(text, &parsed))
    throw KeyFileError(errors.text());
  std::vector<Key> keys = validate_keys(parsed, locations, errors);
  if (!errors.text().empty())
    throw KeyFileError(errors.text());
  return keys;
}

std::string generate_key(unsigned id) {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium failed to initialize");
  std::array<unsigned char, kSecretBytes> secret{};
  randombytes_buf(secret.data(), secret.size());
  std::array<char, 2 * kSecretBytes + 1> hex{};  // with the terminating zero
  sodium_bin2hex(hex.data(), hex.size(), secret.data(), secret.size());
  return "key { id: " + std::to_string(id) + " secret: \"" + hex.data() + "\" }\n";
}

}  // namespace dispatcher::fleet

#include "fleet/key_file.h"

#include <fcntl.h>
#include <google/protobuf/text_format.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <set>

#include "keys.pb.h"
#include "settings/parse_error_collector.h"
#include "transport/descriptor.h"

namespace dispatcher::fleet {
namespace {

constexpr std::size_t kLongestFile = 1 << 16;

std::string read_private(const std::string& path) {
  auto bad = [&](const std::string& why) {
    return BadKeys(path + ":1:1: " + why);
  };
  transport::Descriptor file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
  struct stat about {};
  if (!file || fstat(file.get(), &about) != 0)
    throw bad("cannot be read");
  if (!S_ISREG(about.st_mode))
    throw bad("is no file");
  if (about.st_mode & (S_IRWXG | S_IRWXO))
    throw bad("others than its owner may use it; chmod 600 mends that");
  std::string text(kLongestFile + 1, '\0');
  ssize_t n = read(file.get(), text.data(), text.size());
  if (n < 0)
    throw bad("cannot be read");
  if (static_cast<std::size_t>(n) > kLongestFile)
    throw bad("is longer than a key file can be");
  text.resize(static_cast<std::size_t>(n));
  return text;
}

}  // namespace

std::vector<Key> read_keys_file(const std::string& path) {
  using google::protobuf::TextFormat;
  std::string text = read_private(path);
  settings::ParseErrorCollector faults(path);
  TextFormat::ParseInfoTree where;
  TextFormat::Parser parser;
  parser.RecordErrorsTo(&faults);
  parser.WriteLocationsTo(&where);
  keys::Keys all;
  if (!parser.ParseFromString(text, &all))
    throw BadKeys(faults.text());
  std::vector<Key> out;
  std::set<unsigned> ids;
  const auto* field = keys::Keys::descriptor()->FindFieldByName("key");
  for (int i = 0; i < all.key_size(); ++i) {
    auto at = where.GetLocation(field, i);
    const keys::Key& k = all.key(i);
    Key one{static_cast<std::uint8_t>(k.id()), {}};
    std::size_t size = 0;
    if (k.id() > 255)
      faults.AddError(at.line, at.column, "id must be from 0 to 255");
    if (!ids.insert(k.id()).second)
      faults.AddError(at.line, at.column, "there is another key of this id");
    if (sodium_hex2bin(one.secret.data(), one.secret.size(), k.secret().data(), k.secret().size(),
                       nullptr, &size, nullptr) != 0 ||
        size != one.secret.size() || k.secret().size() != 2 * size)
      faults.AddError(at.line, at.column, "secret must be 64 hexadecimal digits");
    out.push_back(one);
  }
  if (out.empty())
    faults.AddError(0, 0, "there is no key in it");
  if (!faults.text().empty())
    throw BadKeys(faults.text());
  return out;
}

std::string new_key(unsigned id) {
  if (sodium_init() < 0)
    throw std::runtime_error("libsodium does not start");
  unsigned char secret[32];
  randombytes_buf(secret, sizeof secret);
  char hex[2 * sizeof secret + 1];
  sodium_bin2hex(hex, sizeof hex, secret, sizeof secret);
  return "key { id: " + std::to_string(id) + " secret: \"" + hex + "\" }\n";
}

}  // namespace dispatcher::fleet

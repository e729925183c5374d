#include "testbed/stubs/http_transfer.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <sstream>
#include <thread>

namespace dispatcher::testbed {
namespace {

using Clock = std::chrono::steady_clock;

// Limits the rate of a transfer by sleeping after each piece.
class TransferPacer {
 public:
  explicit TransferPacer(std::uint64_t bytes_per_second) : rate_(bytes_per_second) {}

  std::size_t piece_bytes() const {
    static constexpr std::uint64_t kPiecesPerSecond = 50;
    static constexpr std::size_t kMinPieceBytes = 512;
    if (rate_ == 0)
      return kTransferBlockBytes;
    return std::clamp<std::size_t>(rate_ / kPiecesPerSecond, kMinPieceBytes, kTransferBlockBytes);
  }

  void on_transferred(std::size_t bytes) {
    done_ += bytes;
    if (rate_ == 0)
      return;
    std::chrono::duration<double> scheduled(static_cast<double>(done_) /
                                            static_cast<double>(rate_));
    std::this_thread::sleep_until(start_ + scheduled);
  }

 private:
  std::uint64_t rate_;
  std::uint64_t done_ = 0;
  Clock::time_point start_ = Clock::now();
};

// Reads the body of one message from a connection.
class BodyReader {
 public:
  BodyReader(BlockingConnection& connection, std::uint64_t bytes_per_second,
             const std::function<bool(std::string_view)>& consume)
      : connection_(connection), pacer_(bytes_per_second), consume_(consume) {}

  bool read_exactly(std::uint64_t bytes) {
    while (bytes > 0) {
      std::size_t max_bytes = std::min<std::uint64_t>(bytes, pacer_.piece_bytes());
      std::string_view piece = connection_.read_some(max_bytes);
      if (piece.empty() || !consume_(piece))
        return false;
      bytes -= piece.size();
      pacer_.on_transferred(piece.size());
    }
    return true;
  }

  bool read_chunks() {
    std::string line;
    while (connection_.read_line(line)) {
      std::uint64_t size = std::stoull(line, nullptr, 16);
      if (size == 0)
        return read_trailer();
      if (!read_exactly(size) || !connection_.read_line(line) || !line.empty())
        return false;
    }
    return false;
  }

 private:
  bool read_trailer() {
    std::string line;
    while (connection_.read_line(line)) {
      if (line.empty())
        return true;
    }
    return false;
  }

  BlockingConnection& connection_;
  TransferPacer pacer_;
  const std::function<bool(std::string_view)>& consume_;
};

bool send_piece(BlockingConnection& connection, std::string_view bytes, bool chunked) {
  if (!chunked)
    return connection.send(bytes);
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return connection.send(size.data()) && connection.send(bytes) && connection.send("\r\n");
}

}  // namespace

bool read_head(BlockingConnection& connection, HttpHead& head) {
  head = {};
  if (!connection.read_line(head.start_line))
    return false;
  std::string line;
  while (connection.read_line(line)) {
    if (line.empty())
      return true;
    std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(),
                           [](unsigned char letter) { return std::tolower(letter); });
    head.fields[name] = line.substr(std::min(line.size(), colon + 2));
  }
  return false;
}

std::string request_target(const HttpHead& head) {
  std::string target = head.start_line.substr(head.start_line.find(' ') + 1);
  return target.substr(0, target.find(' '));
}

int status_code(const HttpHead& head) {
  static constexpr std::size_t kStatusOffset = std::string_view("HTTP/1.1 ").size();
  return std::stoi(head.start_line.substr(kStatusOffset, 3));
}

bool read_body(BlockingConnection& connection, const HttpHead& head, std::uint64_t bytes_per_second,
               const std::function<bool(std::string_view)>& consume) {
  BodyReader reader(connection, bytes_per_second, consume);
  auto length = head.fields.find("content-length");
  if (length != head.fields.end())
    return reader.read_exactly(std::stoull(length->second));
  if (!head.fields.contains("transfer-encoding"))
    return true;
  return reader.read_chunks();
}

bool send_body(BlockingConnection& connection, const BodyTransfer& transfer, Sha256& sha) {
  TransferPacer pacer(transfer.bytes_per_second);
  std::string block(kTransferBlockBytes, 0);
  std::uint64_t end = std::min(transfer.bytes, transfer.stop_after);
  std::uint64_t done = 0;
  while (done < end && transfer.keep_going(done)) {
    std::uint64_t until = done < transfer.pause_at ? std::min(end, transfer.pause_at) : end;
    std::size_t piece = std::min<std::uint64_t>(pacer.piece_bytes(), until - done);
    fill_pattern(transfer.seed, done, block.data(), piece);
    std::string_view bytes(block.data(), piece);
    sha.add(bytes);
    if (!send_piece(connection, bytes, transfer.chunked))
      return false;
    done += piece;
    pacer.on_transferred(piece);
  }
  if (done < transfer.bytes)
    return false;
  return !transfer.chunked || connection.send("0\r\n\r\n");
}

Query read_query(const std::string& target) {
  Query query;
  std::size_t question_mark = target.find('?');
  std::istringstream pairs(question_mark == std::string::npos ? ""
                                                              : target.substr(question_mark + 1));
  for (std::string pair; std::getline(pairs, pair, '&');) {
    std::size_t equals = pair.find('=');
    if (equals != std::string::npos)
      query[pair.substr(0, equals)] = std::stoull(pair.substr(equals + 1));
  }
  return query;
}

std::uint64_t query_value(const Query& query, const std::string& name, std::uint64_t fallback) {
  auto it = query.find(name);
  return it == query.end() ? fallback : it->second;
}

std::string make_response(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace dispatcher::testbed

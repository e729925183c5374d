#include "protocol/body.h"

#include <array>
#include <charconv>

#include "protocol/http.h"

namespace dispatcher::protocol {

BodyReader::BodyReader(Framing framing, std::uint64_t length, std::uint64_t max_bytes)
    : framing_(framing), length_(length), max_bytes_(max_bytes) {
  stage_ = framing == Framing::Chunked ? Stage::ChunkLine : Stage::Data;
  if (framing != Framing::Length)
    return;
  if (length > max_bytes)
    throw HttpError(413, "body too long");
  remaining_ = length;
  if (length == 0)
    stage_ = Stage::Done;
}

void BodyReader::consume_data(std::size_t count) {
  read_ += count;
  if (framing_ == Framing::UntilClose) {
    if (read_ > max_bytes_)
      throw HttpError(413, "body too long");
    return;
  }
  remaining_ -= count;
  if (remaining_ == 0)
    stage_ = framing_ == Framing::Length ? Stage::Done : Stage::ChunkEnd;
}

void BodyReader::on_connection_closed() {
  if (framing_ == Framing::UntilClose)
    stage_ = Stage::Done;
}

// Handles the lines between two chunks, which may arrive in any number of pieces.
std::size_t BodyReader::consume_framing(std::string_view input) {
  std::size_t end = input.find('\n');
  bool line_ends = end != std::string_view::npos;
  std::size_t used = line_ends ? end + 1 : input.size();
  if (stage_ == Stage::ChunkEnd && line_.size() + used > 2)
    throw HttpError(400, "malformed chunk");
  if (line_.size() + used > kMaxHeadBytes + 2)
    throw HttpError(400, "chunk line too long");
  line_.append(input.substr(0, used));
  // Strict, because another HTTP implementation could interpret a bare LF or extra bytes after a
  // chunk differently.
  if (stage_ == Stage::ChunkEnd && !std::string_view("\r\n").starts_with(line_))
    throw HttpError(400, "malformed chunk");
  if (!line_ends)
    return used;
  if (!line_.ends_with("\r\n")) {
    if (stage_ == Stage::ChunkLine)
      throw HttpError(400, "malformed chunk");
    return used;  // a bare LF within a trailer; trailers are skipped
  }
  std::string line = std::exchange(line_, {});
  on_framing_line(std::string_view(line).substr(0, line.size() - 2));
  return used;
}

void BodyReader::on_framing_line(std::string_view text) {
  if (stage_ == Stage::ChunkEnd) {
    stage_ = Stage::ChunkLine;
  } else if (stage_ == Stage::Trailers) {
    if (text.empty())
      stage_ = Stage::Done;
    trailer_bytes_ += text.size();
    if (trailer_bytes_ > kMaxHeadBytes)
      throw HttpError(431, "trailers too long");
  } else {
    on_chunk_line(text);
  }
}

void BodyReader::on_chunk_line(std::string_view text) {
  text = text.substr(0, text.find(';'));  // strip chunk extensions
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  std::uint64_t size = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), size, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw HttpError(400, "malformed chunk");
  if (size > max_bytes_ || read_ > max_bytes_ - size)
    throw HttpError(413, "body too long");
  remaining_ = size;
  stage_ = size == 0 ? Stage::Trailers : Stage::Data;
}

std::string BodyWriter::chunk_head(std::size_t size) {
  std::array<char, 16> digits{};
  char* end = std::to_chars(digits.begin(), digits.end(), size, 16).ptr;
  return std::string(digits.begin(), end) + "\r\n";
}

}  // namespace dispatcher::protocol

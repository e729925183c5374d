#include "protocol/body.h"

#include <algorithm>
#include <charconv>

#include "protocol/http.h"

namespace dispatcher::protocol {

BodyReader::BodyReader(Framing framing, std::uint64_t length, std::uint64_t most)
    : framing_(framing), length_(length), most_(most) {
  if (framing == Framing::Length && length > most)
    throw HttpError(413, "body too long");
  stage_ = framing == Framing::Chunked ? Stage::ChunkLine : Stage::Data;
  if (framing == Framing::Length)
    left_ = length;
  if (framing == Framing::Length && length == 0)
    stage_ = Stage::Done;
}

void BodyReader::count(std::size_t n) {
  read_ += n;
  if (framing_ == Framing::UntilClose) {
    if (read_ > most_)
      throw HttpError(413, "body too long");
    return;
  }
  left_ -= n;
  if (left_ == 0)
    stage_ = framing_ == Framing::Length ? Stage::Done : Stage::ChunkEnd;
}

void BodyReader::closed() {
  if (framing_ == Framing::UntilClose)
    stage_ = Stage::Done;
}

// The framing between two pieces: lines that may come in any number of parts.
std::size_t BodyReader::between(std::string_view in) {
  std::size_t end = in.find('\n');
  std::size_t used = end == std::string_view::npos ? in.size() : end + 1;
  if (stage_ == Stage::ChunkEnd && line_.size() + used > 2)
    throw HttpError(400, "malformed chunk");
  if (line_.size() + used > kMostHead + 2)
    throw HttpError(400, "chunk line too long");
  line_.append(in.substr(0, used));
  // Guards against a reader that would take a bare LF, or something after a chunk, for something
  // else.
  if (stage_ == Stage::ChunkEnd && !std::string_view("\r\n").starts_with(line_))
    throw HttpError(400, "malformed chunk");
  if (end == std::string_view::npos)
    return used;
  if (!line_.ends_with("\r\n")) {
    if (stage_ == Stage::ChunkLine)
      throw HttpError(400, "malformed chunk");
    return used;  // a bare LF within a trailer, which is read over
  }
  std::string whole = std::exchange(line_, {});
  line(std::string_view(whole).substr(0, whole.size() - 2));
  return used;
}

void BodyReader::line(std::string_view text) {
  if (stage_ == Stage::ChunkEnd) {
    stage_ = Stage::ChunkLine;
  } else if (stage_ == Stage::Trailers) {
    if (text.empty())
      stage_ = Stage::Done;
    if ((trailer_bytes_ += text.size()) > kMostHead)
      throw HttpError(431, "trailers too long");
  } else {
    text = text.substr(0, text.find(';'));
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
      text.remove_suffix(1);
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
      text.remove_prefix(1);
    std::uint64_t size = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), size, 16);
    if (text.empty() || error != std::errc() || end != text.data() + text.size())
      throw HttpError(400, "malformed chunk");
    if (size > most_ || read_ > most_ - size)
      throw HttpError(413, "body too long");
    left_ = size;
    stage_ = size == 0 ? Stage::Trailers : Stage::Data;
  }
}

std::string BodyWriter::chunk_head(std::size_t size) {
  char text[24];
  char* end = std::to_chars(text, text + sizeof text - 2, size, 16).ptr;
  *end++ = '\r';
  *end++ = '\n';
  return {text, end};
}

}  // namespace dispatcher::protocol

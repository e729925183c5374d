// Records when the bytes of a connection arrived, until the parser has consumed them.
#pragma once

#include <cstdint>
#include <deque>

#include "transport/clock.h"

namespace dispatcher::http {

// A client's timeout counts from the arrival of the last byte of its request. A pipelined request
// may have spent most of that time in the parser's buffer.
class ArrivalLog {
 public:
  // Records `bytes` more bytes. Bytes that arrive within a few milliseconds are merged into one
  // entry, so that input in single bytes takes little memory.
  void record(std::uint64_t bytes, transport::Time arrived) {
    total_ += bytes;
    if (arrivals_.empty() || arrived - arrivals_.back().first > kMergeInterval)
      arrivals_.push_back({.end_offset = 0, .first = arrived, .last = arrived});
    arrivals_.back().end_offset = total_;
    arrivals_.back().last = arrived;
  }

  // Arrival time of the last byte that the parser has consumed; `buffered`: number of received
  // bytes that it has not consumed yet.
  transport::Time last_parsed_arrival(std::uint64_t buffered, transport::Time now) {
    std::uint64_t used = total_ - buffered;
    while (arrivals_.size() > 1 && arrivals_.front().end_offset < used)
      arrivals_.pop_front();
    return arrivals_.empty() ? now : arrivals_.front().last;
  }

 private:
  static constexpr transport::Duration kMergeInterval{5};
  struct Arrival {
    std::uint64_t end_offset = 0;
    transport::Time first{};
    transport::Time last{};
  };
  std::uint64_t total_ = 0;  // bytes since the connection was opened
  std::deque<Arrival> arrivals_;
};

}  // namespace dispatcher::http

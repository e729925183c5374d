// Remembers when the bytes of a connection arrived, until the parser has used them.
#pragma once

#include <cstdint>
#include <deque>

#include "transport/clock.h"

namespace dispatcher::http {

// A client's timeout counts from the last byte of its request, and a request that was sent ahead
// may have waited in the parser for most of it.
class ArrivalLog {
 public:
  // `bytes` more bytes arrived. Those within a few milliseconds count as one arrival, so that
  // single bytes cost little memory.
  void record(std::uint64_t bytes, transport::Time arrived) {
    total_ += bytes;
    if (arrivals_.empty() || arrived - arrivals_.back().first > kMergeInterval)
      arrivals_.push_back({.end_offset = 0, .first = arrived, .last = arrived});
    arrivals_.back().end_offset = total_;
    arrivals_.back().last = arrived;
  }

  // When the last byte arrived that the parser has used; `buffered`: bytes that it has not.
  transport::Time last_used(std::uint64_t buffered, transport::Time now) {
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

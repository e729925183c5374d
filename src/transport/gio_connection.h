// The state of one connection of GioNetwork.
#pragma once

#include <cstddef>
#include <cstdint>

#include "transport/deadlines.h"
#include "transport/glib.h"
#include "transport/network.h"

namespace dispatcher::transport {

struct GioConnection {
  enum class State {
    Connecting,
    Open,
    Flushing,   // finish() was called; bytes still wait to be written
    Lingering,  // our side is shut; input is discarded until the peer closes too
  };
  enum class Origin { Accepted, Connected };

  ObjectPtr<GSocket> socket;
  ConnectionHandler* handler = nullptr;
  Origin origin = Origin::Connected;
  State state = State::Open;
  Urgency urgency = Urgency::Normal;
  OutBuffer unsent;
  Deadlines::Handle end;  // reports a failure in a later turn, or ends Flushing and Lingering

  bool failed = false;  // to be reported in the next turn; not watched any more

  // Reading
  bool reading_paused = false;
  bool reports_end_while_paused = false;  // the end discards input that has not been read
  std::size_t readable_bytes = SIZE_MAX;  // that on_bytes() may still bring

  // Bulk connections: what epoll has reported, served by GioNetwork::serve_bulk().
  bool bulk = false;
  bool queued = false;
  bool readable = false;
  bool writable = false;
  bool reset_by_peer = false;
  bool on_written_scheduled = false;

  // What the kernel watches.
  std::uint32_t watched_events = 0;  // 0: nothing
  std::uint64_t epoll_label = 0;

  bool is_accepted() const { return origin == Origin::Accepted; }
  bool is_finishing() const { return state == State::Flushing || state == State::Lingering; }
};

}  // namespace dispatcher::transport

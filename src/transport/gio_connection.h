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
    Lingering,  // shut down for writing; input is discarded until the peer closes too
  };
  enum class Origin { Accepted, Connected };

  ObjectPtr<GSocket> socket;
  ConnectionHandler* handler = nullptr;
  Origin origin = Origin::Connected;
  State state = State::Open;
  Urgency urgency = Urgency::Normal;
  OutBuffer unsent;
  // Reports a failure in a later turn, or ends Flushing and Lingering.
  Deadlines::Handle close_deadline;

  bool failed = false;  // to be reported in the next turn; no longer watched

  // Reading
  bool reading_paused = false;
  bool reports_end_while_paused = false;  // the end of the connection discards unread input
  std::size_t read_allowance = SIZE_MAX;  // bytes that on_bytes() may still deliver

  // Bulk connections: events reported by epoll, to be handled by GioNetwork::serve_bulk().
  bool bulk = false;
  bool in_bulk_queue = false;
  bool readable = false;
  bool writable = false;
  bool reset_by_peer = false;
  bool on_written_scheduled = false;

  // The registration with epoll.
  std::uint32_t watched_events = 0;  // 0: not registered
  std::uint64_t epoll_user_data = 0;

  bool is_accepted() const { return origin == Origin::Accepted; }
  bool is_finishing() const { return state == State::Flushing || state == State::Lingering; }
};

}  // namespace dispatcher::transport

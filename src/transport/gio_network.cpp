#include "transport/gio_network.h"

#include <glib-unix.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

#include "transport/address.h"
#include "transport/gio_sockets.h"

namespace dispatcher::transport {
namespace {

// The time that the peer has, after finish(), to read the remaining bytes and close its side.
constexpr Duration kLingerTimeout{2000};
// For all bulk connections together. An ordinary message may have to wait for the transfer of this
// many bytes.
constexpr std::size_t kMaxBulkBytesPerTurn = 256 << 10;
constexpr std::size_t kReadBufferBytes = 64 << 10;
// If more events are pending, the kernel returns the remaining connections first in the next turn.
constexpr std::size_t kMaxEventsPerTurn = 4096;
// epoll always reports this event. It keeps a connection registered that waits for no other event.
constexpr std::uint32_t kResetOnly = EPOLLERR;
// Reserved for the watch on discovery, whose connection may fail just when connections to workers
// pile up.
constexpr std::size_t kHighUrgencyReserve = 1;

// The order in which the ready connections of a turn are served. Takes two bits of the epoll user
// data.
enum class ServiceOrder : std::uint64_t { HighUrgency = 0, Ordinary = 1, Finishing = 2 };
constexpr std::uint64_t kServiceOrderMask = 3;

ServiceOrder service_order(const GioConnection& connection) {
  if (connection.urgency == Urgency::High)
    return ServiceOrder::HighUrgency;
  return connection.is_finishing() ? ServiceOrder::Finishing : ServiceOrder::Ordinary;
}

std::uint64_t make_user_data(SlotRef ref, ServiceOrder order) {
  return std::uint64_t{ref.generation} << 32 | std::uint64_t{ref.slot} << 2 |
         static_cast<std::uint64_t>(order);
}

SlotRef slot_ref_of(std::uint64_t user_data) {
  return {static_cast<std::uint32_t>(user_data) >> 2, static_cast<std::uint32_t>(user_data >> 32)};
}

}  // namespace

GioNetwork::GioNetwork(GMainContext* context, Deadlines& deadlines, const Clock& clock,
                       Limits limits, ErrorReporter report_error)
    : context_(context),
      deadlines_(deadlines),
      clock_(clock),
      limits_(limits),
      report_error_(std::move(report_error)),
      table_(limits.accepted + limits.connected + kHighUrgencyReserve),
      read_buffer_(kReadBufferBytes),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      ready_events_(kMaxEventsPerTurn) {
  if (!epoll_)
    throw std::runtime_error("cannot create an epoll descriptor");
  epoll_source_.reset(g_unix_fd_source_new(epoll_.get(), G_IO_IN));
  g_source_set_callback(epoll_source_.get(), G_SOURCE_FUNC(&GioNetwork::on_epoll_ready), this,
                        nullptr);
  g_source_attach(epoll_source_.get(), context_);
}

GioNetwork::~GioNetwork() {
  for (SlotRef ref : table_.refs())
    remove(ref);
  deadlines_.disarm(resume_accepting_);
}

std::optional<SlotRef> GioNetwork::connect(const std::string& address, ConnectionHandler& handler,
                                           Urgency urgency) {
  ObjectPtr<GSocketAddress> socket_address = parse_address(address);
  std::size_t reserve = urgency == Urgency::High ? kHighUrgencyReserve : 0;
  if (!socket_address || connected_count_ >= limits_.connected + reserve)
    return std::nullopt;
  GlibError error;
  Connection connection;
  connection.socket = new_tcp_socket(socket_address.get(), error);
  if (!connection.socket) {
    report_error_(std::string("cannot create a socket: ") + error.text());
    make_room();
    return std::nullopt;
  }
  set_no_delay(connection.socket.get());
  connection.handler = &handler;
  connection.state = State::Connecting;
  connection.urgency = urgency;
  bool connected =
      g_socket_connect(connection.socket.get(), socket_address.get(), nullptr, error.out());
  bool failed = !connected && !error.is(G_IO_ERROR_PENDING);
  std::optional<SlotRef> ref = table_.insert(std::move(connection));
  if (!ref)
    return std::nullopt;
  ++connected_count_;
  Connection& inserted = *table_.find(*ref);
  if (failed) {
    inserted.close_deadline =
        deadlines_.add(clock_.now(), [this, opened = *ref] { report_closed(opened); });
  } else {
    watch(*ref, inserted);
  }
  return ref;
}

std::uint32_t GioNetwork::events_to_watch(const Connection& connection) {
  if (connection.failed)
    return 0;
  if (connection.state == State::Connecting)
    return EPOLLOUT;
  std::uint32_t events = kResetOnly;
  if (!connection.reading_paused)
    events |= EPOLLIN;
  if (!connection.unsent.empty())
    events |= EPOLLOUT;
  if (connection.reading_paused && connection.reports_end_while_paused)
    events |= EPOLLRDHUP;
  return events;
}

void GioNetwork::watch(SlotRef ref, Connection& connection) {
  std::uint32_t wanted = events_to_watch(connection);
  std::uint64_t user_data = make_user_data(ref, service_order(connection));
  if (wanted == connection.watched_events &&
      (user_data == connection.epoll_user_data || wanted == 0))
    return;
  epoll_event event{wanted, {.u64 = user_data}};
  int operation = EPOLL_CTL_MOD;
  if (wanted == 0) {
    operation = EPOLL_CTL_DEL;
  } else if (connection.watched_events == 0) {
    operation = EPOLL_CTL_ADD;
  }
  epoll_ctl(epoll_.get(), operation, g_socket_get_fd(connection.socket.get()), &event);
  connection.watched_events = wanted;
  connection.epoll_user_data = user_data;
}

gboolean GioNetwork::on_epoll_ready(gint, GIOCondition, gpointer data) {
  static_cast<GioNetwork*>(data)->serve_ready();
  return G_SOURCE_CONTINUE;
}

// Handling an event may close connections with further events in the list. These are ignored,
// because their slot is empty or has another generation.
void GioNetwork::serve_ready() {
  int count =
      epoll_wait(epoll_.get(), ready_events_.data(), static_cast<int>(ready_events_.size()), 0);
  for (ServiceOrder order :
       {ServiceOrder::HighUrgency, ServiceOrder::Ordinary, ServiceOrder::Finishing}) {
    for (int i = 0; i < count; ++i) {
      const epoll_event event = ready_events_[static_cast<std::size_t>(i)];
      std::uint64_t user_data = event.data.u64;
      if ((user_data & kServiceOrderMask) == static_cast<std::uint64_t>(order))
        serve(slot_ref_of(user_data), event.events);
    }
  }
}

void GioNetwork::serve(SlotRef ref, std::uint32_t events) {
  Connection* connection = table_.find(ref);
  if (!connection || connection->failed)
    return;
  bool connecting = connection->state == State::Connecting;
  bool writable = connecting || ((events & EPOLLOUT) != 0 && !connection->unsent.empty());
  if (connection->bulk && !connecting) {
    bool reset = (events & (EPOLLERR | EPOLLHUP)) != 0;
    connection->writable |= writable;
    connection->readable |= (events & EPOLLIN) != 0 || reset;
    connection->reset_by_peer |= reset;
    return enqueue_bulk(ref, *connection);
  }
  if (writable)
    on_writable(ref);
  // The input of a connection that has just been established is reported in the next turn.
  if (!connecting)
    serve_input(ref, events);
}

void GioNetwork::serve_input(SlotRef ref, std::uint32_t events) {
  bool reset = (events & (EPOLLERR | EPOLLHUP)) != 0;
  bool half_closed = (events & EPOLLRDHUP) != 0;
  if ((events & EPOLLIN) == 0 && !reset && !half_closed)
    return;
  Connection* connection = table_.find(ref);
  if (!connection)
    return;
  if (!connection->reading_paused) {
    on_readable(ref);
  } else if (reset || (half_closed && connection->reports_end_while_paused)) {
    report_closed(ref);
  }
}

void GioNetwork::enqueue_bulk(SlotRef ref, Connection& connection) {
  if (!std::exchange(connection.in_bulk_queue, true))
    bulk_queue_.push_back(ref);
}

// Bulk connections share a byte limit per turn. They are served in the order of the queue until the
// limit is reached; the remaining ones come first in the next turn.
bool GioNetwork::serve_bulk() {
  std::size_t transferred = 0;
  for (std::size_t left = bulk_queue_.size(); left > 0 && transferred < kMaxBulkBytesPerTurn;
       --left) {
    SlotRef ref = bulk_queue_.front();
    bulk_queue_.pop_front();
    Connection* connection = table_.find(ref);
    if (!connection)
      continue;
    connection->in_bulk_queue = false;
    bool readable = std::exchange(connection->readable, false);
    std::size_t written_before = total_written_bytes_;
    if (std::exchange(connection->writable, false))
      on_writable(ref);
    connection = table_.find(ref);
    bool scheduled = connection && std::exchange(connection->on_written_scheduled, false);
    if (scheduled && connection->state == State::Open)
      connection->handler->on_written(ref);
    connection = table_.find(ref);
    if (connection && connection->reading_paused && connection->reset_by_peer) {
      report_closed(ref);
    } else if (connection && readable && !connection->reading_paused) {
      transferred += on_readable(ref);
    }
    transferred += total_written_bytes_ - written_before;
  }
  return !bulk_queue_.empty();
}

// Closing while the peer is still sending would reset the connection, and a response in transit
// could be lost. So the connection is first shut down for writing. Then input is discarded until
// the peer closes too, for a limited time and after all other connections were served.
void GioNetwork::finish(SlotRef ref) {
  Connection* connection = table_.find(ref);
  if (!connection)
    return;
  if (connection->state == State::Connecting)
    return remove(ref);
  if (connection->state != State::Open)
    return;
  connection->state = State::Flushing;
  pause_reading(ref, false);
  if (!connection->close_deadline.is_set()) {
    connection->close_deadline =
        deadlines_.add(clock_.now() + kLingerTimeout, [this, ref] { remove(ref); });
  }
  if (connection->is_accepted())
    finishing_.push_back(ref);
  flush(ref, *connection);
}

void GioNetwork::close(SlotRef ref) {
  remove(ref);
}

void GioNetwork::reset(SlotRef ref) {
  if (Connection* connection = table_.find(ref)) {
    linger no_linger{.l_onoff = 1, .l_linger = 0};
    setsockopt(g_socket_get_fd(connection->socket.get()), SOL_SOCKET, SO_LINGER, &no_linger,
               sizeof no_linger);
  }
  remove(ref);
}

Descriptor GioNetwork::release(SlotRef ref) {
  Connection* connection = table_.find(ref);
  if (!connection || connection->state != State::Open || connection->failed ||
      !connection->unsent.empty())
    return {};
  Descriptor released = Descriptor::copy_of(g_socket_get_fd(connection->socket.get()));
  if (!released)
    return {};
  // Unregisters the socket explicitly, because epoll watches the open file description, which the
  // duplicate keeps open.
  connection->failed = true;
  watch(ref, *connection);
  remove(ref);
  return released;
}

// Reports in the next turn, because a handler is never called from within a call to this class.
void GioNetwork::report_closed_later(SlotRef ref, Connection& connection) {
  connection.failed = true;
  watch(ref, connection);
  if (!connection.close_deadline.is_set())
    connection.close_deadline = deadlines_.add(clock_.now(), [this, ref] { report_closed(ref); });
}

void GioNetwork::report_closed(SlotRef ref) {
  Connection* connection = table_.find(ref);
  if (!connection)
    return;
  ConnectionHandler* handler = connection->handler;
  bool finishing = connection->is_finishing();
  bool all_written = connection->state != State::Connecting && connection->unsent.empty();
  remove(ref);
  if (!finishing)
    handler->on_closed(ref, all_written);
}

void GioNetwork::remove(SlotRef ref) {
  Connection* connection = table_.find(ref);
  if (!connection)
    return;
  deadlines_.disarm(connection->close_deadline);
  g_socket_close(connection->socket.get(), nullptr);
  bool accepted = connection->is_accepted();
  --(accepted ? accepted_count_ : connected_count_);
  if (connection->is_finishing())
    std::erase(finishing_, ref);
  table_.erase(ref);
  if (accepted && !listener_source_)
    resume_accepting();
}

}  // namespace dispatcher::transport

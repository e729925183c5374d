#include "transport/gio_network.h"

#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

#include "transport/address.h"

namespace dispatcher::transport {
namespace {

// A peer that is this far behind has stopped reading. The longest answer and the rest of another
// fit in.
constexpr std::size_t kMostUnsent = 160 << 10;
constexpr Duration kLinger{
    2000};  // for the peer to take what is left and to close its side after ours
constexpr Duration kAcceptPause{
    20};  // after running out of descriptors, or where nothing can be spared
constexpr int kAcceptsATurn = 64;  // then the other sockets are looked at first
constexpr int kBacklog = 1024;
constexpr std::size_t kReadAtOnce = 16 << 10, kReadATurn = 64 << 10;  // of one connection
// Of all bulk connections together in one turn: some tenths of a millisecond, which is what an
// ordinary message may have to wait for them.
constexpr std::size_t kBulkATurn = 256 << 10;
constexpr std::size_t kReadyAtOnce = 4096;  // the kernel hands out the others first the next time
constexpr std::uint32_t kReset =
    EPOLLERR;  // comes unasked; names what is waited for where nothing else is
// Guards the watch on discovery, which goes down just when connections to workers pile up.
constexpr std::size_t kForWatch = 1;
constexpr std::size_t kPartsAtOnce = 64;  // slices in one gathered write

ObjectPtr<GSocket> new_socket(GSocketAddress* address, Error& error) {
  ObjectPtr<GSocket> s(g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                                    G_SOCKET_PROTOCOL_TCP, error.out()));
  if (s)
    g_socket_set_blocking(s.get(), FALSE);
  return s;
}

void no_delay(GSocket* s) {
  g_socket_set_option(s, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

}  // namespace

GioNetwork::GioNetwork(GMainContext* context, Deadlines& deadlines, const Clock& clock,
                       Limits limits, Complain complain)
    : context_(context),
      deadlines_(deadlines),
      clock_(clock),
      limits_(limits),
      complain_(std::move(complain)),
      table_(limits.accepted + limits.connected + kForWatch),
      scratch_(kReadATurn),
      poll_(epoll_create1(EPOLL_CLOEXEC)),
      ready_(kReadyAtOnce) {
  if (poll_ < 0)
    throw std::runtime_error("no descriptor to watch connections with");
  polled_.reset(g_unix_fd_source_new(poll_, G_IO_IN));
  g_source_set_callback(polled_.get(), G_SOURCE_FUNC(&GioNetwork::ready), this, nullptr);
  g_source_attach(polled_.get(), context_);
}

GioNetwork::~GioNetwork() {
  for (SlotRef ref : table_.refs())
    remove(ref);
  deadlines_.drop(accept_again_);
  polled_.reset();
  ::close(poll_);
}

void GioNetwork::listen(const std::string& address, Acceptor& acceptor, bool shared) {
  auto where = parse_address(address);
  if (!where)
    throw std::runtime_error("not an address to listen on: " + address);
  Error error;
  listener_ = new_socket(where.get(), error);
  if (!listener_)
    throw std::runtime_error(std::string("no socket: ") + error.text());
  g_socket_set_listen_backlog(listener_.get(), kBacklog);
  // So that a second process of this dispatcher can serve beside this one where the socket itself
  // cannot be passed.
  if (shared)
    g_socket_set_option(listener_.get(), SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  if (!g_socket_bind(listener_.get(), where.get(), TRUE, error.out()) ||
      !g_socket_listen(listener_.get(), error.out()))
    throw std::runtime_error("cannot listen on " + address + ": " + error.text());
  acceptor_ = &acceptor;
  accept_from_now_on(true);
}

void GioNetwork::share_listener(Descriptor listening, Acceptor& acceptor) {
  Error error;
  listener_.reset(g_socket_new_from_fd(listening.get(), error.out()));
  if (!listener_)
    throw std::runtime_error(std::string("not a socket to listen on: ") + error.text());
  listening.release();
  g_socket_set_blocking(listener_.get(), FALSE);
  acceptor_ = &acceptor;
}

Descriptor GioNetwork::listener() const {
  return listener_ ? Descriptor::copy_of(g_socket_get_fd(listener_.get())) : Descriptor();
}

void GioNetwork::accept_from_now_on(bool on) {
  takes_ = on;
  if (on)
    return resume_accepting();
  deadlines_.drop(accept_again_);
  accepts_.reset();
}

void GioNetwork::limit(Limits limits) {
  limits_ = limits;
  if (!accepts_)
    resume_accepting();
}

void GioNetwork::resume_accepting() {
  deadlines_.drop(accept_again_);
  if (accepts_ || !listener_ || !takes_)
    return;
  accepts_.reset(g_socket_create_source(listener_.get(), G_IO_IN, nullptr));
  g_source_set_callback(accepts_.get(), G_SOURCE_FUNC(&GioNetwork::incoming), this, nullptr);
  g_source_attach(accepts_.get(), context_);
}

void GioNetwork::pause_accepting() {
  accepts_.reset();
  accept_again_ = deadlines_.add(clock_.now() + kAcceptPause, [this] { resume_accepting(); });
}

gboolean GioNetwork::incoming(GSocket*, GIOCondition, gpointer data) {
  static_cast<GioNetwork*>(data)->accept_all();
  return G_SOURCE_CONTINUE;
}

void GioNetwork::accept_all() {
  for (int i = 0; i < kAcceptsATurn && takes_; ++i) {
    // Guards the descriptors kept for workers and discovery: a crowd of clients sheds its own
    // idle ones first, and where all are at work the next wait in the listen queue until one closes
    // or is idle again.
    if (accepted_ >= limits_.accepted) {
      // Only for a newcomer that is really there: a full table alone is no reason to close
      // anything.
      if ((g_socket_condition_check(listener_.get(), G_IO_IN) & G_IO_IN) == 0)
        return;
      if (!make_room())
        return pause_accepting();
    }
    Error error;
    ObjectPtr<GSocket> socket(g_socket_accept(listener_.get(), nullptr, error.out()));
    if (!socket) {
      if (error.is(G_IO_ERROR_WOULD_BLOCK))
        return;
      if (error.is(G_IO_ERROR_CONNECTION_CLOSED))
        continue;  // gone before it was taken
      // Guards against EMFILE: the listener stays readable then, and a loop that tries again at
      // once eats the core.
      complain_(std::string("cannot accept: ") + error.text());
      make_room();
      return pause_accepting();
    }
    std::optional<SlotRef> ref = keep_accepted(std::move(socket));
    if (!ref)
      return pause_accepting();
    acceptor_->on_accepted(*ref);
    // A client sends as soon as it has connected: its command is read before the next
    // newcomer could take this connection for a silent one and have it closed.
    on_readable(*ref, kReadATurn);
  }
}

std::optional<SlotRef> GioNetwork::keep_accepted(ObjectPtr<GSocket> socket) {
  g_socket_set_blocking(socket.get(), FALSE);
  no_delay(socket.get());
  Connection c;
  c.socket = std::move(socket);
  c.handler = acceptor_;
  c.accepted = true;
  std::optional<SlotRef> ref = table_.insert(std::move(c));
  if (!ref)
    return std::nullopt;
  ++accepted_;
  watch(*ref, *table_.find(*ref));
  return ref;
}

std::optional<SlotRef> GioNetwork::adopt(Descriptor connection) {
  Error error;
  ObjectPtr<GSocket> socket(g_socket_new_from_fd(connection.get(), error.out()));
  if (!socket)
    return std::nullopt;
  connection.release();
  return keep_accepted(std::move(socket));
}

Descriptor GioNetwork::release(SlotRef ref) {
  Connection* c = table_.find(ref);
  if (!c || c->state != State::Open || c->broken || !c->unsent.empty())
    return {};
  Descriptor copy = Descriptor::copy_of(g_socket_get_fd(c->socket.get()));
  if (!copy)
    return {};
  c->broken = true;  // the kernel watches what a descriptor stands for, and that stays open
  watch(ref, *c);
  remove(ref);
  return copy;
}

// Those that have their last answer go first, then what the acceptor can spare.
bool GioNetwork::make_room() {
  auto done = std::ranges::find_if(
      finishing_, [this](SlotRef ref) { return table_.find(ref)->state == State::Lingering; });
  if (done == finishing_.end())
    return acceptor_ && acceptor_->shed_idle();
  remove(*done);
  return true;
}

std::optional<SlotRef> GioNetwork::connect(const std::string& address, ConnectionHandler& handler,
                                           Urgency urgency) {
  auto where = parse_address(address);
  if (!where || connected_ >= limits_.connected + (urgency == Urgency::High ? kForWatch : 0))
    return std::nullopt;
  Error error;
  Connection c;
  c.socket = new_socket(where.get(), error);
  if (!c.socket) {  // EMFILE
    complain_(std::string("cannot open a socket: ") + error.text());
    make_room();
    return std::nullopt;
  }
  no_delay(c.socket.get());
  c.handler = &handler;
  c.state = State::Connecting;
  if (urgency == Urgency::High)
    c.high = true;
  bool up = g_socket_connect(c.socket.get(), where.get(), nullptr, error.out());
  bool failed = !up && !error.is(G_IO_ERROR_PENDING);
  std::optional<SlotRef> ref = table_.insert(std::move(c));
  if (!ref)
    return std::nullopt;
  ++connected_;
  Connection& kept = *table_.find(*ref);
  // A refusal on the spot is told in the next turn: a handler is never called from inside its own
  // call.
  if (failed) {
    kept.end = deadlines_.add(clock_.now(), [this, r = *ref] { broken(r); });
  } else {
    watch(*ref, kept);
  }
  return ref;
}

// What is asked for follows from the connection's state alone, and the kernel is told only of
// changes. A reset shows always, also where nothing is asked for.
void GioNetwork::watch(SlotRef ref, Connection& c) {
  std::uint32_t wanted = c.broken ? 0
                         : c.state == State::Connecting
                             ? EPOLLOUT
                             : kReset | (c.held ? 0u : EPOLLIN) |
                                   (c.unsent.empty() ? 0u : EPOLLOUT) |
                                   (c.held && c.ends_unread ? EPOLLRDHUP : 0u);
  bool farewell = c.state == State::Flushing || c.state == State::Lingering;
  std::uint64_t order = c.high ? 0 : farewell ? 2 : 1;
  std::uint64_t label = std::uint64_t{ref.generation} << 32 | std::uint64_t{ref.slot} << 2 | order;
  if (wanted == c.interest && (label == c.label || wanted == 0))
    return;
  epoll_event event{wanted, {.u64 = label}};
  int what = wanted == 0 ? EPOLL_CTL_DEL : c.interest == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  epoll_ctl(poll_, what, g_socket_get_fd(c.socket.get()), &event);
  c.interest = wanted;
  c.label = label;
}

gboolean GioNetwork::ready(gint, GIOCondition, gpointer data) {
  static_cast<GioNetwork*>(data)->serve_ready();
  return G_SOURCE_CONTINUE;
}

// All that is ready, in three rounds: what was asked for with High, the ordinary ones, farewells.
// What one of them closes or opens is another slot or another generation: what was seen of it finds
// nothing.
void GioNetwork::serve_ready() {
  int n = epoll_wait(poll_, ready_.data(), static_cast<int>(ready_.size()), 0);
  for (std::uint64_t order : {0, 1, 2}) {
    for (int i = 0; i < n; ++i) {
      std::uint64_t label = ready_[static_cast<std::size_t>(i)].data.u64;
      if ((label & 3) != order)
        continue;
      SlotRef ref{static_cast<std::uint32_t>(label) >> 2, static_cast<std::uint32_t>(label >> 32)};
      serve(ref, ready_[static_cast<std::size_t>(i)].events);
    }
  }
}

void GioNetwork::serve(SlotRef ref, std::uint32_t events) {
  Connection* c = table_.find(ref);
  if (!c || c->broken)
    return;
  bool hung = (events & (EPOLLERR | EPOLLHUP)) != 0;
  bool writing = c->state == State::Connecting || ((events & EPOLLOUT) != 0 && !c->unsent.empty());
  bool reading = (events & EPOLLIN) != 0 || hung;
  if (c->bulk && c->state != State::Connecting) {
    c->may_write |= writing;
    c->may_read |= reading;
    c->hung |= hung;
    if (!std::exchange(c->queued, true))
      bulk_.push_back(ref);
    return;
  }
  bool connecting = c->state == State::Connecting;
  if (writing)
    on_writable(ref);
  // What a connection that has just come up has to read shows in the next turn.
  if (connecting || (!reading && (events & EPOLLRDHUP) == 0))
    return;
  c = table_.find(ref);
  if (c && c->held && hung) {
    broken(ref);  // no input is asked for: it can only have been reset
  } else if (c && !c->held) {
    on_readable(ref, kReadATurn);
  } else if (c && c->ends_unread && (events & EPOLLRDHUP) != 0) {
    broken(ref);
  }
}

// Guards ordinary messages against long bodies: fairness is in bytes. Whoever is ready is served in
// the order of waiting until the turn's bytes are spent; the others are the first of the next turn.
bool GioNetwork::serve_bulk() {
  std::size_t spent = 0;
  for (std::size_t n = bulk_.size(); n > 0 && spent < kBulkATurn; --n) {
    SlotRef ref = bulk_.front();
    bulk_.pop_front();
    Connection* c = table_.find(ref);
    if (!c)
      continue;
    c->queued = false;
    bool read = std::exchange(c->may_read, false);
    std::size_t before = written_;
    if (std::exchange(c->may_write, false))
      on_writable(ref);
    c = table_.find(ref);
    if (c && std::exchange(c->more, false) && c->state == State::Open)
      c->handler->on_written(ref);
    c = table_.find(ref);
    if (c && c->held && c->hung) {
      broken(ref);
    } else if (c && read && !c->held) {
      spent += on_readable(ref, kReadATurn);
    }
    spent += written_ - before;
  }
  return !bulk_.empty();
}

void GioNetwork::again(SlotRef ref) {
  Connection* c = table_.find(ref);
  if (!c)
    return;
  c->more = true;
  if (!std::exchange(c->queued, true))
    bulk_.push_back(ref);
}

std::size_t GioNetwork::on_readable(SlotRef ref, std::size_t most) {
  std::size_t done = 0;
  while (done < most) {  // then the others' turn
    Connection* c = table_.find(ref);
    if (!c || c->held)
      break;
    // A bulk one in as few calls as can be; else little at once, as the head of a long body may be
    // among it.
    std::size_t room = std::min({c->granted, most - done, c->bulk ? kReadATurn : kReadAtOnce});
    Error error;
    gssize n = g_socket_receive(c->socket.get(), scratch_.data(), room, nullptr, error.out());
    if (n < 0 && error.is(G_IO_ERROR_WOULD_BLOCK))
      break;
    if (n <= 0) {
      broken(ref);
      break;
    }
    auto got = static_cast<std::size_t>(n);
    done += got;
    if (c->state != State::Open)
      break;  // thrown away, a little each turn
    if (c->granted != SIZE_MAX && (c->granted -= got) == 0)
      set_held(ref, *c, true);
    c->handler->on_bytes(ref, {scratch_.data(), got});
    if (got < room)
      break;
  }
  return done;
}

void GioNetwork::on_writable(SlotRef ref) {
  Connection* c = table_.find(ref);
  if (!c)
    return;
  if (c->state == State::Connecting) {
    Error error;
    if (!g_socket_check_connect_result(c->socket.get(), error.out()))
      return broken(ref);
    c->state = State::Open;
    watch(ref, *c);
    c->handler->on_connected(ref);
    c = table_.find(ref);
    if (!c || c->unsent.empty())
      return;
  }
  std::size_t before = c->unsent.size();
  flush(ref, *c);
  if (c->state == State::Open && c->unsent.size() < before)
    c->handler->on_written(ref);
}

void GioNetwork::send(SlotRef ref, std::string bytes) {
  Connection* c = table_.find(ref);
  if (!c || c->state == State::Lingering)
    return;
  std::size_t done = 0;
  if (c->unsent.empty() &&
      c->state == State::Open) {  // most messages go out whole, and need not be kept
    Error error;
    gssize n = g_socket_send(c->socket.get(), bytes.data(), bytes.size(), nullptr, error.out());
    bool failed = n < 0 && !error.is(G_IO_ERROR_WOULD_BLOCK);
    done = n < 0 ? 0 : static_cast<std::size_t>(n);
    written_ += done;
    if (done == bytes.size())
      return;
    if (failed) {  // kept all the same: that it was not written is a proof
      c->unsent.push(std::move(bytes));
      return break_later(ref, *c);
    }
  }
  c->unsent.push(std::move(bytes), done);
  if (c->state != State::Connecting)
    flush(ref, *c);
}

void GioNetwork::send(SlotRef ref, Slice bytes) {
  Connection* c = table_.find(ref);
  if (!c || c->state == State::Lingering)
    return;
  c->unsent.push(std::move(bytes));
  if (c->state != State::Connecting)
    flush(ref, *c);
}

std::size_t GioNetwork::unsent(SlotRef ref) {
  Connection* c = table_.find(ref);
  return c ? c->unsent.size() : 0;
}

// Guards against EPIPE and peers that never read: told as a break in the next turn.
void GioNetwork::break_later(SlotRef ref, Connection& c) {
  c.broken = true;
  watch(ref, c);
  if (c.end.order == 0)
    c.end = deadlines_.add(clock_.now(), [this, ref] { broken(ref); });
}

// Never calls the handler: an error found here shows again when the connection is read.
void GioNetwork::flush(SlotRef ref, Connection& c) {
  while (!c.unsent.empty()) {
    std::array<GOutputVector, kPartsAtOnce> parts;
    int count = 0;
    std::size_t offered = 0;
    c.unsent.first(parts.size(), [&](std::string_view bytes) {
      parts[static_cast<std::size_t>(count++)] = {bytes.data(), bytes.size()};
      offered += bytes.size();
    });
    Error error;
    gssize n = count == 1 ? g_socket_send(c.socket.get(), static_cast<const char*>(parts[0].buffer),
                                          offered, nullptr, error.out())
                          : g_socket_send_message(c.socket.get(), nullptr, parts.data(), count,
                                                  nullptr, 0, 0, nullptr, error.out());
    if (n < 0 && !error.is(G_IO_ERROR_WOULD_BLOCK))
      return break_later(ref, c);
    if (n < 0)
      break;
    c.unsent.drop(static_cast<std::size_t>(n));
    written_ += static_cast<std::size_t>(n);
    if (static_cast<std::size_t>(n) < offered)
      break;  // the network is full; the next call would say so
  }
  if (!c.bulk && c.unsent.size() > kMostUnsent)
    return break_later(ref, c);
  if (!c.unsent.empty())
    return watch(ref, c);
  if (c.state == State::Flushing) {
    c.state = State::Lingering;
    g_socket_shutdown(c.socket.get(), FALSE, TRUE, nullptr);
  }
  watch(ref, c);
}

// A close while the peer still writes would reset the connection and could destroy an answer on its
// way. So our side is shut first, and what comes is thrown away until the peer closes too, for a
// bounded time and behind all other sockets: a peer that sends megabytes at full speed must not
// slow down anyone else.
void GioNetwork::finish(SlotRef ref) {
  Connection* c = table_.find(ref);
  if (!c)
    return;
  if (c->state == State::Connecting)
    return remove(ref);
  if (c->state != State::Open)
    return;
  c->state = State::Flushing;
  hold(ref, false);
  if (c->end.order == 0)
    c->end = deadlines_.add(clock_.now() + kLinger, [this, ref] { remove(ref); });
  if (c->accepted)
    finishing_.push_back(ref);
  flush(ref, *c);
}

void GioNetwork::close(SlotRef ref) {
  remove(ref);
}

void GioNetwork::reset(SlotRef ref) {
  if (Connection* c = table_.find(ref)) {
    linger at_once{1, 0};
    setsockopt(g_socket_get_fd(c->socket.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  }
  remove(ref);
}

bool GioNetwork::unread(SlotRef ref) {
  Connection* c = table_.find(ref);
  return c && (g_socket_condition_check(c->socket.get(), G_IO_IN) & G_IO_IN) != 0;
}

// Guards whoever works for a client that has sent ahead and then gone: behind what it sent its end
// would not be seen before all of that has been read.
void GioNetwork::hold(SlotRef ref, bool held) {
  if (Connection* c = table_.find(ref))
    c->ends_unread = held && c->accepted && !c->bulk;
  grant(ref, held ? 0 : SIZE_MAX);
}

void GioNetwork::grant(SlotRef ref, std::size_t bytes) {
  Connection* c = table_.find(ref);
  if (!c || c->state == State::Connecting || (bytes == 0 && c->state != State::Open))
    return;
  c->granted = bytes;
  set_held(ref, *c, bytes == 0);
}

void GioNetwork::set_held(SlotRef ref, Connection& c, bool held) {
  if (c.held == held)
    return;
  c.held = held;
  watch(ref, c);
}

void GioNetwork::bulk(SlotRef ref, bool on) {
  if (Connection* c = table_.find(ref))
    c->bulk = on;
}

void GioNetwork::broken(SlotRef ref) {
  Connection* c = table_.find(ref);
  if (!c)
    return;
  ConnectionHandler* handler = c->handler;
  bool told = c->state == State::Connecting || c->state == State::Open;
  bool all_written = c->state != State::Connecting && c->unsent.empty();
  remove(ref);
  if (told)
    handler->on_closed(ref, all_written);
}

void GioNetwork::remove(SlotRef ref) {
  Connection* c = table_.find(ref);
  if (!c)
    return;
  deadlines_.drop(c->end);
  g_socket_close(c->socket.get(), nullptr);
  --(c->accepted ? accepted_ : connected_);
  if (c->state == State::Flushing || c->state == State::Lingering)
    std::erase(finishing_, ref);
  bool accepted = c->accepted;
  table_.erase(ref);
  if (accepted && !accepts_)
    resume_accepting();
}

}  // namespace dispatcher::transport

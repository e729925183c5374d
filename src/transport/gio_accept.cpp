// The listening socket of GioNetwork and the connections accepted on it.
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

#include "transport/address.h"
#include "transport/gio_network.h"
#include "transport/gio_sockets.h"

namespace dispatcher::transport {
namespace {

// The pause after running out of descriptors, or when the limit is reached and no connection can be
// closed.
constexpr Duration kAcceptPause{20};
constexpr int kMaxAcceptsPerTurn = 64;
constexpr int kListenBacklog = 1024;

}  // namespace

void GioNetwork::listen(const std::string& address, Acceptor& acceptor, bool shared) {
  ObjectPtr<GSocketAddress> socket_address = parse_address(address);
  if (!socket_address)
    throw std::runtime_error("malformed listen address: " + address);
  GlibError error;
  listener_ = new_tcp_socket(socket_address.get(), error);
  if (!listener_)
    throw std::runtime_error(std::string("cannot create a listening socket: ") + error.text());
  g_socket_set_listen_backlog(listener_.get(), kListenBacklog);
  // For a hot restart in which the listening socket itself cannot be passed on.
  if (shared)
    g_socket_set_option(listener_.get(), SOL_SOCKET, SO_REUSEPORT, 1, nullptr);
  if (!g_socket_bind(listener_.get(), socket_address.get(), TRUE, error.out()) ||
      !g_socket_listen(listener_.get(), error.out()))
    throw std::runtime_error("cannot listen on " + address + ": " + error.text());
  acceptor_ = &acceptor;
  set_accepting(true);
}

void GioNetwork::adopt_listener(Descriptor listening, Acceptor& acceptor) {
  GlibError error;
  listener_.reset(g_socket_new_from_fd(listening.get(), error.out()));
  if (!listener_) {
    throw std::runtime_error(std::string("cannot use the inherited listening socket: ") +
                             error.text());
  }
  listening.release();
  g_socket_set_blocking(listener_.get(), FALSE);
  acceptor_ = &acceptor;
}

Descriptor GioNetwork::listener() const {
  return listener_ ? Descriptor::copy_of(g_socket_get_fd(listener_.get())) : Descriptor();
}

void GioNetwork::set_accepting(bool on) {
  accepting_ = on;
  if (on)
    return resume_accepting();
  deadlines_.disarm(resume_accepting_);
  listener_source_.reset();
}

void GioNetwork::set_limits(Limits limits) {
  limits_ = limits;
  if (!listener_source_)
    resume_accepting();
}

void GioNetwork::resume_accepting() {
  deadlines_.disarm(resume_accepting_);
  if (listener_source_ || !listener_ || !accepting_)
    return;
  listener_source_.reset(g_socket_create_source(listener_.get(), G_IO_IN, nullptr));
  g_source_set_callback(listener_source_.get(), G_SOURCE_FUNC(&GioNetwork::on_incoming), this,
                        nullptr);
  g_source_attach(listener_source_.get(), context_);
}

void GioNetwork::pause_accepting() {
  listener_source_.reset();
  resume_accepting_ = deadlines_.add(clock_.now() + kAcceptPause, [this] { resume_accepting(); });
}

gboolean GioNetwork::on_incoming(GSocket*, GIOCondition, gpointer data) {
  static_cast<GioNetwork*>(data)->accept_incoming();
  return G_SOURCE_CONTINUE;
}

void GioNetwork::accept_incoming() {
  for (int i = 0; i < kMaxAcceptsPerTurn && accepting_; ++i) {
    if (!reserve_accepted())
      return;
    GlibError error;
    ObjectPtr<GSocket> socket(g_socket_accept(listener_.get(), nullptr, error.out()));
    if (!socket) {
      if (error.is(G_IO_ERROR_WOULD_BLOCK))
        return;
      if (error.is(G_IO_ERROR_CONNECTION_CLOSED))
        continue;  // the peer closed it before it was accepted
      // EMFILE: the listener stays readable, so retrying immediately would busy-wait.
      report_error_(std::string("cannot accept a connection: ") + error.text());
      make_room();
      return pause_accepting();
    }
    std::optional<SlotRef> ref = add_accepted(std::move(socket));
    if (!ref)
      return pause_accepting();
    acceptor_->on_accepted(*ref);
    // A client often sends its request immediately. It is read now, because the next accept could
    // otherwise take this connection for an idle one and close it.
    on_readable(*ref);
  }
}

// Makes room for one more connection if the limit is reached. Returns false if none can be accepted
// now, either because no client is waiting or because no connection can be closed. Further clients
// wait in the listen backlog.
bool GioNetwork::reserve_accepted() {
  if (accepted_count_ < limits_.accepted)
    return true;
  if ((g_socket_condition_check(listener_.get(), G_IO_IN) & G_IO_IN) == 0)
    return false;
  if (make_room())
    return true;
  pause_accepting();
  return false;
}

std::optional<SlotRef> GioNetwork::add_accepted(ObjectPtr<GSocket> socket) {
  g_socket_set_blocking(socket.get(), FALSE);
  set_no_delay(socket.get());
  Connection connection;
  connection.socket = std::move(socket);
  connection.handler = acceptor_;
  connection.origin = Connection::Origin::Accepted;
  std::optional<SlotRef> ref = table_.insert(std::move(connection));
  if (!ref)
    return std::nullopt;
  ++accepted_count_;
  watch(*ref, *table_.find(*ref));
  return ref;
}

std::optional<SlotRef> GioNetwork::adopt(Descriptor connection) {
  GlibError error;
  ObjectPtr<GSocket> socket(g_socket_new_from_fd(connection.get(), error.out()));
  if (!socket)
    return std::nullopt;
  connection.release();
  return add_accepted(std::move(socket));
}

// Closes a connection whose last response has been written, or else an idle one. Returns false if
// there is neither.
bool GioNetwork::make_room() {
  auto lingering = std::ranges::find_if(
      finishing_, [this](SlotRef ref) { return table_.find(ref)->state == State::Lingering; });
  if (lingering == finishing_.end())
    return acceptor_ && acceptor_->shed_idle();
  remove(*lingering);
  return true;
}

}  // namespace dispatcher::transport

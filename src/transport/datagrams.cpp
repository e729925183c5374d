#include "transport/datagrams.h"

#include <array>
#include <stdexcept>

#include "transport/address.h"

namespace dispatcher::transport {
namespace {

constexpr int kReadsATurn = 64;  // the rest waits in the kernel, or is lost there

}  // namespace

Datagrams::Datagrams(GMainContext* context, const std::string& address, Received received)
    : context_(context), received_(std::move(received)) {
  auto where = parse_address(address);
  if (!where)
    throw std::runtime_error("not an address: " + address);
  Error error;
  socket_.reset(g_socket_new(g_socket_address_get_family(where.get()), G_SOCKET_TYPE_DATAGRAM,
                             G_SOCKET_PROTOCOL_UDP, error.out()));
  if (!socket_ || !g_socket_bind(socket_.get(), where.get(), FALSE, error.out()))
    throw std::runtime_error("cannot listen on " + address + ": " + error.text());
  g_socket_set_blocking(socket_.get(), FALSE);
  listen(true);
}

Datagrams::Datagrams(GMainContext* context, Descriptor bound, Received received)
    : context_(context), received_(std::move(received)) {
  Error error;
  socket_.reset(g_socket_new_from_fd(bound.get(), error.out()));
  if (!socket_)
    throw std::runtime_error(std::string("not a socket: ") + error.text());
  bound.release();
  g_socket_set_blocking(socket_.get(), FALSE);
  listen(true);
}

void Datagrams::listen(bool on) {
  source_.reset();
  if (!on)
    return;
  source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(&Datagrams::readable), this, nullptr);
  g_source_attach(source_.get(), context_);
}

Descriptor Datagrams::descriptor() const {
  return Descriptor::copy_of(g_socket_get_fd(socket_.get()));
}

gboolean Datagrams::readable(GSocket*, GIOCondition, gpointer data) {
  static_cast<Datagrams*>(data)->read_some();
  return G_SOURCE_CONTINUE;
}

void Datagrams::read_some() {
  std::array<char, 512> buffer;
  for (int i = 0; i < kReadsATurn; ++i) {
    GSocketAddress* from = nullptr;
    gssize n =
        g_socket_receive_from(socket_.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
    ObjectPtr<GSocketAddress> sender(from);
    if (n < 0)
      return;  // nothing more, or an error that belongs to a datagram sent before
    if (!sender || !G_IS_INET_SOCKET_ADDRESS(sender.get()))
      continue;
    auto* inet = G_INET_SOCKET_ADDRESS(sender.get());
    char* host = g_inet_address_to_string(g_inet_socket_address_get_address(inet));
    std::string name =
        std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(inet));
    g_free(host);
    received_(name, {buffer.data(), static_cast<std::size_t>(n)});
  }
}

void Datagrams::send(const std::string& to, std::string_view bytes) {
  if (to != to_) {
    peer_ = parse_address(to);
    to_ = to;
  }
  if (peer_)
    g_socket_send_to(socket_.get(), peer_.get(), bytes.data(), bytes.size(), nullptr, nullptr);
}

}  // namespace dispatcher::transport

#include "transport/datagrams.h"

#include <array>
#include <stdexcept>

#include "transport/address.h"

namespace dispatcher::transport {
namespace {

constexpr int kMaxReadsPerTurn = 64;
constexpr std::size_t kMaxDatagramBytes = 512;

std::string host_and_port(GInetSocketAddress* address) {
  char* host = g_inet_address_to_string(g_inet_socket_address_get_address(address));
  std::string text =
      std::string(host) + ":" + std::to_string(g_inet_socket_address_get_port(address));
  g_free(host);
  return text;
}

}  // namespace

UdpSocket::UdpSocket(GMainContext* context, const std::string& address, ReceiveCallback received)
    : context_(context), received_(std::move(received)) {
  ObjectPtr<GSocketAddress> socket_address = parse_address(address);
  if (!socket_address)
    throw std::runtime_error("malformed UDP address: " + address);
  GlibError error;
  socket_.reset(g_socket_new(g_socket_address_get_family(socket_address.get()),
                             G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, error.out()));
  if (!socket_ || !g_socket_bind(socket_.get(), socket_address.get(), FALSE, error.out()))
    throw std::runtime_error("cannot bind a UDP socket to " + address + ": " + error.text());
  g_socket_set_blocking(socket_.get(), FALSE);
  set_receiving(true);
}

UdpSocket::UdpSocket(GMainContext* context, Descriptor bound, ReceiveCallback received)
    : context_(context), received_(std::move(received)) {
  GlibError error;
  socket_.reset(g_socket_new_from_fd(bound.get(), error.out()));
  if (!socket_)
    throw std::runtime_error(std::string("cannot use the inherited UDP socket: ") + error.text());
  bound.release();
  g_socket_set_blocking(socket_.get(), FALSE);
  set_receiving(true);
}

void UdpSocket::set_receiving(bool on) {
  source_.reset();
  if (!on)
    return;
  source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(&UdpSocket::on_readable), this, nullptr);
  g_source_attach(source_.get(), context_);
}

Descriptor UdpSocket::descriptor() const {
  return Descriptor::copy_of(g_socket_get_fd(socket_.get()));
}

gboolean UdpSocket::on_readable(GSocket*, GIOCondition, gpointer data) {
  static_cast<UdpSocket*>(data)->read_available();
  return G_SOURCE_CONTINUE;
}

void UdpSocket::read_available() {
  std::array<char, kMaxDatagramBytes> buffer{};
  for (int i = 0; i < kMaxReadsPerTurn; ++i) {
    GSocketAddress* from = nullptr;
    gssize count =
        g_socket_receive_from(socket_.get(), &from, buffer.data(), buffer.size(), nullptr, nullptr);
    ObjectPtr<GSocketAddress> sender(from);
    if (count < 0)
      return;  // no more datagrams, or an error caused by a datagram sent earlier
    if (!sender || !G_IS_INET_SOCKET_ADDRESS(sender.get()))
      continue;
    received_(host_and_port(G_INET_SOCKET_ADDRESS(sender.get())),
              {buffer.data(), static_cast<std::size_t>(count)});
  }
}

void UdpSocket::send(const std::string& to, std::string_view bytes) {
  if (to != cached_receiver_) {
    cached_address_ = parse_address(to);
    cached_receiver_ = to;
  }
  if (cached_address_) {
    g_socket_send_to(socket_.get(), cached_address_.get(), bytes.data(), bytes.size(), nullptr,
                     nullptr);
  }
}

}  // namespace dispatcher::transport

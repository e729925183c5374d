#include "transport/local_link.h"

#include <gio/gunixconnection.h>
#include <gio/gunixfdmessage.h>
#include <gio/gunixsocketaddress.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <array>
#include <cstdio>
#include <stdexcept>

namespace dispatcher::transport {
namespace {

constexpr std::size_t kMaxPacketBytes = 192 << 10;  // fits into a socket buffer
constexpr int kMaxPacketsPerTurn = 16;

ObjectPtr<GSocket> new_local_socket() {
  GlibError error;
  ObjectPtr<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_SEQPACKET,
                                         G_SOCKET_PROTOCOL_DEFAULT, error.out()));
  if (!socket)
    throw std::runtime_error(std::string("cannot create a Unix domain socket: ") + error.text());
  g_socket_set_blocking(socket.get(), FALSE);
  return socket;
}

ObjectPtr<GSocketAddress> address_of(const std::string& path) {
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    throw std::runtime_error("path too long for a Unix domain socket: " + path);
  return ObjectPtr<GSocketAddress>(g_unix_socket_address_new(path.c_str()));
}

bool is_same_user(GSocket* socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == geteuid();
}

// Moves the descriptors out of the control messages and frees the messages.
std::vector<Descriptor> take_descriptors(GSocketControlMessage** messages, int count) {
  std::vector<Descriptor> descriptors;
  for (int i = 0; i < count; ++i) {
    if (G_IS_UNIX_FD_MESSAGE(messages[i])) {
      gint length = 0;
      gint* taken = g_unix_fd_message_steal_fds(G_UNIX_FD_MESSAGE(messages[i]), &length);
      for (gint j = 0; j < length; ++j)
        descriptors.emplace_back(taken[j]);
      g_free(taken);
    }
    g_object_unref(messages[i]);
  }
  g_free(messages);
  return descriptors;
}

enum class ReceiveResult { Packet, WouldBlock, Closed };

ReceiveResult receive(GSocket* socket, Packet& packet) {
  std::string bytes(kMaxPacketBytes, '\0');
  GInputVector vector{bytes.data(), bytes.size()};
  GSocketControlMessage** control_messages = nullptr;
  gint control_count = 0;
  gint flags = 0;
  GlibError error;
  gssize count = g_socket_receive_message(socket, nullptr, &vector, 1, &control_messages,
                                          &control_count, &flags, nullptr, error.out());
  packet.descriptors = take_descriptors(control_messages, control_count);
  if (count < 0 && error.is(G_IO_ERROR_WOULD_BLOCK))
    return ReceiveResult::WouldBlock;
  if (count <= 0)
    return ReceiveResult::Closed;
  bool truncated = (flags & (MSG_TRUNC | MSG_CTRUNC)) != 0;
  bytes.resize(truncated ? 0 : static_cast<std::size_t>(count));
  packet.bytes = std::move(bytes);
  return ReceiveResult::Packet;
}

enum class SendResult { Sent, Full, Failed };

SendResult try_send(GSocket* socket, const Packet& packet) {
  GOutputVector vector{packet.bytes.data(), packet.bytes.size()};
  ObjectPtr<GSocketControlMessage> descriptors;
  GlibError error;
  if (!packet.descriptors.empty()) {
    descriptors.reset(g_unix_fd_message_new());
    auto* message = G_UNIX_FD_MESSAGE(descriptors.get());
    for (const Descriptor& descriptor : packet.descriptors) {
      if (!g_unix_fd_message_append_fd(message, descriptor.get(), error.out()))
        return SendResult::Failed;
    }
  }
  GSocketControlMessage* message = descriptors.get();
  gssize count = g_socket_send_message(socket, nullptr, &vector, 1, message ? &message : nullptr,
                                       message ? 1 : 0, 0, nullptr, error.out());
  if (count >= 0)
    return SendResult::Sent;
  return error.is(G_IO_ERROR_WOULD_BLOCK) ? SendResult::Full : SendResult::Failed;
}

}  // namespace

ObjectPtr<GSocket> connect_local(const std::string& path) {
  ObjectPtr<GSocketAddress> address = address_of(path);
  ObjectPtr<GSocket> socket = new_local_socket();
  GlibError error;
  if (!g_socket_connect(socket.get(), address.get(), nullptr, error.out()) ||
      !is_same_user(socket.get()))
    return nullptr;
  return socket;
}

std::optional<Packet> receive_within(GSocket* socket, Duration timeout) {
  GlibError error;
  auto timeout_us = static_cast<gint64>(timeout.count() * 1000);
  if (!g_socket_condition_timed_wait(socket, G_IO_IN, timeout_us, nullptr, error.out()))
    return std::nullopt;
  Packet packet;
  if (receive(socket, packet) != ReceiveResult::Packet)
    return std::nullopt;
  return packet;
}

bool send_packet(GSocket* socket, const Packet& packet) {
  return try_send(socket, packet) == SendResult::Sent;
}

LocalLink::LocalLink(GMainContext* context, ObjectPtr<GSocket> socket, ReceiveCallback received,
                     CloseCallback ended)
    : context_(context),
      socket_(std::move(socket)),
      received_(std::move(received)),
      ended_(std::move(ended)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  read_source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  g_source_set_callback(read_source_.get(), G_SOURCE_FUNC(&LocalLink::on_ready), this, nullptr);
  g_source_attach(read_source_.get(), context_);
}

gboolean LocalLink::on_ready(GSocket*, GIOCondition condition, gpointer data) {
  auto* link = static_cast<LocalLink*>(data);
  if ((condition & G_IO_OUT) != 0) {
    link->flush();
  } else {
    link->read_available();
  }
  return G_SOURCE_CONTINUE;
}

void LocalLink::read_available() {
  for (int i = 0; i < kMaxPacketsPerTurn && socket_; ++i) {
    Packet packet;
    ReceiveResult result = receive(socket_.get(), packet);
    if (result == ReceiveResult::WouldBlock)
      return;
    if (result == ReceiveResult::Closed)
      return end();
    received_(std::move(packet));
  }
}

void LocalLink::send(Packet packet) {
  if (!socket_)
    return;
  unsent_.push_back(std::move(packet));
  if (!write_source_)
    flush();
}

void LocalLink::flush() {
  while (socket_ && !unsent_.empty()) {
    SendResult result = try_send(socket_.get(), unsent_.front());
    if (result == SendResult::Full) {
      if (write_source_)
        return;
      write_source_.reset(g_socket_create_source(socket_.get(), G_IO_OUT, nullptr));
      g_source_set_callback(write_source_.get(), G_SOURCE_FUNC(&LocalLink::on_ready), this,
                            nullptr);
      g_source_attach(write_source_.get(), context_);
      return;
    }
    // A failure means that the other process has ended, which read_available() will notice.
    unsent_.pop_front();
  }
  write_source_.reset();
}

void LocalLink::disconnect() {
  read_source_.reset();
  write_source_.reset();
  socket_.reset();
  unsent_.clear();
}

void LocalLink::end() {
  disconnect();
  ended_();
}

LocalListener::LocalListener(GMainContext* context, const std::string& path,
                             AcceptCallback accepted)
    : accepted_(std::move(accepted)) {
  struct stat existing {};
  if (lstat(path.c_str(), &existing) == 0 && !S_ISSOCK(existing.st_mode))
    throw std::runtime_error(path + " exists and is not a socket");
  // The socket is bound to a temporary path, which is then renamed, so that the path always refers
  // to a listening socket.
  std::string temporary_path = path + "." + std::to_string(getpid());
  ObjectPtr<GSocketAddress> address = address_of(temporary_path);
  std::remove(temporary_path.c_str());
  socket_ = new_local_socket();
  GlibError error;
  if (!g_socket_bind(socket_.get(), address.get(), FALSE, error.out()) ||
      !g_socket_listen(socket_.get(), error.out()) ||
      std::rename(temporary_path.c_str(), path.c_str()) != 0) {
    std::string reason = error.text();
    std::remove(temporary_path.c_str());
    throw std::runtime_error("cannot listen at " + path + ": " + reason);
  }
  source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(&LocalListener::on_incoming), this, nullptr);
  g_source_attach(source_.get(), context);
}

gboolean LocalListener::on_incoming(GSocket* socket, GIOCondition, gpointer data) {
  ObjectPtr<GSocket> accepted(g_socket_accept(socket, nullptr, nullptr));
  if (accepted && is_same_user(accepted.get()))
    static_cast<LocalListener*>(data)->accepted_(std::move(accepted));
  return G_SOURCE_CONTINUE;
}

}  // namespace dispatcher::transport

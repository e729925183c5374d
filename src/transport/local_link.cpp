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

constexpr std::size_t kMostPacket = 192 << 10;  // longer ones do not fit in a socket's buffer
constexpr int kPacketsATurn = 16;

ObjectPtr<GSocket> new_socket() {
  Error error;
  ObjectPtr<GSocket> s(g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_SEQPACKET,
                                    G_SOCKET_PROTOCOL_DEFAULT, error.out()));
  if (!s)
    throw std::runtime_error(std::string("no local socket: ") + error.text());
  g_socket_set_blocking(s.get(), FALSE);
  return s;
}

ObjectPtr<GSocketAddress> address_of(const std::string& path) {
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    throw std::runtime_error("too long for a socket: " + path);
  return ObjectPtr<GSocketAddress>(g_unix_socket_address_new(path.c_str()));
}

bool same_user(GSocket* s) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return getsockopt(g_socket_get_fd(s), SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 &&
         peer.uid == geteuid();
}

enum class Got { Packet, Nothing, End };

Got receive(GSocket* socket, Packet& packet) {
  std::string bytes(kMostPacket, '\0');
  GInputVector vector{bytes.data(), bytes.size()};
  GSocketControlMessage** controls = nullptr;
  gint count = 0;
  gint flags = 0;
  Error error;
  gssize n = g_socket_receive_message(socket, nullptr, &vector, 1, &controls, &count, &flags,
                                      nullptr, error.out());
  for (gint i = 0; i < count; ++i) {
    if (G_IS_UNIX_FD_MESSAGE(controls[i])) {
      gint length = 0;
      gint* fds = g_unix_fd_message_steal_fds(G_UNIX_FD_MESSAGE(controls[i]), &length);
      for (gint k = 0; k < length; ++k)
        packet.descriptors.emplace_back(fds[k]);
      g_free(fds);
    }
    g_object_unref(controls[i]);
  }
  g_free(controls);
  if (n < 0 && error.is(G_IO_ERROR_WOULD_BLOCK))
    return Got::Nothing;
  if (n <= 0)
    return Got::End;
  bytes.resize((flags & (MSG_TRUNC | MSG_CTRUNC)) != 0
                   ? 0
                   : static_cast<std::size_t>(n));  // cut: no message
  packet.bytes = std::move(bytes);
  return Got::Packet;
}

enum class Put { Sent, Full, Failed };

Put put(GSocket* socket, const Packet& packet) {
  GOutputVector vector{packet.bytes.data(), packet.bytes.size()};
  ObjectPtr<GSocketControlMessage> descriptors;
  Error error;
  if (!packet.descriptors.empty()) {
    descriptors.reset(g_unix_fd_message_new());
    for (const Descriptor& d : packet.descriptors) {
      if (!g_unix_fd_message_append_fd(G_UNIX_FD_MESSAGE(descriptors.get()), d.get(), error.out()))
        return Put::Failed;
    }
  }
  GSocketControlMessage* message = descriptors.get();
  gssize n = g_socket_send_message(socket, nullptr, &vector, 1, message ? &message : nullptr,
                                   message ? 1 : 0, 0, nullptr, error.out());
  if (n >= 0)
    return Put::Sent;
  return error.is(G_IO_ERROR_WOULD_BLOCK) ? Put::Full : Put::Failed;
}

}  // namespace

ObjectPtr<GSocket> connect_local(const std::string& path) {
  auto where = address_of(path);
  ObjectPtr<GSocket> s = new_socket();
  Error error;
  if (!g_socket_connect(s.get(), where.get(), nullptr, error.out()) || !same_user(s.get()))
    return nullptr;
  return s;
}

std::optional<Packet> receive_within(GSocket* socket, Duration longest) {
  Error error;
  auto wait = static_cast<gint64>(longest.count() * 1000);
  if (!g_socket_condition_timed_wait(socket, G_IO_IN, wait, nullptr, error.out()))
    return std::nullopt;
  Packet packet;
  if (receive(socket, packet) != Got::Packet)
    return std::nullopt;
  return packet;
}

bool send_packet(GSocket* socket, const Packet& packet) {
  return put(socket, packet) == Put::Sent;
}

LocalLink::LocalLink(GMainContext* context, ObjectPtr<GSocket> socket, Received received,
                     Ended ended)
    : context_(context),
      socket_(std::move(socket)),
      received_(std::move(received)),
      ended_(std::move(ended)) {
  g_socket_set_blocking(socket_.get(), FALSE);
  reads_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  g_source_set_callback(reads_.get(), G_SOURCE_FUNC(&LocalLink::ready), this, nullptr);
  g_source_attach(reads_.get(), context_);
}

gboolean LocalLink::ready(GSocket*, GIOCondition condition, gpointer data) {
  auto* link = static_cast<LocalLink*>(data);
  if ((condition & G_IO_OUT) != 0) {
    link->flush();
  } else {
    link->read_some();
  }
  return G_SOURCE_CONTINUE;
}

void LocalLink::read_some() {
  for (int i = 0; i < kPacketsATurn && socket_; ++i) {
    Packet packet;
    Got got = receive(socket_.get(), packet);
    if (got == Got::Nothing)
      return;
    if (got == Got::End)
      return end();
    received_(std::move(packet));
  }
}

void LocalLink::send(Packet packet) {
  if (!socket_)
    return;
  waiting_.push_back(std::move(packet));
  if (!writes_)
    flush();
}

void LocalLink::flush() {
  while (socket_ && !waiting_.empty()) {
    Put done = put(socket_.get(), waiting_.front());
    if (done == Put::Full) {
      if (writes_)
        return;
      writes_.reset(g_socket_create_source(socket_.get(), G_IO_OUT, nullptr));
      g_source_set_callback(writes_.get(), G_SOURCE_FUNC(&LocalLink::ready), this, nullptr);
      g_source_attach(writes_.get(), context_);
      return;
    }
    // Where it failed the other one is gone, and reading says so in its turn; what waited is lost
    // with it.
    waiting_.pop_front();
  }
  writes_.reset();
}

void LocalLink::hang_up() {
  reads_.reset();
  writes_.reset();
  socket_.reset();
  waiting_.clear();
}

void LocalLink::end() {
  hang_up();
  ended_();
}

LocalListener::LocalListener(GMainContext* context, const std::string& path, Came came)
    : came_(std::move(came)) {
  struct stat there {};
  if (lstat(path.c_str(), &there) == 0 && !S_ISSOCK(there.st_mode))
    throw std::runtime_error(path + " is there, and no socket");
  // Bound beside it and moved over it: at no moment does the path lead nowhere.
  std::string beside = path + "." + std::to_string(getpid());
  auto where = address_of(beside);
  std::remove(beside.c_str());
  socket_ = new_socket();
  Error error;
  if (!g_socket_bind(socket_.get(), where.get(), FALSE, error.out()) ||
      !g_socket_listen(socket_.get(), error.out()) ||
      std::rename(beside.c_str(), path.c_str()) != 0) {
    std::string why = error.text();
    std::remove(beside.c_str());
    throw std::runtime_error("cannot listen at " + path + ": " + why);
  }
  source_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(&LocalListener::incoming), this, nullptr);
  g_source_attach(source_.get(), context);
}

gboolean LocalListener::incoming(GSocket* socket, GIOCondition, gpointer data) {
  ObjectPtr<GSocket> came(g_socket_accept(socket, nullptr, nullptr));
  if (came && same_user(came.get()))
    static_cast<LocalListener*>(data)->came_(std::move(came));
  return G_SOURCE_CONTINUE;
}

}  // namespace dispatcher::transport

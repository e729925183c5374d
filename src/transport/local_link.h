// Exchange of packets with file descriptors between two processes of the same user on this machine,
// over a Unix domain socket.
#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "transport/clock.h"
#include "transport/descriptor.h"
#include "transport/glib.h"

namespace dispatcher::transport {

struct Packet {
  std::string bytes;
  std::vector<Descriptor> descriptors;
};

// Returns null if no process of this user listens at the path. Throws std::runtime_error if no
// socket can be created for the path.
ObjectPtr<GSocket> connect_local(const std::string& path);

// Blocks until a packet arrives; for use before the event loop runs. Returns nullopt after the
// timeout, or if the peer has closed the connection.
std::optional<Packet> receive_within(GSocket* socket, Duration timeout);
// Returns false if the packet was not sent.
bool send_packet(GSocket* socket, const Packet& packet);

// One end of a connection, served by a GLib main context. Neither callback may destroy it.
class LocalLink {
 public:
  using ReceiveCallback = std::function<void(Packet)>;
  using CloseCallback = std::function<void()>;  // called once, but not after disconnect()
  LocalLink(GMainContext* context, ObjectPtr<GSocket> socket, ReceiveCallback received,
            CloseCallback ended);

  // Queues packets, in order, that cannot be sent immediately.
  void send(Packet packet);
  void disconnect();
  bool is_open() const { return socket_ != nullptr; }

 private:
  static gboolean on_ready(GSocket* socket, GIOCondition condition, gpointer data);
  void read_available();
  void flush();
  void end();

  GMainContext* context_;
  ObjectPtr<GSocket> socket_;
  ReceiveCallback received_;
  CloseCallback ended_;
  std::deque<Packet> unsent_;
  SourcePtr read_source_;
  SourcePtr write_source_;
};

// Listens at a path, and takes the path over from a process that has listened there before. Does
// not replace a file that is not a socket.
class LocalListener {
 public:
  using AcceptCallback = std::function<void(ObjectPtr<GSocket>)>;
  // Throws std::runtime_error.
  LocalListener(GMainContext* context, const std::string& path, AcceptCallback accepted);

 private:
  static gboolean on_incoming(GSocket* socket, GIOCondition condition, gpointer data);

  AcceptCallback accepted_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
};

}  // namespace dispatcher::transport

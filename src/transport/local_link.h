// Packets with descriptors between two processes of one user on this machine, over a local socket.
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

// Null: nobody of this user listens at the path. Throws std::runtime_error where local sockets are
// not available at all.
ObjectPtr<GSocket> connect_local(const std::string& path);

// For use before there is a loop: waits for one packet. Nothing: none arrived within the timeout,
// or the link has ended.
std::optional<Packet> receive_within(GSocket* socket, Duration timeout);
// False: it was not sent.
bool send_packet(GSocket* socket, const Packet& packet);

// One end of a link, in the loop. Neither callback may destroy it.
class LocalLink {
 public:
  using Received = std::function<void(Packet)>;
  using Ended = std::function<void()>;  // called once; not after hang_up()
  LocalLink(GMainContext* context, ObjectPtr<GSocket> socket, Received received, Ended ended);

  // Packets that cannot be sent at once wait, in order.
  void send(Packet packet);
  void hang_up();
  bool up() const { return socket_ != nullptr; }

 private:
  static gboolean on_ready(GSocket* socket, GIOCondition condition, gpointer data);
  void read_available();
  void flush();
  void end();

  GMainContext* context_;
  ObjectPtr<GSocket> socket_;
  Received received_;
  Ended ended_;
  std::deque<Packet> unsent_;
  SourcePtr read_source_;
  SourcePtr write_source_;
};

// Listens at a path and takes it over from a process that listened there before. A file that is no
// socket is left alone.
class LocalListener {
 public:
  using Accepted = std::function<void(ObjectPtr<GSocket>)>;
  // Throws std::runtime_error.
  LocalListener(GMainContext* context, const std::string& path, Accepted accepted);

 private:
  static gboolean on_incoming(GSocket* socket, GIOCondition condition, gpointer data);

  Accepted accepted_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
};

}  // namespace dispatcher::transport

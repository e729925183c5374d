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

// Nothing: nobody listens there (or it is no socket). Throws std::runtime_error where local sockets
// cannot be had at all.
ObjectPtr<GSocket> connect_local(const std::string& path);

// Before there is a loop: waits at most so long for one packet; nothing when none came or the link
// has ended.
std::optional<Packet> receive_within(GSocket* socket, Duration longest);
bool send_packet(GSocket* socket, const Packet& packet);  // false: it did not go out

// One end of a link, in the loop. Neither callback may destroy it.
class LocalLink {
 public:
  using Received = std::function<void(Packet)>;
  using Ended = std::function<void()>;  // once; not after hang_up()
  LocalLink(GMainContext* context, ObjectPtr<GSocket> socket, Received received, Ended ended);

  void send(Packet packet);  // what does not go out at once waits, in order
  void hang_up();
  bool up() const { return socket_ != nullptr; }

 private:
  static gboolean ready(GSocket* socket, GIOCondition condition, gpointer data);
  void read_some();
  void flush();
  void end();

  GMainContext* context_;
  ObjectPtr<GSocket> socket_;
  Received received_;
  Ended ended_;
  std::deque<Packet> waiting_;
  SourcePtr reads_;
  SourcePtr writes_;
};

// Listens at a path, which it takes over from whoever bound it before; a file that is no socket is
// left alone.
class LocalListener {
 public:
  using Came = std::function<void(ObjectPtr<GSocket>)>;
  // Throws std::runtime_error where the path cannot be had.
  LocalListener(GMainContext* context, const std::string& path, Came came);

 private:
  static gboolean incoming(GSocket* socket, GIOCondition condition, gpointer data);

  Came came_;
  ObjectPtr<GSocket> socket_;
  SourcePtr source_;
};

}  // namespace dispatcher::transport

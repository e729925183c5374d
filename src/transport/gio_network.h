// The implementation of Network with non-blocking GIO sockets in a slot map, served by a GLib main
// context.
//
// The class is implemented in gio_network.cpp (table, epoll, opening and closing), gio_accept.cpp
// (the listening socket) and gio_transfer.cpp (reading and writing).
#pragma once

#include <sys/epoll.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "transport/deadlines.h"
#include "transport/gio_connection.h"
#include "transport/glib.h"
#include "transport/network.h"

namespace dispatcher::transport {

// Confined to the thread of the context. A handler is never called from within a call to this
// class.
class GioNetwork final : public Network {
 public:
  // The limits are separate, so that many clients cannot use up the connections to workers.
  struct Limits {
    std::size_t accepted;   // connections on the listening address
    std::size_t connected;  // connections opened by connect()
  };
  using ErrorReporter = std::function<void(const std::string&)>;

  GioNetwork(GMainContext* context, Deadlines& deadlines, const Clock& clock, Limits limits,
             ErrorReporter report_error);
  ~GioNetwork() override;

  // ---- Listening ----
  // With `shared`, a second process of this dispatcher may listen on the address too. Throws
  // std::runtime_error.
  void listen(const std::string& address, Acceptor& acceptor, bool shared = false);
  // Uses a listening socket received from another process. Accepts nothing before
  // set_accepting(true). Throws std::runtime_error.
  void adopt_listener(Descriptor listening, Acceptor& acceptor);
  // Returns a duplicate of the listening socket's descriptor, to be passed to another process.
  Descriptor listener() const;
  void set_accepting(bool on);
  void set_limits(Limits limits);  // must not exceed the limits given to the constructor
  std::size_t accepted_count() const { return accepted_count_; }
  // Serves a connection that another process accepted. Returns nullopt if the table is full or the
  // descriptor is not a socket.
  std::optional<SlotRef> adopt(Descriptor connection);

  // Serves the bulk connections that are ready. Call once per turn, after all other connections
  // have been served. Returns true if some bulk connections are still waiting.
  bool serve_bulk();

  // Network
  std::optional<SlotRef> connect(const std::string& address, ConnectionHandler& handler,
                                 Urgency urgency) override;
  void send(SlotRef connection, std::string bytes) override;
  void send(SlotRef connection, Slice bytes) override;
  std::size_t unsent_bytes(SlotRef connection) override;
  void finish(SlotRef connection) override;
  void close(SlotRef connection) override;
  void reset(SlotRef connection) override;
  bool has_unread(SlotRef connection) override;
  void pause_reading(SlotRef connection, bool paused) override;
  void permit_reading(SlotRef connection, std::size_t bytes) override;
  void set_bulk(SlotRef connection, bool bulk) override;
  void schedule_on_written(SlotRef connection) override;
  Descriptor release(SlotRef connection) override;

 private:
  using Connection = GioConnection;
  using State = GioConnection::State;

  // Connections and the events of epoll (gio_network.cpp)
  static gboolean on_epoll_ready(gint fd, GIOCondition condition, gpointer data);
  void serve_ready();
  void serve(SlotRef ref, std::uint32_t events);
  void serve_input(SlotRef ref, std::uint32_t events);
  void serve_bulk_connection(SlotRef ref);
  void enqueue_bulk(SlotRef ref, Connection& connection);
  static std::uint32_t events_to_watch(const Connection& connection);
  // Updates the connection's epoll registration. Call whenever the events that the connection waits
  // for may have changed.
  void watch(SlotRef ref, Connection& connection);
  void report_closed(SlotRef ref);
  void report_closed_later(SlotRef ref, Connection& connection);
  void remove(SlotRef ref);

  // The listening socket (gio_accept.cpp)
  static gboolean on_incoming(GSocket* socket, GIOCondition condition, gpointer data);
  void accept_incoming();
  bool reserve_accepted();
  std::optional<SlotRef> add_accepted(ObjectPtr<GSocket> socket);
  bool make_room();
  void pause_accepting();
  void resume_accepting();

  // Reading and writing (gio_transfer.cpp)
  std::size_t on_readable(SlotRef ref);  // returns the number of bytes read
  void on_writable(SlotRef ref);
  void flush(SlotRef ref, Connection& connection);
  gssize write_gathered(Connection& connection, std::size_t& offered, GlibError& error);
  void set_reading_paused(SlotRef ref, Connection& connection, bool paused);

  GMainContext* context_;
  Deadlines& deadlines_;
  const Clock& clock_;
  Limits limits_;
  ErrorReporter report_error_;
  SlotTable<Connection> table_;
  std::size_t accepted_count_ = 0;
  std::size_t connected_count_ = 0;
  std::vector<char> read_buffer_;  // its contents are valid only during the call of a handler
  std::size_t total_written_bytes_ = 0;
  std::deque<SlotRef> bulk_queue_;  // ready bulk connections, longest waiting first
  std::deque<SlotRef> finishing_;   // accepted connections in Flushing or Lingering, oldest first

  // One epoll descriptor for all connections, so that the cost of a turn depends on the connections
  // that are ready, not on all that are open.
  Descriptor epoll_;
  SourcePtr epoll_source_;
  std::vector<epoll_event> ready_events_;

  ObjectPtr<GSocket> listener_;
  SourcePtr listener_source_;  // null while accepting is paused
  Acceptor* acceptor_ = nullptr;
  bool accepting_ = false;
  Deadlines::Handle resume_accepting_;
};

}  // namespace dispatcher::transport

// Non-blocking GIO sockets in a table of numbered slots, served by one GLib main context.
//
// Parts of the class by file: gio_network.cpp (table, epoll, opening and closing), gio_accept.cpp
// (the listening socket), gio_transfer.cpp (reading and writing).
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

// Runs on the thread of the context. A handler is never called from inside a call to this class.
class GioNetwork final : public Network {
 public:
  // Separate limits, so that many clients cannot use up the connections to workers.
  struct Limits {
    std::size_t accepted;   // connections on the listening address
    std::size_t connected;  // connections opened by connect()
  };
  using ErrorReporter = std::function<void(const std::string&)>;

  GioNetwork(GMainContext* context, Deadlines& deadlines, const Clock& clock, Limits limits,
             ErrorReporter complain);
  ~GioNetwork() override;

  // ---- Listening ----
  // `shared`: a second process of this dispatcher may listen on the address too. Throws
  // std::runtime_error.
  void listen(const std::string& address, Acceptor& acceptor, bool shared = false);
  // Listens on the socket of another process, from set_accepting(true) on. Throws
  // std::runtime_error.
  void share_listener(Descriptor listening, Acceptor& acceptor);
  Descriptor listener() const;  // of the listening socket, for another process
  void set_accepting(bool on);
  void limit(Limits limits);  // at most the limits of the constructor
  std::size_t accepted() const { return accepted_count_; }
  // Serves a connection that another process accepted. Nothing: the table is full.
  std::optional<SlotRef> adopt(Descriptor connection);

  // Serves bulk connections that are ready, once a turn, after all others. True: some still wait.
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
  // To be called after any change of what the connection waits for.
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
  std::size_t on_readable(SlotRef ref);  // returns the bytes read
  void on_writable(SlotRef ref);
  void flush(SlotRef ref, Connection& connection);
  gssize write_gathered(Connection& connection, std::size_t& offered, Error& error);
  void set_reading_paused(SlotRef ref, Connection& connection, bool paused);

  GMainContext* context_;
  Deadlines& deadlines_;
  const Clock& clock_;
  Limits limits_;
  ErrorReporter complain_;
  SlotTable<Connection> table_;
  std::size_t accepted_count_ = 0;
  std::size_t connected_count_ = 0;
  std::vector<char> read_buffer_;   // valid while a handler is called
  std::size_t written_bytes_ = 0;   // since the start
  std::deque<SlotRef> bulk_queue_;  // ready bulk connections, the longest waiting first
  std::deque<SlotRef> finishing_;   // accepted connections that are finishing, the oldest first

  // One epoll descriptor for all connections: a turn costs what is ready, not what is open.
  Descriptor epoll_;
  SourcePtr epoll_source_;
  std::vector<epoll_event> ready_events_;

  ObjectPtr<GSocket> listener_;
  SourcePtr listener_source_;  // null: accepting is paused
  Acceptor* acceptor_ = nullptr;
  bool accepting_ = false;
  Deadlines::Handle resume_accepting_;
};

}  // namespace dispatcher::transport

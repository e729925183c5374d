// Non-blocking GIO sockets in a table of numbered slots, served by one GLib main context.
#pragma once

#include <sys/epoll.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "transport/deadlines.h"
#include "transport/glib.h"
#include "transport/network.h"

namespace dispatcher::transport {

class GioNetwork final : public Network {
 public:
  struct Limits {
    std::size_t accepted;  // connections taken on the listening address
    std::size_t
        connected;  // connections opened; kept apart, so that a crowd of clients cannot use them up
  };
  using Complain = std::function<void(const std::string&)>;

  GioNetwork(GMainContext* context, Deadlines& deadlines, const Clock& clock, Limits limits,
             Complain complain);
  ~GioNetwork() override;

  // Throws std::runtime_error. `shared`: a second process of this dispatcher may listen there too;
  // else one that is started by mistake finds the address taken.
  void listen(const std::string& address, Acceptor& acceptor, bool shared = false);
  // The same on a socket that another process listens on too, from accept_from_now_on(true).
  void share_listener(Descriptor listening, Acceptor& acceptor);
  Descriptor listener() const;  // of the listening socket, for another process
  void accept_from_now_on(bool on);
  void limit(Limits limits);  // no more than the table was made for
  std::size_t accepted() const { return accepted_; }
  std::optional<SlotRef> adopt(
      Descriptor connection);  // an accepted one; nothing: no place is left
  std::optional<SlotRef> connect(const std::string& address, ConnectionHandler& handler,
                                 Urgency urgency) override;
  void send(SlotRef connection, std::string bytes) override;
  void send(SlotRef connection, Slice bytes) override;
  std::size_t unsent(SlotRef connection) override;
  void finish(SlotRef connection) override;
  void close(SlotRef connection) override;
  void reset(SlotRef connection) override;
  bool unread(SlotRef connection) override;
  void hold(SlotRef connection, bool held) override;
  void grant(SlotRef connection, std::size_t bytes) override;
  void bulk(SlotRef connection, bool on) override;
  void again(SlotRef connection) override;
  Descriptor release(SlotRef connection) override;
  bool serve_bulk();  // once a turn, after the sockets: bulk connections that are ready, in turn;
                      // true: some wait

 private:
  enum class State { Connecting, Open, Flushing, Lingering };
  struct Connection {
    ObjectPtr<GSocket> socket;
    ConnectionHandler* handler = nullptr;
    bool accepted = false;
    bool held = false;
    bool ends_unread = false;  // its end is told although what came before that has not been read
    bool bulk = false;
    bool may_read = false;
    bool may_write = false;  // the latter two: of a bulk one, seen by poll
    bool queued = false;
    bool more = false;               // in bulk_
    std::size_t granted = SIZE_MAX;  // bytes that on_bytes() may still bring
    State state = State::Open;
    bool high = false;
    OutBuffer unsent;
    bool hung = false;           // seen so while it was bulk: the peer has reset it
    bool broken = false;         // to be told in the next turn; not watched any more
    std::uint32_t interest = 0;  // as the kernel has it; 0: not watched
    std::uint64_t label = 0;
    Deadlines::Handle end;  // of connecting's immediate failure, or of finishing
  };
  static gboolean ready(gint fd, GIOCondition condition, gpointer data);
  static gboolean incoming(GSocket* socket, GIOCondition condition, gpointer data);
  void serve_ready();
  void serve(SlotRef ref, std::uint32_t events);
  void watch(SlotRef ref, Connection& c);  // after whatever may have changed what it waits for
  void accept_all();
  std::optional<SlotRef> keep_accepted(ObjectPtr<GSocket> socket);
  bool make_room();
  void pause_accepting();
  void resume_accepting();
  std::size_t on_readable(SlotRef ref, std::size_t most);  // how many bytes it read
  void on_writable(SlotRef ref);
  void flush(SlotRef ref, Connection& c);
  void break_later(SlotRef ref, Connection& c);
  void set_held(SlotRef ref, Connection& c, bool held);
  void broken(SlotRef ref);
  void remove(SlotRef ref);

  GMainContext* context_;
  Deadlines& deadlines_;
  const Clock& clock_;
  Limits limits_;
  Complain complain_;
  SlotTable<Connection> table_;
  std::size_t accepted_ = 0;
  std::size_t connected_ = 0;
  std::vector<char> scratch_;      // what is read lies here while a handler looks at it
  std::size_t written_ = 0;        // bytes, ever; what they grow by is what a turn has cost
  std::deque<SlotRef> bulk_;       // those that are ready, the longest waiting first
  std::deque<SlotRef> finishing_;  // accepted connections on their way out, the longest first
  ObjectPtr<GSocket> listener_;
  SourcePtr accepts_;
  int poll_ = -1;  // one descriptor of epoll watches all connections: a turn costs what is ready,
                   // not what is open
  SourcePtr polled_;  // and it is one source of the loop
  std::vector<epoll_event> ready_;
  Acceptor* acceptor_ = nullptr;
  bool takes_ = false;  // new connections
  Deadlines::Handle accept_again_;
};

}  // namespace dispatcher::transport

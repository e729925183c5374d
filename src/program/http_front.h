// The client side over HTTP: what comes on the listening address. Service clients hand in commands, instances
// call back, and the front asks whether the program is ready.
#pragma once

#include <map>

#include "../routing/router.h"
#include "platform.h"

namespace oatledge::program {

struct HttpCargo final : routing::Cargo {
  explicit HttpCargo(protocol::ClientCommand c) : command(std::move(c)) {}
  protocol::ClientCommand command;
};

class HttpFront final : public transport::Acceptor, public routing::ClientSide {
 public:
  explicit HttpFront(Platform on) : on_(on) {}

  void attach(routing::Router& router) { router_ = &router; }
  void set_ready() { ready_ = true; }
  void start_draining();  // answers close their connections from now on, and idle ones are closed
  void close_idle();      // also those that never carried a request
  bool empty() const { return sessions_.empty(); }

  void on_accepted(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  bool shed_idle() override;

  void served(routing::CommandRef command, std::string result) override;
  void nack(routing::CommandRef command, stagehinge::Duration retry_after) override;
  void failed(routing::CommandRef command) override;

 private:
  struct Session {
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::optional<routing::CommandRef> command;  // one at a time; what follows it waits in the parser
    bool keep_alive = true, used = false;
    std::uint64_t idle_since = 0;  // place in idle_; 0: not idle
    transport::Deadlines::Handle slow;
  };

  void work(transport::SlotRef connection);
  void handle(transport::SlotRef connection, protocol::Message message);
  void take_command(transport::SlotRef connection, protocol::Message message);
  void take_news(transport::SlotRef connection, const protocol::Message& message);
  void respond(transport::SlotRef connection, int status, const protocol::Headers& headers,
               std::string_view body);
  void answer(routing::CommandRef command, int status, const protocol::Headers& headers,
              std::string_view body);
  void reject(transport::SlotRef connection, int status, const std::string& why);
  void note_idle(transport::SlotRef connection, Session& s);
  void forget(transport::SlotRef connection);

  Platform on_;
  routing::Router* router_ = nullptr;
  bool ready_ = false, draining_ = false;
  std::map<transport::SlotRef, Session> sessions_;
  std::map<routing::CommandRef, transport::SlotRef> waiting_;  // commands and the connections they came on
  std::map<std::uint64_t, transport::SlotRef> idle_;           // longest idle first
  std::uint64_t idle_order_ = 0;
};

}  // namespace oatledge::program

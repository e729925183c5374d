// The HTTP server for operators. It serves one call per connection, has its own share of the file
// descriptors, and its sockets are served before all others.
#pragma once

#include <map>

#include "operations/admin_handler.h"
#include "operations/log.h"
#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

// Runs on the event loop's thread. The referenced objects must outlive it.
class AdminServer final : public transport::Acceptor {
 public:
  AdminServer(transport::Network& network, transport::Deadlines& deadlines,
              const transport::Clock& clock, operations::Log& log,
              operations::AdminOperations& operations)
      : network_(network),
        deadlines_(deadlines),
        clock_(clock),
        log_(log),
        operations_(operations) {}

  void on_accepted(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  bool shed_idle() override;

 private:
  struct Session {
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::uint64_t sequence = 0;  // in order of acceptance; key in by_sequence_
    transport::Deadlines::Handle deadline;
  };
  void respond(transport::SlotRef connection, const operations::AdminResponse& answer);
  void remove_session(transport::SlotRef connection);

  transport::Network& network_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  operations::Log& log_;
  operations::AdminOperations& operations_;
  std::map<transport::SlotRef, Session> sessions_;           // whose call is incomplete
  std::map<std::uint64_t, transport::SlotRef> by_sequence_;  // the same sessions, oldest first
  std::uint64_t last_sequence_ = 0;
};

}  // namespace dispatcher::http

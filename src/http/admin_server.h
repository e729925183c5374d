// The operators' address: one call to a connection, on descriptors of its own and before all other
// sockets.
#pragma once

#include <map>

#include "operations/admin_handler.h"
#include "operations/log.h"
#include "transport/deadlines.h"
#include "transport/network.h"

namespace dispatcher::http {

class AdminServer final : public transport::Acceptor {
 public:
  AdminServer(transport::Network& network, transport::Deadlines& deadlines,
              const transport::Clock& clock, operations::Log& log,
              operations::AdminOperations& desk)
      : network_(network), deadlines_(deadlines), clock_(clock), log_(log), desk_(desk) {}

  void on_accepted(transport::SlotRef connection) override;
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;
  bool shed_idle() override;

 private:
  struct Caller {
    protocol::Parser parser{protocol::Parser::Kind::Request};
    std::uint64_t place = 0;
    transport::Deadlines::Handle slow;
  };
  void respond(transport::SlotRef connection, const operations::Answer& answer);
  void forget(transport::SlotRef connection);

  transport::Network& network_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  operations::Log& log_;
  operations::AdminOperations& desk_;
  std::map<transport::SlotRef, Caller> callers_;       // whose call has not come whole
  std::map<std::uint64_t, transport::SlotRef> order_;  // the same, longest there first
  std::uint64_t placed_ = 0;
};

}  // namespace dispatcher::http

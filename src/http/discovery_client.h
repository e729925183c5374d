// Watches the endpoint list of discovery by HTTP long polling: each answer is followed by the next
// poll at once.
#pragma once

#include "http/platform.h"
#include "routing/ports.h"

namespace dispatcher::http {

// Runs on the event loop's thread.
class DiscoveryClient final : public transport::ConnectionHandler, public routing::DiscoveryPort {
 public:
  struct Options {
    std::string address;
    transport::Duration wait{2000};  // how long discovery may delay the answer to a poll
    bool retries = false;            // retries failed polls; if false, the owner calls watch()
  };
  // Called with each update, and with an empty update for each failed poll.
  using UpdateHandler =
      std::function<void(scheduling::EndpointUpdateKind, const protocol::EndpointUpdate&)>;

  DiscoveryClient(Platform platform, Options options)
      : platform_(platform), options_(std::move(options)) {}

  void attach(UpdateHandler handler) { on_update_ = std::move(handler); }
  // Writes a trace line for each poll and each update.
  void trace(std::function<void(const std::string&)> sink) { trace_ = std::move(sink); }
  // Continues the watch from the revision of an endpoint list that came from elsewhere.
  void resume_from(std::int64_t revision) { revision_ = revision; }
  // The next poll requests a snapshot.
  void request_snapshot() { revision_.reset(); }
  // Whether the next poll requests a snapshot.
  bool needs_snapshot() const { return !revision_; }
  // Watches another address from now on.
  void change_address(const std::string& address);

  // routing::DiscoveryPort
  void watch() override;

  // transport::ConnectionHandler
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;

 private:
  void poll();
  transport::Duration poll_timeout(transport::Duration wait) const;
  void on_answer(const protocol::Message& message);
  // Parses and checks the update of an answer. Nullopt: the poll was reported as failed.
  std::optional<protocol::EndpointUpdate> read_update(const protocol::Message& message);
  void on_poll_failed(const std::string& reason);
  void close_connection();

  Platform platform_;
  Options options_;
  UpdateHandler on_update_;
  std::function<void(const std::string&)> trace_;
  std::optional<transport::SlotRef> connection_;
  protocol::Parser parser_{protocol::Parser::Kind::Response};
  std::optional<std::int64_t> revision_;  // nullopt: the next poll requests a snapshot
  bool polling_ = false;
  bool established_ = false;  // discovery has answered on this connection: polls may wait
  int failed_polls_ = 0;      // consecutive
  transport::Deadlines::Handle poll_deadline_;  // or the start of the next poll after a failure
};

}  // namespace dispatcher::http

// The endpoint list over HTTP: a watch on discovery by long polling. Each call follows the last
// answer at once.
#pragma once

#include "http/platform.h"
#include "routing/ports.h"

namespace dispatcher::http {

// Runs on the thread of the loop.
class DiscoveryClient final : public transport::ConnectionHandler, public routing::DiscoveryPort {
 public:
  struct Options {
    std::string address;
    transport::Duration wait{2000};  // how long discovery may hold a poll back
    bool retries = false;            // repeats failed polls itself; else the owner calls watch()
  };
  // Receives each update, and each failed poll with an empty one.
  using Changed =
      std::function<void(scheduling::EndpointUpdateKind, const protocol::EndpointUpdate&)>;

  DiscoveryClient(Platform platform, Options options)
      : platform_(platform), options_(std::move(options)) {}

  void attach(Changed changed) { changed_ = std::move(changed); }
  // Receives a line for each poll and for each update.
  void trace(std::function<void(const std::string&)> trace) { trace_ = std::move(trace); }
  // With the revision of an endpoint list that did not come from here: the watch goes on from
  // there.
  void hold(std::int64_t revision) { revision_ = revision; }
  // Watches another address from now on.
  void move(const std::string& address);

  // routing::DiscoveryPort
  void watch() override;

  // transport::ConnectionHandler
  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;

 private:
  void poll();
  transport::Duration poll_timeout(transport::Duration wait) const;
  void on_answer(const protocol::Message& message);
  // Reads the update of an answer; nothing: it was reported as a failed poll.
  std::optional<protocol::EndpointUpdate> read_update(const protocol::Message& message);
  void on_poll_failed(const std::string& reason);
  void close_connection();

  Platform platform_;
  Options options_;
  Changed changed_;
  std::function<void(const std::string&)> trace_;
  std::optional<transport::SlotRef> connection_;
  protocol::Parser parser_{protocol::Parser::Kind::Response};
  std::optional<std::int64_t> revision_;  // nothing: the next poll asks for a snapshot
  bool polling_ = false;
  bool established_ = false;  // discovery has answered on this connection: a poll may wait there
  int failed_polls_ = 0;      // in a row
  transport::Deadlines::Handle poll_deadline_;  // or the start of the next poll after a failure
};

}  // namespace dispatcher::http

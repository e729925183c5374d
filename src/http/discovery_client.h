// The endpoint list over HTTP: one watch on discovery, each call following the last answer at once.
#pragma once

#include "http/platform.h"
#include "routing/ports.h"

namespace dispatcher::http {

class DiscoveryClient final : public transport::ConnectionHandler, public routing::DiscoveryPort {
 public:
  struct Options {
    std::string address;
    transport::Duration wait{2000};  // of a watch call
    bool retries = false;            // nobody above asks again: watch() is repeated here
  };
  DiscoveryClient(Platform on, Options options) : on_(on), options_(std::move(options)) {}

  void trace(std::function<void(const std::string&)> trace) { trace_ = std::move(trace); }

  using Changed =
      std::function<void(scheduling::EndpointUpdateKind, const protocol::EndpointUpdate&)>;
  void attach(Changed changed) { changed_ = std::move(changed); }

  void hold(std::int64_t revision) {
    revision_ = revision;
  }  // of a list held from before the first watch
  void watch() override;
  void move(const std::string& address);  // from now on the watch is kept there

  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;

 private:
  void ask();
  void answered(const protocol::Message& message);
  void fail(const std::string& why);
  void hang_up();

  Platform on_;
  Options options_;
  Changed changed_;
  std::function<void(const std::string&)> trace_;
  std::optional<transport::SlotRef> connection_;
  protocol::Parser parser_{protocol::Parser::Kind::Response};
  std::optional<std::int64_t> revision_;  // nothing: the next call is for the whole list
  bool asking_ = false;
  bool stands_ = false;  // discovery has answered on this connection: the next call may wait there
  int failed_ = 0;       // calls in a row
  transport::Deadlines::Handle late_;
};

}  // namespace dispatcher::http

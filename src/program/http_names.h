// The name table over HTTP: one watch on discovery, each call following the last answer at once.
#pragma once

#include "http_instances.h"

namespace oatledge::program {

class HttpNames final : public transport::ConnectionHandler, public routing::NameTableSide {
 public:
  struct Options {
    std::string address;
    transport::Duration wait{20'000};  // of a watch call
    bool retries = false;              // nobody above asks again: watch() is repeated here
  };
  HttpNames(transport::Network& network, transport::Deadlines& deadlines, const transport::Clock& clock,
            const protocol::Vocabulary& words, Options options, Log& log)
      : network_(network),
        deadlines_(deadlines),
        clock_(clock),
        words_(words),
        options_(options),
        log_(log) {}

  using Changed = std::function<void(stagehinge::ListKind, const protocol::NameList&)>;
  void attach(Changed changed) { changed_ = std::move(changed); }

  void watch() override;

  void on_bytes(transport::SlotRef connection, std::string_view bytes) override;
  void on_closed(transport::SlotRef connection, bool all_written) override;

 private:
  void ask();
  void answered(const protocol::Message& message);
  void fail(const std::string& why);
  void hang_up();

  transport::Network& network_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  const protocol::Vocabulary& words_;
  Options options_;
  Log& log_;
  Changed changed_;
  std::optional<transport::SlotRef> connection_;
  protocol::Parser parser_{protocol::Parser::Kind::Response};
  std::optional<std::int64_t> revision_;  // nothing: the next call is for the whole list
  bool asking_ = false;
  transport::Deadlines::Handle late_;
};

}  // namespace oatledge::program

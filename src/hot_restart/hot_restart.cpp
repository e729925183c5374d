#include "hot_restart/hot_restart.h"

namespace dispatcher::hot_restart {

HotRestart::HotRestart(Options options, const ProcessContext& context)
    : options_(std::move(options)),
      context_(context),
      predecessor_(context.main_context, "outgoing process", options_.trace),
      successor_(context.main_context, "incoming process", options_.trace),
      shared_events_(context.program, predecessor_, successor_, context.clock, context.log),
      outgoing_(options_, context, successor_, shared_events_, [this] { listen_for_successor(); }),
      incoming_(options_, context, predecessor_, shared_events_,
                {.on_serving = [this] { listen_for_successor(); },
                 .has_transferred_ownership =
                     [this] {
                       return outgoing_.has_transferred_ownership();
                     }}) {}

void HotRestart::listen_for_successor() {
  try {
    listener_.reset();
    listener_ = std::make_unique<transport::LocalListener>(
        context_.main_context, options_.socket_path, [this](transport::ObjectPtr<GSocket> socket) {
          outgoing_.on_connected(std::move(socket));
        });
  } catch (const std::runtime_error& error) {
    context_.log.line("hot-restart", std::string("not available: ") + error.what());
  }
}

}  // namespace dispatcher::hot_restart

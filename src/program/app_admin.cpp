// The calls of operators at the admin address, and those that another process of this dispatcher
// has acknowledged to them.
#include <algorithm>

#include "program/app.h"

namespace dispatcher::program {

bool App::healthy() const {
  return client_server_.ready() && serving_;
}

std::string App::stats() {
  auto avoided = std::ranges::count_if(
      cordon_list_.listed(), [this](const auto& listed) { return router_.avoids(listed.first); });
  return operations::write_stats(
      metrics_, config_.identifier_tables.classes,
      {open_requests(), cordon_list_.listed().size(), static_cast<std::size_t>(avoided),
       fleet_socket_ ? fleet_socket_->metrics() : std::nullopt});
}

std::string App::fleet() const {
  return fleet_socket_ ? fleet_socket_->view_json() : std::string();
}

void App::apply_acknowledged_cordon(const operations::CordonChange& change) {
  std::size_t dropped_before = cordon_list_.dropped_cordons();
  auto update = cordon_list_.apply_acknowledged(change);
  std::string outcome = !cordon_list_.listed().contains(change.worker) ? "kept until it is listed"
                        : update                                       ? "applied"
                                 : "superseded by a later call";
  log_.line("hot-restart", std::string(change.cordoned ? "cordon" : "uncordon") + " of " +
                               change.worker + " at the other process: " + outcome);
  if (cordon_list_.dropped_cordons() > dropped_before)
    log_.line("hot-restart", "too many cordoned workers are not listed; the oldest was forgotten");
  if (update)
    apply_endpoint_update(*update);
}

bool App::set_cordoned(const std::string& worker, bool cordoned) {
  transport::Time now = clock_.now();
  auto update = cordoned ? cordon_list_.cordon(worker, now) : cordon_list_.uncordon(worker, now);
  if (!update)
    return false;
  apply_endpoint_update(*update);
  if (on_cordon_call_)
    on_cordon_call_({.worker = worker, .cordoned = cordoned, .time = now});
  return true;
}

bool App::cordon(const std::string& worker) {
  return set_cordoned(worker, true);
}

bool App::uncordon(const std::string& worker) {
  return set_cordoned(worker, false);
}

}  // namespace dispatcher::program

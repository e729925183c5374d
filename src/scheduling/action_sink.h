// Collects the actions that the parts of the scheduler emit while they handle an event.
#pragma once

#include <string>
#include <string_view>
#include <utility>

#include "dispatcher/scheduling/types.h"

namespace dispatcher::scheduling {

// Appends actions to the caller's list, in order. Does not own the list: the list passed to
// begin_event() must outlive the handling of the event.
class ActionSink {
 public:
  void begin_event(Actions& out) { out_ = &out; }

  void send(RequestId id, std::string_view worker) {
    out_->push_back({.kind = ActionKind::Send, .id = id, .worker = worker});
  }
  void answer(ActionKind kind, RequestId id, Duration retry_after) {
    out_->push_back({.kind = kind, .id = id, .retry_after = retry_after});
  }
  void cancel(RequestId id, int attempt) {
    out_->push_back({.kind = ActionKind::Cancel, .id = id, .attempt = attempt});
  }
  void cancel_and_confirm(RequestId id, int attempt) {
    out_->push_back(
        {.kind = ActionKind::Cancel, .id = id, .attempt = attempt, .awaits_confirmation = true});
  }
  void check_health(std::string_view worker) {
    out_->push_back({.kind = ActionKind::HealthCheck, .worker = worker});
  }
  void watch() { out_->push_back({.kind = ActionKind::Watch}); }
  void set_timer(Time at) { out_->push_back({.kind = ActionKind::SetTimer, .at = at}); }
  // Drops lines beyond kMaxLogLines, so that a fault cannot fill the log.
  void log(std::string text) {
    if (++logged_lines_ <= kMaxLogLines)
      out_->push_back({.kind = ActionKind::Log, .text = std::move(text)});
  }

 private:
  static constexpr int kMaxLogLines = 200;

  Actions* out_ = nullptr;
  int logged_lines_ = 0;
};

}  // namespace dispatcher::scheduling

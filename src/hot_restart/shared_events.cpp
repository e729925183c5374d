#include "hot_restart/shared_events.h"

#include "hot_restart/protocol.h"

namespace dispatcher::hot_restart {

namespace {

void send_shared(ProcessLink& link, const Message& message) {
  if (link.shares_events())
    link.send(message);
}

}  // namespace

SharedEvents::SharedEvents(ServingProgram& program, ProcessLink& predecessor,
                           ProcessLink& successor, const transport::Clock& clock,
                           operations::Log& log)
    : program_(program),
      predecessor_(predecessor),
      successor_(successor),
      clock_(clock),
      log_(log) {
  program_.client_server().set_job_event_forwarder(
      [this](std::string_view body, std::function<void(bool)> notify) {
        return forward_job_event(body, nullptr, std::move(notify));
      });
  program_.on_cordon_call(
      [this](const operations::CordonChange& change) { on_cordon_call(change); });
  program_.router().on_request_accepted([this](scheduling::RequestId id) {
    if (predecessor_.shares_events() || successor_.shares_events())
      send_to_all(make_request_accepted(id));
  });
}

void SharedEvents::on_cordon_call(const operations::CordonChange& change) {
  if (recording_cordon_calls_)
    recorded_cordon_calls_.push_back({change, predecessor_.shares_events()});
  send_to_all(make_cordon_call(change));
}

void SharedEvents::reapply_cordon_calls() {
  for (RecordedCordonCall& call : recorded_cordon_calls_) {
    program_.apply_acknowledged_cordon(call.change);
    if (!std::exchange(call.sent, true))
      send_shared(predecessor_, make_cordon_call(call.change));
  }
}

void SharedEvents::mark_cordon_calls_unsent() {
  for (RecordedCordonCall& call : recorded_cordon_calls_)
    call.sent = false;
}

void SharedEvents::stop_recording_cordon_calls() {
  recording_cordon_calls_ = false;
  recorded_cordon_calls_.clear();
}

bool SharedEvents::is_shared(const Message& message) {
  switch (message.kind_case()) {
    case Message::kRequestAccepted:
    case Message::kJobEventForward:
    case Message::kJobEventReceipt:
    case Message::kCordonCall:
      return true;
    default:
      return false;
  }
}

void SharedEvents::on_message(ProcessLink& sender, const Message& message) {
  if (message.has_request_accepted()) {
    program_.router().add_external_ids({message.request_accepted().id()});
    send_shared(other_than(sender), message);
  } else if (message.has_job_event_receipt()) {
    const JobEventReceipt& receipt = message.job_event_receipt();
    on_receipt(receipt.number(), !receipt.retry());
  } else if (message.has_cordon_call()) {
    operations::CordonChange change = read_cordon_call(message.cordon_call(), clock_.now());
    program_.apply_acknowledged_cordon(change);
    send_shared(other_than(sender), make_cordon_call(change));
  } else {
    on_job_event(sender, message.job_event_forward());
  }
}

void SharedEvents::on_job_event(ProcessLink& sender, const JobEventForward& forward) {
  auto notify = [&sender, number = forward.number()](bool received) {
    sender.send(make_job_event_receipt(number, !received));
  };
  try {
    handle_job_event(sender, forward.body(), notify);
  } catch (const protocol::MessageError& error) {
    log_.line("hot-restart",
              std::string("invalid job event from the other process: ") + error.what());
    notify(true);
  }
}

// Calls `notify` once the process that has the request has received the event, with false if the
// worker must report it again.
void SharedEvents::handle_job_event(ProcessLink& sender, std::string_view body,
                                    const Notify& notify) {
  protocol::JobEvent event = protocol::parse_job_event(body, program_.identifiers());
  // The job event and the release of its request have crossed on the link. Neither process knows
  // the request then, and the result would be lost.
  if (&sender == &successor_ && released_requests_.contains(event.id))
    return notify(false);
  http::ClientServer& client_server = program_.client_server();
  if (!client_server.knows(event.id) && forward_job_event(body, &sender, notify))
    return;
  client_server.on_job_event(std::move(event));
  notify(true);
}

bool SharedEvents::forward_job_event(std::string_view body, const ProcessLink* sender,
                                     Notify notify) {
  std::vector<ProcessLink*> receivers;
  for (ProcessLink* link : {&predecessor_, &successor_}) {
    if (link != sender && link->shares_events())
      receivers.push_back(link);
  }
  if (receivers.empty())
    return false;
  ++last_forward_number_;
  forwarded_job_events_.emplace(
      last_forward_number_,
      ForwardedJobEvent{static_cast<int>(receivers.size()), std::move(notify)});
  for (ProcessLink* link : receivers)
    link->send(make_job_event_forward(last_forward_number_, body));
  return true;
}

void SharedEvents::on_receipt(std::uint64_t number, bool received) {
  auto it = forwarded_job_events_.find(number);
  if (it == forwarded_job_events_.end())
    return;
  if (received && --it->second.pending_receipts > 0)
    return;
  auto notify = std::move(it->second.notify);
  forwarded_job_events_.erase(it);
  notify(received);
}

void SharedEvents::fail_forwarded_job_events() {
  for (auto it = forwarded_job_events_.begin(); it != forwarded_job_events_.end();) {
    std::uint64_t number = it->first;
    ++it;  // on_receipt() erases the entry
    on_receipt(number, false);
  }
}

void SharedEvents::send_to_all(const Message& message) {
  send_shared(predecessor_, message);
  send_shared(successor_, message);
}

}  // namespace dispatcher::hot_restart

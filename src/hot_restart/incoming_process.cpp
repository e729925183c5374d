#include "hot_restart/incoming_process.h"

#include <algorithm>
#include <chrono>

namespace dispatcher::hot_restart {

using Action = IncomingOwnership::Action;
using scheduling::Duration;
using transport::Packet;

namespace {

constexpr Duration kHelloAnswerTimeout{1000};  // ms
constexpr Duration kReconnectDelay{100};       // ms
// May always be accepted, even while the outgoing process holds nearly all allowed connections.
constexpr std::size_t kMinAcceptedConnections = 8;

Packet hello_packet(const DispatcherIdentity& self) {
  return {make_hello(self).SerializeAsString(), {}};
}

}  // namespace

std::optional<OutgoingProcessContact> contact_outgoing_process(const std::string& socket_path,
                                                               const DispatcherIdentity& self,
                                                               operations::Log& log) {
  OutgoingProcessContact contact;
  contact.socket = transport::connect_local(socket_path);
  if (!contact.socket)
    return std::nullopt;
  log.line("hot-restart", "another process of this dispatcher is running");
  transport::send_packet(contact.socket.get(), hello_packet(self));
  auto deadline = std::chrono::steady_clock::now() + kHelloAnswerTimeout;
  for (bool answered = false; !answered;) {
    Duration remaining = deadline - std::chrono::steady_clock::now();
    auto packet = transport::receive_within(contact.socket.get(), std::max(remaining, Duration(0)));
    if (!packet)
      break;
    std::optional<Message> message = read_message(packet->bytes);
    answered = !message || !SharedEvents::is_shared(*message);
    if (message && message->has_welcome())
      contact.welcome = message->welcome();
    contact.packets.push_back(std::move(*packet));
  }
  return contact;
}

IncomingProcess::IncomingProcess(const Options& options, const ProcessContext& context,
                                 ProcessLink& predecessor, SharedEvents& shared_events,
                                 Callbacks callbacks)
    : options_(options),
      context_(context),
      predecessor_(predecessor),
      shared_events_(shared_events),
      callbacks_(std::move(callbacks)) {
  context_.program.on_able_to_serve([this] { send_ready(); });
}

void IncomingProcess::start(std::optional<OutgoingProcessContact> contact) {
  if (!contact)
    return carry_out(ownership_.on_no_listener());
  context_.program.set_serving(false);
  shared_events_.start_recording_cordon_calls();
  context_.network.set_limits(options_.shared_limits(options_.connection_limits.accepted));
  open_link(std::move(contact->socket));
  for (Packet& packet : contact->packets)
    predecessor_.receive(std::move(packet));
}

void IncomingProcess::open_link(transport::ObjectPtr<GSocket> socket) {
  predecessor_.open(
      std::move(socket), [this](ReceivedMessage received) { on_message(std::move(received)); },
      [this] {
        on_link_ended();
        carry_out(ownership_.on_link_ended());
      });
  predecessor_.set_event_sharing(true);
}

void IncomingProcess::on_message(ReceivedMessage received) {
  const std::optional<Message>& message = received.message;
  if (!message)
    return on_invalid_message();
  if (SharedEvents::is_shared(*message))
    return shared_events_.on_message(predecessor_, *message);
  Descriptors& descriptors = received.descriptors;
  switch (message->kind_case()) {
    case Message::kWelcome:
      return on_welcome(message->welcome(), std::move(descriptors));
    case Message::kRejection:
      context_.log.line("hot-restart", "the outgoing process rejected the hot restart: " +
                                           message->rejection().reason());
      return on_rejection();
    case Message::kOwnershipTransfer:
      return on_ownership_transfer(message->ownership_transfer(), std::move(descriptors));
    case Message::kAdoptedRequest:
      return on_adopted_request(message->adopted_request(), std::move(descriptors));
    case Message::kReleasedConnection:
      return on_released_connection(message->released_connection(), std::move(descriptors));
    case Message::kReloadAccepted:
      return context_.program.follow_reloads(message->reload_accepted().reloads());
    default:
      return on_invalid_message();
  }
}

// Handles alike a Welcome that arrived before the program was constructed, which then already has
// the endpoint list, and one that arrives later.
void IncomingProcess::on_welcome(const Welcome& welcome, Descriptors descriptors) {
  if (descriptors.size() != 1)
    return on_invalid_message();
  Action action = ownership_.on_welcome();
  if (action != Action::SendReady)
    return carry_out(action);
  listener_ = std::move(descriptors[0]);
  ServingProgram& program = context_.program;
  program.inherit_endpoints(Duration(welcome.wall_to_steady()),
                            read_endpoints(welcome, program.identifiers()),
                            welcome.snapshot_needed());
  program.follow_reloads(welcome.reloads());
  apply_cordons(welcome.cordons());
  carry_out(action);
}

void IncomingProcess::on_rejection() {
  predecessor_.close();
  carry_out(ownership_.on_rejection());
}

void IncomingProcess::on_ownership_transfer(const OwnershipTransfer& transfer,
                                            Descriptors descriptors) {
  if (!descriptors.empty())
    inherited_fleet_.socket = std::move(descriptors[0]);
  inherited_fleet_.incarnation = transfer.incarnation();
  std::ranges::move(read_members(transfer), std::back_inserter(inherited_fleet_.members));
  Action action = ownership_.on_ownership_transfer();
  if (action != Action::Serve)
    return carry_out(action);
  context_.program.router().add_external_ids(
      {transfer.request_ids().begin(), transfer.request_ids().end()});
  apply_cordons(transfer.cordons());
  context_.program.follow_reloads(transfer.reloads());
  limit_worker_load();
  std::size_t held_by_outgoing = transfer.accepted_connections();
  std::size_t max_accepted = options_.connection_limits.accepted;
  set_accepted_limit(
      std::max(kMinAcceptedConnections, max_accepted - std::min(max_accepted, held_by_outgoing)));
  context_.log.line("hot-restart", "ownership received; the outgoing process holds " +
                                       std::to_string(held_by_outgoing) + " client connections");
  carry_out(action);
}

// This process does not know what the outgoing one has sent to workers that are warming up, or how
// much of the retry budget it has used. Each counts for one window, so the limits last that long.
void IncomingProcess::limit_worker_load() {
  ServingProgram& program = context_.program;
  const scheduling::Settings& settings = program.settings();
  transport::Time now = context_.clock.now();
  program.apply_endpoint_update(
      program.cordon_list().exclude_warming_up(now - settings.slow_start_duration));
  if (settings.retry_budget_window) {
    program.limit_retry_budget(RetryBudgetLimit::RatioOnly);
    context_.deadlines.add(now + *settings.retry_budget_window, [this] {
      if (!callbacks_.has_transferred_ownership())
        context_.program.limit_retry_budget(RetryBudgetLimit::Unlimited);
    });
  }
  context_.deadlines.add(now + settings.overload_window, [this] {
    if (callbacks_.has_transferred_ownership())
      return;
    ServingProgram& serving = context_.program;
    serving.apply_endpoint_update(serving.cordon_list().exclude_warming_up(std::nullopt));
  });
}

void IncomingProcess::on_released_connection(const ReleasedConnection& connection,
                                             Descriptors descriptors) {
  if (descriptors.size() != 1 || !is_serving())
    return on_invalid_message();
  set_accepted_limit(std::min(accepted_limit_ + 1, options_.connection_limits.accepted));
  if (auto slot = context_.network.adopt(std::move(descriptors[0]))) {
    context_.program.client_server().adopt_connection(*slot, connection.unread(),
                                                      connection.used());
  }
}

void IncomingProcess::on_adopted_request(const AdoptedRequest& request, Descriptors descriptors) {
  if (descriptors.size() != 1 || !is_serving())
    return on_invalid_message();
  if (auto slot = context_.network.adopt(std::move(descriptors[0])))
    context_.program.adopted_requests().adopt(request, *slot);
}

void IncomingProcess::carry_out(Action action) {
  switch (action) {
    case Action::None:
      return;
    case Action::SendReady:
      ready_pending_ = true;
      return send_ready();
    case Action::Serve:
    case Action::ServeAlone:
      return serve();
    case Action::CloseLink:
      return close_link();
    case Action::Reconnect:
      context_.deadlines.add(context_.clock.now() + kReconnectDelay, [this] { reconnect(); });
      return;
  }
}

// Does nothing until an endpoint list is known; the outgoing process serves until then.
void IncomingProcess::send_ready() {
  if (!ready_pending_)
    return;
  if (!context_.program.can_serve()) {
    context_.log.line("hot-restart", "waiting for an endpoint list before taking over");
    return;
  }
  ready_pending_ = false;
  predecessor_.send(make_ready());
}

void IncomingProcess::close_link() {
  context_.log.line("hot-restart",
                    "unreadable or unexpected message from the outgoing process; closing the link");
  predecessor_.close();
  carry_out(ownership_.on_link_ended());
}

// The outgoing process may have closed the link and still be running. It has ended only if no
// process listens at the path any more.
void IncomingProcess::reconnect() {
  auto socket = transport::connect_local(options_.socket_path);
  if (!socket)
    return carry_out(ownership_.on_no_listener());
  transport::send_packet(socket.get(), hello_packet(options_.identity));
  open_link(std::move(socket));
}

// Starts to accept connections in the same iteration of the main loop in which the health check
// starts to succeed.
void IncomingProcess::serve() {
  shared_events_.stop_recording_cordon_calls();
  transport::Acceptor& acceptor = context_.program.client_server();
  if (listener_)
    context_.network.adopt_listener(std::move(listener_), acceptor);
  if (!context_.network.listener())
    context_.network.listen(options_.identity.listen, acceptor, true);
  context_.network.set_accepting(true);
  context_.program.set_serving(true);
  options_.start_fleet_socket(std::move(inherited_fleet_));
  if (!predecessor_.is_up())
    on_link_ended();
  callbacks_.on_serving();
}

void IncomingProcess::on_link_ended() {
  ready_pending_ = false;
  shared_events_.fail_forwarded_job_events();
  shared_events_.mark_cordon_calls_unsent();
  if (!is_serving())
    return;
  lift_connection_limits();
  if (fleet::FleetSocket* fleet_socket = context_.program.fleet_socket())
    fleet_socket->restate_counts();
}

void IncomingProcess::lift_connection_limits() {
  accepted_limit_ = options_.connection_limits.accepted;
  context_.network.set_limits(options_.connection_limits);
}

void IncomingProcess::set_accepted_limit(std::size_t limit) {
  accepted_limit_ = limit;
  context_.network.set_limits(options_.shared_limits(limit));
}

void IncomingProcess::apply_cordons(const CordonRecords& records) {
  ServingProgram& program = context_.program;
  program.apply_endpoint_update(program.cordon_list().replace_cordons(read_cordons(records)));
  shared_events_.reapply_cordon_calls();
}

}  // namespace dispatcher::hot_restart

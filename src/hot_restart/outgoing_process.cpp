#include "hot_restart/outgoing_process.h"

#include <algorithm>
#include <iterator>
#include <span>

#include "hot_restart/protocol.h"

namespace dispatcher::hot_restart {

using Action = OutgoingOwnership::Action;

namespace {

// 128 KiB of the 192 KiB that a packet may have.
constexpr std::size_t kMaxTransferredIds = 16'384;

}  // namespace

OutgoingProcess::OutgoingProcess(const Options& options, const ProcessContext& context,
                                 ProcessLink& successor, SharedEvents& shared_events,
                                 std::function<void()> on_reclaimed)
    : options_(options),
      context_(context),
      successor_(successor),
      shared_events_(shared_events),
      on_reclaimed_(std::move(on_reclaimed)),
      ownership_(options.identity) {
  // Before the transfer, which tells the number of reloads, the incoming process gets no events.
  context_.program.on_reload_accepted([this] {
    if (successor_.shares_events())
      successor_.send(make_reload_accepted(context_.program.reloads()));
  });
}

void OutgoingProcess::on_connected(transport::ObjectPtr<GSocket> socket) {
  if (!ownership_.can_accept_link())
    return;  // closes the socket; the incoming process reconnects later
  successor_.open(
      std::move(socket), [this](const ReceivedMessage& received) { on_message(received); },
      [this] { carry_out(ownership_.on_link_ended()); });
}

void OutgoingProcess::on_message(const ReceivedMessage& received) {
  const std::optional<Message>& message = received.message;
  if (!message)
    return carry_out(ownership_.on_invalid_message());
  if (SharedEvents::is_shared(*message))
    return shared_events_.on_message(successor_, *message);
  switch (message->kind_case()) {
    case Message::kHello: {
      const Hello& hello = message->hello();
      return carry_out(ownership_.on_hello(hello.version(), {hello.name(), hello.listen()}));
    }
    case Message::kReady:
      return carry_out(ownership_.on_ready());
    default:
      return carry_out(ownership_.on_invalid_message());
  }
}

void OutgoingProcess::carry_out(Action action) {
  switch (action) {
    case Action::None:
      return;
    case Action::SendWelcome:
      return send_welcome();
    case Action::SendRejection:
      return send_rejection();
    case Action::TransferOwnership:
      return transfer_ownership();
    case Action::Reclaim:
      return reclaim();
    case Action::CloseLink:
      context_.log.line(
          "hot-restart",
          "unreadable or unexpected message from the incoming process; closing the link");
      return successor_.close();
  }
}

void OutgoingProcess::send_welcome() {
  ServingProgram& program = context_.program;
  Message message = make_welcome(program.identifiers().wall_to_steady, program.cordon_list(),
                                 program.identifiers());
  message.mutable_welcome()->set_reloads(program.reloads());
  message.mutable_welcome()->set_snapshot_needed(program.needs_snapshot());
  successor_.send(message, context_.network.listener());
  context_.log.line("hot-restart", "an incoming process has connected");
}

void OutgoingProcess::send_rejection() {
  successor_.send(make_rejection("another version, or another dispatcher"));
  context_.log.line("hot-restart", "rejected an incoming process of another version or dispatcher");
}

void OutgoingProcess::transfer_ownership() {
  ServingProgram& program = context_.program;
  context_.network.set_accepting(false);
  context_.network.set_limits(options_.shared_limits(options_.connection_limits.accepted));
  send_ownership_transfer();
  program.limit_retry_budget(RetryBudgetLimit::NoRetries);
  program.on_drain_timeout([this] { release_open_requests(); });
  program.apply_endpoint_update(program.cordon_list().exclude_warming_up(
      context_.clock.now() - program.settings().slow_start_duration));
  context_.log.line("hot-restart", "ownership transferred; " +
                                       std::to_string(program.router().open_requests() +
                                                      program.adopted_requests().size()) +
                                       " requests are still open in this process");
  release_connections_when_idle();
}

void OutgoingProcess::send_ownership_transfer() {
  ServingProgram& program = context_.program;
  Message message;
  OwnershipTransfer& transfer = *message.mutable_ownership_transfer();
  write_request_ids(transfer);
  transfer.set_accepted_connections(static_cast<std::uint32_t>(context_.network.accepted_count()));
  write_cordons(program.cordon_list(), *transfer.mutable_cordons());
  transfer.set_reloads(program.reloads());
  std::vector<transport::Descriptor> descriptors;
  if (fleet::FleetSocket* fleet_socket = program.fleet_socket()) {
    fleet_socket->set_active(false);
    descriptors.push_back(fleet_socket->descriptor());
    if (const fleet::MembershipView* view = fleet_socket->view())
      write_members(*view, transfer);
  }
  successor_.send(message, std::move(descriptors));
  successor_.set_event_sharing(true);
}

// The oldest ids are left out if there are too many for one packet.
void OutgoingProcess::write_request_ids(OwnershipTransfer& transfer) const {
  std::vector<scheduling::RequestId> ids = context_.program.router().known_ids();
  std::ranges::copy(context_.program.adopted_requests().ids(), std::back_inserter(ids));
  std::size_t count = std::min(ids.size(), kMaxTransferredIds);
  for (scheduling::RequestId id : std::span(ids).last(count))
    transfer.add_request_ids(id);
}

// Releases idle connections now, and every other connection once it is between two requests.
void OutgoingProcess::release_connections_when_idle() {
  context_.program.client_server().set_connection_handover(
      [this](transport::Descriptor connection, std::string unread, bool used) {
        successor_.send(make_released_connection(std::move(unread), used), std::move(connection));
      });
}

// Own requests, and those adopted from the process before this one.
void OutgoingProcess::release_open_requests() {
  if (!successor_.is_up())
    return;
  ServingProgram& program = context_.program;
  for (routing::RequestRef request : program.router().open_refs())
    release_request(request);
  for (scheduling::RequestId id : program.adopted_requests().ids()) {
    if (auto released = program.adopted_requests().release(id))
      send_adopted_request(released->request, std::move(released->connection));
  }
}

// Only a request whose job its workers have accepted can be released: the incoming process then
// just waits for the result.
void OutgoingProcess::release_request(routing::RequestRef ref) {
  ServingProgram& program = context_.program;
  auto request = program.router().releasable(ref);
  if (!request)
    return;
  auto connection = program.client_server().release_connection(ref);
  if (!connection)
    return;
  program.router().release(ref);
  AcceptedRequest accepted{.id = request->id,
                           .class_name = program.identifiers().classes.at(request->job_class),
                           .expires_at = request->expires_at,
                           .workers = std::move(request->workers)};
  send_adopted_request(accepted, std::move(*connection));
}

void OutgoingProcess::send_adopted_request(const AcceptedRequest& request,
                                           http::ClientServer::ReleasedConnection connection) {
  shared_events_.mark_released(request.id);
  Message message = make_adopted_request(request, connection);
  successor_.send(message, std::move(connection.connection));
}

void OutgoingProcess::reclaim() {
  ServingProgram& program = context_.program;
  context_.log.line("hot-restart", "the incoming process has ended; accepting connections again");
  shared_events_.fail_forwarded_job_events();
  shared_events_.forget_released();
  program.client_server().set_connection_handover(nullptr);
  program.on_drain_timeout(nullptr);
  program.limit_retry_budget(RetryBudgetLimit::Unlimited);
  if (program.fleet_socket())
    program.fleet_socket()->set_active(true);
  program.apply_endpoint_update(program.cordon_list().exclude_warming_up(std::nullopt));
  context_.network.set_limits(options_.connection_limits);
  context_.network.set_accepting(true);
  on_reclaimed_();
}

}  // namespace dispatcher::hot_restart

// Reads and writes the messages between the two processes of a hot restart
// (proto/hot_restart.proto).
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/membership_view.h"
#include "hot_restart.pb.h"
#include "hot_restart/ownership.h"
#include "http/client_server.h"
#include "operations/cordon_list.h"
#include "protocol/messages.h"

namespace dispatcher::hot_restart {

using CordonRecords = google::protobuf::RepeatedPtrField<CordonRecord>;
using CordonsByUid = std::map<std::string, operations::CordonList::Cordon>;

// Returns std::nullopt if `bytes` are not a valid message.
std::optional<Message> read_message(const std::string& bytes);
// Name of the message type, for the trace.
std::string message_name(const std::optional<Message>& message);

Message make_hello(const DispatcherIdentity& self);
Message make_rejection(const std::string& reason);
Message make_ready();
Message make_released_connection(std::string unread, bool used);
Message make_request_accepted(scheduling::RequestId id);
Message make_job_event_forward(std::uint64_t number, std::string_view body);
Message make_job_event_receipt(std::uint64_t number, bool retry);
Message make_cordon_call(const operations::CordonChange& change);
// `received`: time of the call if the message does not tell it.
operations::CordonChange read_cordon_call(const CordonCall& message, scheduling::Time received);

// An open request whose job workers have accepted, so that another process can answer it.
struct AcceptedRequest {
  scheduling::RequestId id = 0;
  std::string class_name;
  scheduling::Time expires_at{};     // when the client times out
  std::vector<std::string> workers;  // uids of those that have the job
};
// Moves `unread` out of `connection`, whose descriptor is to be sent with the message.
Message make_adopted_request(const AcceptedRequest& request,
                             http::ClientServer::ReleasedConnection& connection);
AcceptedRequest read_adopted_request(const AdoptedRequest& message);

Message make_reload_accepted(std::uint32_t reloads);

// With the endpoint list and the cordons of `cordon_list`; the fields for reloads stay empty.
Message make_welcome(scheduling::Duration wall_to_steady, const operations::CordonList& cordon_list,
                     const protocol::IdentifierTables& identifiers);
// Omits entries without uid or address. A zone or kind that `identifiers` lacks becomes -1.
protocol::EndpointUpdate read_endpoints(const Welcome& welcome,
                                        const protocol::IdentifierTables& identifiers);

void write_cordons(const operations::CordonList& cordon_list, CordonRecords& records);
CordonsByUid read_cordons(const CordonRecords& records);

void write_members(const fleet::MembershipView& view, OwnershipTransfer& transfer);
// Omits members with an unreadable address or an unknown state.
std::vector<fleet::MembershipView::Update> read_members(const OwnershipTransfer& transfer);

// Milliseconds of the steady clock.
double to_milliseconds(scheduling::Time time);
scheduling::Time from_milliseconds(double milliseconds);

}  // namespace dispatcher::hot_restart

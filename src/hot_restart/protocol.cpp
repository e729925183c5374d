#include "hot_restart/protocol.h"

#include <algorithm>

namespace dispatcher::hot_restart {

using scheduling::Readiness;

namespace {

constexpr auto kFirstState = static_cast<std::uint32_t>(fleet::MemberState::Alive);
constexpr auto kLastState = static_cast<std::uint32_t>(fleet::MemberState::Left);

std::string name_at(const std::vector<std::string>& names, int index) {
  bool known = index >= 0 && index < std::ssize(names);
  return known ? names[static_cast<std::size_t>(index)] : std::string();
}

int index_of(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::ranges::find(names, name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

void write_endpoint(const std::string& uid, const protocol::WorkerEndpoint& listed,
                    const protocol::IdentifierTables& identifiers, ListedEndpoint& endpoint) {
  endpoint.set_uid(uid);
  endpoint.set_address(listed.address);
  endpoint.set_zone(name_at(identifiers.zones, listed.entry.zone));
  endpoint.set_kind(name_at(identifiers.kinds, listed.entry.kind));
  endpoint.set_cell(listed.entry.cell);
  endpoint.set_size(listed.entry.size);
  endpoint.set_ready(listed.entry.readiness == Readiness::Ready);
  if (listed.entry.online_since)
    endpoint.set_online_since(to_milliseconds(*listed.entry.online_since));
}

protocol::WorkerEndpoint read_endpoint(const ListedEndpoint& endpoint,
                                       const protocol::IdentifierTables& identifiers) {
  protocol::WorkerEndpoint listed;
  listed.uid = endpoint.uid();
  listed.address = endpoint.address();
  listed.entry.zone = index_of(identifiers.zones, endpoint.zone());
  listed.entry.kind = index_of(identifiers.kinds, endpoint.kind());
  listed.entry.cell = endpoint.cell();
  listed.entry.size = endpoint.size();
  listed.entry.readiness = endpoint.ready() ? Readiness::Ready : Readiness::Draining;
  if (endpoint.has_online_since())
    listed.entry.online_since = from_milliseconds(endpoint.online_since());
  return listed;
}

}  // namespace

double to_milliseconds(scheduling::Time time) {
  return time.time_since_epoch().count();
}

scheduling::Time from_milliseconds(double milliseconds) {
  return scheduling::Time(scheduling::Duration(milliseconds));
}

std::optional<Message> read_message(const std::string& bytes) {
  Message message;
  if (!message.ParseFromString(bytes))
    return std::nullopt;
  return message;
}

std::string message_name(const std::optional<Message>& message) {
  if (!message || message->kind_case() == Message::KIND_NOT_SET)
    return "unreadable message";
  return Message::descriptor()->FindFieldByNumber(message->kind_case())->message_type()->name();
}

Message make_hello(const DispatcherIdentity& self) {
  Message message;
  Hello& hello = *message.mutable_hello();
  hello.set_version(kProtocolVersion);
  hello.set_name(self.name);
  hello.set_listen(self.listen);
  return message;
}

Message make_rejection(const std::string& reason) {
  Message message;
  message.mutable_rejection()->set_reason(reason);
  return message;
}

Message make_ready() {
  Message message;
  message.mutable_ready();
  return message;
}

Message make_released_connection(std::string unread, bool used) {
  Message message;
  ReleasedConnection& connection = *message.mutable_released_connection();
  connection.set_unread(std::move(unread));
  connection.set_used(used);
  return message;
}

Message make_request_accepted(scheduling::RequestId id) {
  Message message;
  message.mutable_request_accepted()->set_id(id);
  return message;
}

Message make_job_event_forward(std::uint64_t number, std::string_view body) {
  Message message;
  JobEventForward& forward = *message.mutable_job_event_forward();
  forward.set_number(number);
  forward.set_body(std::string(body));
  return message;
}

Message make_job_event_receipt(std::uint64_t number, bool retry) {
  Message message;
  JobEventReceipt& receipt = *message.mutable_job_event_receipt();
  receipt.set_number(number);
  receipt.set_retry(retry);
  return message;
}

Message make_cordon_call(const operations::CordonChange& change) {
  Message message;
  CordonCall& call = *message.mutable_cordon_call();
  call.set_uid(change.worker);
  call.set_cordoned(change.cordoned);
  call.set_called_at(to_milliseconds(change.time));
  return message;
}

operations::CordonChange read_cordon_call(const CordonCall& message, scheduling::Time received) {
  return {.worker = message.uid(),
          .cordoned = message.cordoned(),
          .time = message.has_called_at() ? from_milliseconds(message.called_at()) : received};
}

Message make_adopted_request(const AcceptedRequest& request,
                             http::ClientServer::ReleasedConnection& connection) {
  Message message;
  AdoptedRequest& adopted = *message.mutable_adopted_request();
  adopted.set_id(request.id);
  adopted.set_class_name(request.class_name);
  adopted.set_expires_at(to_milliseconds(request.expires_at));
  for (const std::string& uid : request.workers)
    adopted.add_worker_uids(uid);
  adopted.mutable_connection()->set_unread(std::move(connection.unread));
  adopted.set_keep_alive(connection.keep_alive);
  adopted.set_http_1_0(connection.uses_http_1_0);
  return message;
}

AcceptedRequest read_adopted_request(const AdoptedRequest& message) {
  return {.id = message.id(),
          .class_name = message.class_name(),
          .expires_at = from_milliseconds(message.expires_at()),
          .workers = {message.worker_uids().begin(), message.worker_uids().end()}};
}

Message make_reload_accepted(std::uint32_t reloads) {
  Message message;
  message.mutable_reload_accepted()->set_reloads(reloads);
  return message;
}

Message make_welcome(scheduling::Duration wall_to_steady, const operations::CordonList& cordon_list,
                     const protocol::IdentifierTables& identifiers) {
  Message message;
  Welcome& welcome = *message.mutable_welcome();
  welcome.set_wall_to_steady(wall_to_steady.count());
  welcome.set_revision(cordon_list.revision());
  for (const auto& [uid, listed] : cordon_list.listed())
    write_endpoint(uid, listed, identifiers, *welcome.add_endpoints());
  write_cordons(cordon_list, *welcome.mutable_cordons());
  return message;
}

protocol::EndpointUpdate read_endpoints(const Welcome& welcome,
                                        const protocol::IdentifierTables& identifiers) {
  protocol::EndpointUpdate list{welcome.revision(), true, {}};
  for (const ListedEndpoint& endpoint : welcome.endpoints()) {
    if (!endpoint.uid().empty() && !endpoint.address().empty())
      list.entries.push_back(read_endpoint(endpoint, identifiers));
  }
  return list;
}

void write_cordons(const operations::CordonList& cordon_list, CordonRecords& records) {
  for (const auto& [uid, cordon] : cordon_list.cordons_by_uid()) {
    CordonRecord& record = *records.Add();
    record.set_uid(uid);
    record.set_cordoned_at(to_milliseconds(cordon.cordon_time));
    if (cordon.uncordon_time)
      record.set_uncordoned_at(to_milliseconds(*cordon.uncordon_time));
    record.set_latest_call_at(to_milliseconds(cordon.latest_call));
  }
}

CordonsByUid read_cordons(const CordonRecords& records) {
  CordonsByUid cordons;
  for (const CordonRecord& record : records) {
    operations::CordonList::Cordon& cordon = cordons[record.uid()];
    cordon.cordon_time = from_milliseconds(record.cordoned_at());
    if (record.has_uncordoned_at())
      cordon.uncordon_time = from_milliseconds(record.uncordoned_at());
    cordon.latest_call = record.has_latest_call_at()
                             ? from_milliseconds(record.latest_call_at())
                             : cordon.uncordon_time.value_or(cordon.cordon_time);
  }
  return cordons;
}

void write_members(const fleet::MembershipView& view, OwnershipTransfer& transfer) {
  transfer.set_incarnation(view.incarnation());
  for (const auto& [endpoint, known] : view.members()) {
    FleetMember& member = *transfer.add_members();
    member.set_address(to_text(endpoint));
    member.set_state(static_cast<std::uint32_t>(known.state));
    member.set_incarnation(known.incarnation);
  }
}

std::vector<fleet::MembershipView::Update> read_members(const OwnershipTransfer& transfer) {
  std::vector<fleet::MembershipView::Update> members;
  for (const FleetMember& member : transfer.members()) {
    auto endpoint = fleet::parse_endpoint(member.address());
    if (endpoint && member.state() >= kFirstState && member.state() <= kLastState) {
      members.push_back(
          {*endpoint, static_cast<fleet::MemberState>(member.state()), member.incarnation()});
    }
  }
  return members;
}

}  // namespace dispatcher::hot_restart

// The wire format of a hot restart: messages recorded from an earlier version of the program. Each
// must be read with every field intact and written as the same bytes.
#include <catch2/catch.hpp>

#include <string>
#include <string_view>

#include "hot_restart/protocol.h"

using namespace dispatcher::hot_restart;

namespace {

// Decodes hexadecimal digits.
std::string from_hex(std::string_view digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes += static_cast<char>(std::stoi(std::string(digits.substr(i, 2)), nullptr, 16));
  return bytes;
}

// Reads the message in `digits` and checks that it is written as the same bytes.
Message read_recorded(std::string_view digits) {
  std::string bytes = from_hex(digits);
  std::optional<Message> message = read_message(bytes);
  REQUIRE(message);
  CHECK(message->SerializeAsString() == bytes);
  CHECK(message->GetReflection()->GetUnknownFields(*message).empty());
  return *message;
}

void check_written(const Message& message, std::string_view digits) {
  CHECK(message.SerializeAsString() == from_hex(digits));
}

constexpr std::string_view kHello = "0a16080112026e301a0e3132372e302e302e313a38303830";
constexpr std::string_view kWelcome =
    "128b010900000000004a93c0102a1a330a03732d31120e3132372e302e302e313a393030311a027a3122026b31"
    "28033001390000000000000440410000000000428f401a200a03732d32120e3132372e302e302e313a39303032"
    "28ffffffffffffffffff0122170a03732d31110000000000487f40190000000000768740220e0a03732d321100"
    "00000000c08240";
constexpr std::string_view kRejection =
    "1a280a26616e6f746865722076657273696f6e2c206f7220616e6f746865722064697370617463686572";
constexpr std::string_view kReady = "2200";
constexpr std::string_view kOwnershipTransfer =
    "2a4f0a1001000000000000001032547698badcfe10ac021a0e0a03732d32110000000000c0824020072a130a0d"
    "31302e302e302e313a37303030100118092a110a0d31302e302e302e323a373030301004";
constexpr std::string_view kReleasedConnection = "320b0a07504f53542000ff1001";
constexpr std::string_view kRequestAccepted = "3a090901000f0000000000";
constexpr std::string_view kJobEventForward = "420e08ac0212097b226964223a317d00";
constexpr std::string_view kJobEventReceipt = "4a0508ac021001";
constexpr std::string_view kCordonCall = "52070a03732d311001";  // without a time
constexpr std::string_view kTimedCordonCall = "52100a03732d3110011900000000004a9340";
constexpr std::string_view kAdoptedRequest =
    "5a36090100000000000080120b706c6163652d6f726465721a03732d311a03732d3221000000000c24fe402a07"
    "0a03474554100130013801";

}  // namespace

TEST_CASE("a recorded Hello is read and written unchanged") {
  Message message = read_recorded(kHello);
  REQUIRE(message.kind_case() == Message::kHello);
  CHECK(message.hello().version() == 1);
  CHECK(message.hello().version() == kProtocolVersion);
  CHECK(message.hello().name() == "n0");
  CHECK(message.hello().listen() == "127.0.0.1:8080");
  check_written(make_hello({"n0", "127.0.0.1:8080"}), kHello);
}

TEST_CASE("a recorded Welcome is read and written unchanged") {
  Message message = read_recorded(kWelcome);
  REQUIRE(message.kind_case() == Message::kWelcome);
  const Welcome& welcome = message.welcome();
  CHECK(welcome.wall_to_steady() == -1234.5);
  CHECK(welcome.revision() == 42);
  REQUIRE(welcome.endpoints_size() == 2);
  const ListedEndpoint& complete = welcome.endpoints(0);
  CHECK(complete.uid() == "s-1");
  CHECK(complete.address() == "127.0.0.1:9001");
  CHECK(complete.zone() == "z1");
  CHECK(complete.kind() == "k1");
  CHECK(complete.cell() == 3);
  CHECK(complete.ready());
  CHECK(complete.size() == 2.5);
  CHECK(complete.has_online_since());
  CHECK(complete.online_since() == 1000.25);
  const ListedEndpoint& minimal = welcome.endpoints(1);
  CHECK(minimal.uid() == "s-2");
  CHECK(minimal.address() == "127.0.0.1:9002");
  CHECK(minimal.zone().empty());
  CHECK(minimal.kind().empty());
  CHECK(minimal.cell() == -1);
  CHECK_FALSE(minimal.ready());
  CHECK(minimal.size() == 0);
  CHECK_FALSE(minimal.has_online_since());
  REQUIRE(welcome.cordons_size() == 2);
  CHECK(welcome.cordons(0).uid() == "s-1");
  CHECK(welcome.cordons(0).cordoned_at() == 500.5);
  CHECK(welcome.cordons(0).has_uncordoned_at());
  CHECK(welcome.cordons(0).uncordoned_at() == 750.75);
  CHECK(welcome.cordons(1).uid() == "s-2");
  CHECK(welcome.cordons(1).cordoned_at() == 600);
  CHECK_FALSE(welcome.cordons(1).has_uncordoned_at());
}

TEST_CASE("the endpoint list and the cordons of a recorded Welcome are read completely") {
  using dispatcher::scheduling::Readiness;
  dispatcher::protocol::IdentifierTables identifiers;
  identifiers.zones = {"z0", "z1"};
  identifiers.kinds = {"k1"};
  Message message = read_recorded(kWelcome);
  auto update = read_endpoints(message.welcome(), identifiers);
  CHECK(update.revision == 42);
  REQUIRE(update.entries.size() == 2);
  CHECK(update.entries[0].uid == "s-1");
  CHECK(update.entries[0].address == "127.0.0.1:9001");
  CHECK(update.entries[0].entry.zone == 1);
  CHECK(update.entries[0].entry.kind == 0);
  CHECK(update.entries[0].entry.cell == 3);
  CHECK(update.entries[0].entry.size == 2.5);
  CHECK(update.entries[0].entry.readiness == Readiness::Ready);
  REQUIRE(update.entries[0].entry.online_since);
  CHECK(to_milliseconds(*update.entries[0].entry.online_since) == 1000.25);
  CHECK(update.entries[1].entry.zone == -1);
  CHECK(update.entries[1].entry.kind == -1);
  CHECK(update.entries[1].entry.cell == -1);
  CHECK(update.entries[1].entry.readiness == Readiness::Draining);
  CHECK_FALSE(update.entries[1].entry.online_since);

  CordonsByUid cordons = read_cordons(message.welcome().cordons());
  REQUIRE(cordons.size() == 2);
  CHECK(to_milliseconds(cordons.at("s-1").cordon_time) == 500.5);
  REQUIRE(cordons.at("s-1").uncordon_time);
  CHECK(to_milliseconds(*cordons.at("s-1").uncordon_time) == 750.75);
  CHECK_FALSE(cordons.at("s-2").uncordon_time);
  CHECK(to_milliseconds(cordons.at("s-1").latest_call) == 750.75);
  CHECK(to_milliseconds(cordons.at("s-2").latest_call) == 600);
}

TEST_CASE("a recorded Rejection is read and written unchanged") {
  Message message = read_recorded(kRejection);
  REQUIRE(message.kind_case() == Message::kRejection);
  CHECK(message.rejection().reason() == "another version, or another dispatcher");
  check_written(make_rejection("another version, or another dispatcher"), kRejection);
}

TEST_CASE("a recorded Ready is read and written unchanged") {
  CHECK(read_recorded(kReady).kind_case() == Message::kReady);
  check_written(make_ready(), kReady);
}

TEST_CASE("a recorded OwnershipTransfer is read and written unchanged") {
  using dispatcher::fleet::MemberState;
  Message message = read_recorded(kOwnershipTransfer);
  REQUIRE(message.kind_case() == Message::kOwnershipTransfer);
  const OwnershipTransfer& transfer = message.ownership_transfer();
  REQUIRE(transfer.request_ids_size() == 2);
  CHECK(transfer.request_ids(0) == 1);
  CHECK(transfer.request_ids(1) == 0xfedcba9876543210);
  CHECK(transfer.accepted_connections() == 300);
  REQUIRE(transfer.cordons_size() == 1);
  CHECK(transfer.cordons(0).uid() == "s-2");
  CHECK(transfer.cordons(0).cordoned_at() == 600);
  CHECK_FALSE(transfer.cordons(0).has_uncordoned_at());
  CHECK(transfer.incarnation() == 7);
  REQUIRE(transfer.members_size() == 2);
  CHECK(transfer.members(0).address() == "10.0.0.1:7000");
  CHECK(transfer.members(0).state() == 1);
  CHECK(transfer.members(0).incarnation() == 9);
  CHECK(transfer.members(1).address() == "10.0.0.2:7000");
  CHECK(transfer.members(1).state() == 4);
  CHECK(transfer.members(1).incarnation() == 0);
  auto members = read_members(transfer);
  REQUIRE(members.size() == 2);
  CHECK(to_text(members[0].endpoint) == "10.0.0.1:7000");
  CHECK(members[0].state == MemberState::Alive);
  CHECK(members[0].incarnation == 9);
  CHECK(members[1].state == MemberState::Left);
}

TEST_CASE("a recorded ReleasedConnection is read and written unchanged") {
  Message message = read_recorded(kReleasedConnection);
  REQUIRE(message.kind_case() == Message::kReleasedConnection);
  const std::string unread("POST \0\xff", 7);
  CHECK(message.released_connection().unread() == unread);
  CHECK(message.released_connection().used());
  check_written(make_released_connection(unread, true), kReleasedConnection);
}

TEST_CASE("a recorded RequestAccepted is read and written unchanged") {
  Message message = read_recorded(kRequestAccepted);
  REQUIRE(message.kind_case() == Message::kRequestAccepted);
  CHECK(message.request_accepted().id() == 0xf0001);
  check_written(make_request_accepted(0xf0001), kRequestAccepted);
}

TEST_CASE("a recorded JobEventForward and JobEventReceipt are read and written unchanged") {
  Message event = read_recorded(kJobEventForward);
  REQUIRE(event.kind_case() == Message::kJobEventForward);
  const std::string body("{\"id\":1}\0", 9);
  CHECK(event.job_event_forward().number() == 300);
  CHECK(event.job_event_forward().body() == body);
  check_written(make_job_event_forward(300, body), kJobEventForward);

  Message receipt = read_recorded(kJobEventReceipt);
  REQUIRE(receipt.kind_case() == Message::kJobEventReceipt);
  CHECK(receipt.job_event_receipt().number() == 300);
  CHECK(receipt.job_event_receipt().retry());
  check_written(make_job_event_receipt(300, true), kJobEventReceipt);
}

TEST_CASE("a recorded CordonCall is read and written unchanged") {
  Message message = read_recorded(kCordonCall);
  REQUIRE(message.kind_case() == Message::kCordonCall);
  CHECK(message.cordon_call().uid() == "s-1");
  CHECK(message.cordon_call().cordoned());
  dispatcher::scheduling::Time received = from_milliseconds(2000);
  CHECK(read_cordon_call(message.cordon_call(), received).time == received);

  Message timed = read_recorded(kTimedCordonCall);
  REQUIRE(timed.kind_case() == Message::kCordonCall);
  dispatcher::operations::CordonChange change = read_cordon_call(timed.cordon_call(), received);
  CHECK(change.worker == "s-1");
  CHECK(change.cordoned);
  CHECK(change.time == from_milliseconds(1234.5));
  check_written(make_cordon_call(change), kTimedCordonCall);
}

TEST_CASE("a recorded AdoptedRequest is read and written unchanged") {
  Message message = read_recorded(kAdoptedRequest);
  REQUIRE(message.kind_case() == Message::kAdoptedRequest);
  const AdoptedRequest& request = message.adopted_request();
  CHECK(request.id() == 0x8000000000000001);
  CHECK(request.class_name() == "place-order");
  REQUIRE(request.worker_uids_size() == 2);
  CHECK(request.worker_uids(0) == "s-1");
  CHECK(request.worker_uids(1) == "s-2");
  CHECK(request.expires_at() == 123456.75);
  REQUIRE(request.has_connection());
  CHECK(request.connection().unread() == "GET");
  CHECK(request.connection().used());
  CHECK(request.keep_alive());
  CHECK(request.http_1_0());
}

TEST_CASE("recorded messages without fields are read as defaults and written unchanged") {
  Message hello = read_recorded("0a00");
  REQUIRE(hello.has_hello());
  CHECK(hello.hello().version() == 0);
  CHECK(hello.hello().name().empty());
  CHECK(hello.hello().listen().empty());
  Message welcome = read_recorded("1200");
  REQUIRE(welcome.has_welcome());
  CHECK(welcome.welcome().wall_to_steady() == 0);
  CHECK(welcome.welcome().revision() == 0);
  CHECK(welcome.welcome().endpoints().empty());
  CHECK(welcome.welcome().cordons().empty());
  Message rejection = read_recorded("1a00");
  REQUIRE(rejection.has_rejection());
  CHECK(rejection.rejection().reason().empty());
  Message transfer = read_recorded("2a00");
  REQUIRE(transfer.has_ownership_transfer());
  CHECK(transfer.ownership_transfer().request_ids().empty());
  CHECK(transfer.ownership_transfer().accepted_connections() == 0);
  CHECK(transfer.ownership_transfer().cordons().empty());
  CHECK(transfer.ownership_transfer().incarnation() == 0);
  CHECK(transfer.ownership_transfer().members().empty());
  Message connection = read_recorded("3200");
  REQUIRE(connection.has_released_connection());
  CHECK(connection.released_connection().unread().empty());
  CHECK_FALSE(connection.released_connection().used());
  Message accepted = read_recorded("3a00");
  REQUIRE(accepted.has_request_accepted());
  CHECK(accepted.request_accepted().id() == 0);
  Message event = read_recorded("4200");
  REQUIRE(event.has_job_event_forward());
  CHECK(event.job_event_forward().number() == 0);
  CHECK(event.job_event_forward().body().empty());
  Message receipt = read_recorded("4a00");
  REQUIRE(receipt.has_job_event_receipt());
  CHECK(receipt.job_event_receipt().number() == 0);
  CHECK_FALSE(receipt.job_event_receipt().retry());
  Message call = read_recorded("5200");
  REQUIRE(call.has_cordon_call());
  CHECK(call.cordon_call().uid().empty());
  CHECK_FALSE(call.cordon_call().cordoned());
  Message request = read_recorded("5a00");
  REQUIRE(request.has_adopted_request());
  CHECK(request.adopted_request().id() == 0);
  CHECK(request.adopted_request().class_name().empty());
  CHECK(request.adopted_request().worker_uids().empty());
  CHECK(request.adopted_request().expires_at() == 0);
  CHECK_FALSE(request.adopted_request().has_connection());
  CHECK_FALSE(request.adopted_request().keep_alive());
  CHECK_FALSE(request.adopted_request().http_1_0());
}

TEST_CASE("an absent time is distinguished from time zero in recorded messages") {
  Message absent = read_recorded("12041a002200");
  REQUIRE(absent.welcome().endpoints_size() == 1);
  REQUIRE(absent.welcome().cordons_size() == 1);
  CHECK_FALSE(absent.welcome().endpoints(0).has_online_since());
  CHECK_FALSE(absent.welcome().cordons(0).has_uncordoned_at());
  Message zero = read_recorded("12161a094100000000000000002209190000000000000000");
  REQUIRE(zero.welcome().endpoints_size() == 1);
  REQUIRE(zero.welcome().cordons_size() == 1);
  CHECK(zero.welcome().endpoints(0).has_online_since());
  CHECK(zero.welcome().endpoints(0).online_since() == 0);
  CHECK(zero.welcome().cordons(0).has_uncordoned_at());
  CHECK(zero.welcome().cordons(0).uncordoned_at() == 0);
}

TEST_CASE("recorded nested messages without fields are read and written unchanged") {
  Message member = read_recorded("2a022a00");
  REQUIRE(member.ownership_transfer().members_size() == 1);
  CHECK(member.ownership_transfer().members(0).address().empty());
  CHECK(member.ownership_transfer().members(0).state() == 0);
  CHECK(member.ownership_transfer().members(0).incarnation() == 0);
  CHECK(read_members(member.ownership_transfer()).empty());
  Message request = read_recorded("5a022a00");
  CHECK(request.adopted_request().has_connection());
}

TEST_CASE("bytes that are not a message are rejected") {
  CHECK_FALSE(read_message(from_hex("0a16080112")));
  CHECK_FALSE(read_message("\xff\xff\xff"));
  std::optional<Message> empty = read_message("");
  REQUIRE(empty);
  CHECK(empty->kind_case() == Message::KIND_NOT_SET);
}

#include "fleet/view_json.h"

#include <json/json.h>

#include <array>
#include <cstdio>

namespace dispatcher::fleet {
namespace {

std::string to_hex(std::uint64_t value) {
  std::array<char, 17> text{};  // 16 digits and the terminating zero
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

Json::Value member_json(const Endpoint& endpoint, const Member& member, bool damped, Time now) {
  Json::Value json;
  json["member"] = to_text(endpoint);                                       // wire: member
  json["state"] = to_text(member.state);                                    // wire: state
  json["incarnation"] = member.incarnation;                                 // wire: incarnation
  json["for_ms"] = static_cast<Json::Int64>((now - member.since).count());  // wire: for_ms
  if (member.round_trip >= 0)
    json["round_trip_ms"] = member.round_trip;  // wire: round_trip_ms
  json["damped"] = damped;                      // wire: damped
  return json;
}

}  // namespace

std::string write_view_json(const MembershipView& view, const DropCounts& dropped,
                            bool authenticated, Time now) {
  Json::Value members(Json::arrayValue);
  for (const auto& [endpoint, member] : view.members())
    members.append(member_json(endpoint, member, view.damped(now, endpoint), now));
  Json::Value reasons(Json::objectValue);
  for (const auto& [reason, count] : dropped)
    reasons[reason] = Json::UInt64{count};

  Json::Value json;
  json["self"] = to_text(view.self());          // wire: self
  json["incarnation"] = view.incarnation();     // wire: incarnation
  json["digest"] = to_hex(view.digest());       // wire: digest
  json["members"] = members;                    // wire: members
  json["sent"] = Json::UInt64{view.sent()};     // wire: sent
  json["dropped"] = reasons;                    // wire: dropped
  json["sealed"] = authenticated;               // wire: sealed
  json["doubt_in_self"] = view.health_score();  // wire: doubt_in_self
  return json.toStyledString();
}

}  // namespace dispatcher::fleet

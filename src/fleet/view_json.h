// The membership view as the JSON body of GET /admin/fleet.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet/membership_view.h"

namespace dispatcher::fleet {

// Received messages that were dropped, by reason.
using DropCounts = std::map<std::string, std::uint64_t>;

// `authenticated`: datagrams carry a keyed hash.
std::string write_view_json(const MembershipView& view, const DropCounts& dropped,
                            bool authenticated, Time now);

}  // namespace dispatcher::fleet

// Parsing of load reports from workers. Internal to src/protocol.
#pragma once

#include <json/value.h>

#include <string_view>

#include "protocol/messages.h"

namespace dispatcher::protocol {

// Both functions return an empty report if the input is malformed, so that the scheduler gets no
// report rather than a wrong one.

// wire: the header X-Backend-Load, or the body of a health check response
scheduling::LoadReport read_load_text(std::string_view text, const IdentifierTables& tables);
// wire: the member `load` of a job event, or the body of a health check response
scheduling::LoadReport read_load_json(const Json::Value& load, const IdentifierTables& tables);

}  // namespace dispatcher::protocol

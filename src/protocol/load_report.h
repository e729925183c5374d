// Load reports of workers. For the files of this folder only.
#pragma once

#include <json/value.h>

#include <string_view>

#include "protocol/messages.h"

namespace dispatcher::protocol {

// Both return an empty report where the given one is malformed: the scheduler sees none rather than
// a wrong one.
// wire: the header X-Backend-Load, or the body of an answer
scheduling::LoadReport read_load_text(std::string_view text, const IdentifierTables& tables);
// wire: the member `load` of a call-back, or the body of an answer
scheduling::LoadReport read_load_json(const Json::Value& load, const IdentifierTables& tables);

}  // namespace dispatcher::protocol

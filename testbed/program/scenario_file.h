// Reads scenario files: proto/scenario.proto in protobuf text format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario.pb.h"

namespace dispatcher::testbed {

// Reads and validates a scenario, so that a run never refers to a member that does not exist.
// `dispatchers` overrides the number in the file; 0: no override. Throws std::invalid_argument with
// lines "FILE:LINE:COLUMN: FAULT".
Scenario read_scenario(const std::string& path, std::uint32_t dispatchers);

// The numbers of the listed members, including those of the range.
std::vector<int> member_numbers(const Members& members);

}  // namespace dispatcher::testbed

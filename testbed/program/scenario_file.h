// Reads scenarios, proto/scenario.proto in protobuf text format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "scenario.pb.h"

namespace dispatcher::testbed {

// Reads and checks a scenario, so that a run does not meet a member that there is not.
// `dispatchers`: instead of the file's number; 0: the file's. Throws std::invalid_argument with
// lines "FILE:LINE:COLUMN: FAULT".
Scenario read_scenario(const std::string& path, std::uint32_t dispatchers);

// The numbers that a list of members names, those of its range included.
std::vector<int> member_numbers(const Members& members);

}  // namespace dispatcher::testbed

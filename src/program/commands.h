// What the program does beside serving: each prints to standard output and comes back.
#pragma once

#include "program/config.h"

namespace dispatcher::program {

// A table of what a configuration permits; what in it contradicts itself goes to standard error.
void show_settings_summary(const Config& config);

// The fleet as the dispatcher with this operators' address holds it. Throws std::runtime_error with
// one line.
void show_fleet(const std::string& operators, bool json);

}  // namespace dispatcher::program

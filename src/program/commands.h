// The subcommands that print something and return.
#pragma once

#include "program/config.h"

namespace dispatcher::program {

// Prints a summary of the configuration, and warnings about contradictory settings on standard
// error.
void show_settings_summary(const Config& config);

// Prints the membership view of the dispatcher with this admin address. Throws std::runtime_error
// with a one-line message.
void show_fleet(const std::string& admin_address, bool json);

}  // namespace dispatcher::program

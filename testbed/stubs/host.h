// Resources of the machine that stubs use: a loopback address, cores and thread priority.
#pragma once

#include <string>

namespace dispatcher::testbed {

// An IPv4 address of the loopback network, derived from the process id so that test processes that
// run in parallel use different ones.
std::string process_loopback_address();

// Pins the calling thread to cores `first` to `last`. Does nothing if the machine has fewer cores.
void pin_thread_to_cores(int first, int last);

// Lowers the calling thread's priority and pins it to cores 2 and 3, away from core 1, on which the
// stubs for small requests run.
void deprioritize_thread();

}  // namespace dispatcher::testbed

// What the stubs take of the machine: an address of the loopback, cores and thread priority.
#pragma once

#include <string>

namespace dispatcher::testbed {

// An IPv4 address of the loopback that parallel test processes do not share.
std::string own_host();

// Pins the calling thread to the cores [first, last]; no effect on a machine with fewer cores.
void run_on(int first, int last);

// Lowers the calling thread's priority and moves it away from core 1, where the stubs of small
// requests run.
void deprioritize_thread();

}  // namespace dispatcher::testbed

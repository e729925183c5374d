#include "testbed/stubs/host.h"

#include <sched.h>
#include <sys/resource.h>
#include <unistd.h>

#include <thread>

namespace dispatcher::testbed {
namespace {

constexpr int kBackgroundNice = 15;
constexpr int kHostsPerOctet = 250;

}  // namespace

std::string process_loopback_address() {
  int pid = getpid();
  return "127." + std::to_string(1 + pid % kHostsPerOctet) + "." +
         std::to_string(pid / kHostsPerOctet % kHostsPerOctet) + ".8";
}

void pin_thread_to_cores(int first, int last) {
  if (last >= static_cast<int>(std::thread::hardware_concurrency()))
    return;
  cpu_set_t cores;
  CPU_ZERO(&cores);
  for (int i = first; i <= last; ++i)
    CPU_SET(i, &cores);
  sched_setaffinity(0, sizeof cores, &cores);
}

void deprioritize_thread() {
  setpriority(PRIO_PROCESS, static_cast<id_t>(gettid()), kBackgroundNice);
  pin_thread_to_cores(2, 3);
}

}  // namespace dispatcher::testbed

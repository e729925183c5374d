#include "testbed/hostile/hostile_setup.h"

#include <cstdio>

#include "testbed/stubs/host.h"

namespace dispatcher::testbed {

DispatcherProcess::Setup process_setup(const HostileSetup& setup) {
  return {
      .program = setup.program,
      .config = setup.config,
      .features = "",
      .host = process_loopback_address(),
      .max_sockets = setup.max_sockets,
      .admin_address = true,
      .config_overrides = R"({"limits":{"memory_mb":)" + std::to_string(setup.memory_mb) + "}}"};
}

bool print_results(const std::vector<HostileResult>& results) {
  int broken = 0;
  for (const HostileResult& result : results) {
    std::printf("%s%s\n", result.figures.c_str(),
                result.broken.empty() ? "" : (": RULE VIOLATED: " + result.broken).c_str());
    broken += result.broken.empty() ? 0 : 1;
  }
  std::printf("%zu patterns, %d violate a rule\n", results.size(), broken);
  return broken == 0;
}

}  // namespace dispatcher::testbed

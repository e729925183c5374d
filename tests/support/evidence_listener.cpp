// Keeps the folders of a test's processes from its first failed check on.
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>

#include "testbed/stubs/evidence.h"

namespace {

struct EvidenceListener : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;

  bool assertionEnded(const Catch::AssertionStats& stats) override {
    if (!stats.assertionResult.isOk())
      dispatcher::testbed::keep_evidence();
    return true;
  }
};

CATCH_REGISTER_LISTENER(EvidenceListener)

}  // namespace

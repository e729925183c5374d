// All stubs of the testbed: discovery, workers and clients on blocking loopback sockets with one
// thread per connection, and the dispatcher as a child process.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testbed/stubs/dispatcher_process.h"
#include "testbed/stubs/host.h"
#include "testbed/stubs/payload_pattern.h"
#include "testbed/stubs/stub_client.h"
#include "testbed/stubs/stub_services.h"

namespace dispatcher::testbed {

// Short names for tests.
using Answer = ClientResponse;
using Call = AdminResponse;
using Dispatcher = DispatcherProcess;
using Fleet = StubServices;
using Order = ClientRequest;
using Regular = PersistentClient;
using Seen = ReceivedAttempt;

}  // namespace dispatcher::testbed

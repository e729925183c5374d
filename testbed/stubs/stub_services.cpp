#include "testbed/stubs/stub_services.h"

namespace dispatcher::testbed {

StubServices::StubServices(const std::string& host, int workers)
    : context_{.host = host, .callback_address = {}}, discovery_(host) {
  for (int i = 0; i < workers; ++i) {
    workers_.push_back(std::make_unique<StubWorker>("s-" + std::to_string(i + 1), context_));
    discovery_.add_endpoint(workers_.back()->uid(), workers_.back()->address());
  }
}

StubServices::~StubServices() {
  context_.stopping = true;
  context_.log.release_held_events();
  for (const auto& worker : workers_)
    worker->stop();
  discovery_.stop();
}

void StubServices::set_state(int number, const std::string& state) {
  discovery_.set_state(worker(number).uid(), state);
}

void StubServices::set_fault(int number, WorkerFault fault) {
  workers_.at(static_cast<std::size_t>(number))->set_fault(fault);
}

void StubServices::set_limits(int slots, int queue_capacity) {
  for (const auto& worker : workers_)
    worker->set_limits(slots, queue_capacity);
}

}  // namespace dispatcher::testbed

#include "testbed/stubs/stub_discovery.h"

#include <algorithm>
#include <thread>

namespace dispatcher::testbed {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kLimitedPollTime{20};
constexpr std::chrono::milliseconds kChangeCheckInterval{10};

}  // namespace

// Removes a connection from `notified_revisions_` when it ends.
class StubDiscovery::WatchRegistration {
 public:
  WatchRegistration(StubDiscovery& discovery, int descriptor)
      : discovery_(discovery), descriptor_(descriptor) {}
  WatchRegistration(const WatchRegistration&) = delete;
  WatchRegistration& operator=(const WatchRegistration&) = delete;
  ~WatchRegistration() {
    std::lock_guard lock(discovery_.mutex_);
    discovery_.notified_revisions_.erase(descriptor_);
  }

 private:
  StubDiscovery& discovery_;
  int descriptor_;
};

StubDiscovery::StubDiscovery(const std::string& host)
    : listener_(host, [this](int descriptor) { serve(descriptor); }) {}

void StubDiscovery::add_endpoint(const std::string& uid, const std::string& worker_address) {
  std::lock_guard lock(mutex_);
  endpoints_.push_back({uid, worker_address});
}

void StubDiscovery::set_state(const std::string& uid, const std::string& state) {
  std::lock_guard lock(mutex_);
  std::ranges::find(endpoints_, uid, &Endpoint::uid)->state = state;
  ++revision_;
}

void StubDiscovery::set_fault(DiscoveryFault fault) {
  std::lock_guard lock(mutex_);
  if (fault.kind == DiscoveryFault::Stale)
    stale_list_ = endpoint_list(true);
  fault_ = fault;
}

bool StubDiscovery::latest_revision_polled() {
  std::lock_guard lock(mutex_);
  return last_polled_revision_ == revision_;
}

int StubDiscovery::notified_watches() {
  std::lock_guard lock(mutex_);
  return static_cast<int>(std::ranges::count_if(
      notified_revisions_, [this](const auto& watch) { return watch.second >= revision_; }));
}

void StubDiscovery::stop() {
  stopping_ = true;
  listener_.stop();
}

std::string StubDiscovery::endpoint_list(bool with_endpoints) const {
  std::string targets;
  for (const Endpoint& endpoint : endpoints_) {
    if (!with_endpoints || endpoint.state == "removed")
      continue;
    if (!targets.empty())
      targets += ",";
    targets += R"({"uid":")" + endpoint.uid + R"(","endpoint":")" + endpoint.address +
               R"(","az":"room","model":"std","pod_group":0,"state":")" + endpoint.state +
               R"(","capacity_hint":8.0,"boot_ms":0})";
  }
  return R"({"rev":)" + std::to_string(revision_) + R"(,"all":true,"targets":[)" + targets + "]}";
}

std::string StubDiscovery::current_list() const {
  if (fault_.kind == DiscoveryFault::Stale)
    return stale_list_;
  return endpoint_list(fault_.kind != DiscoveryFault::Empty);
}

void StubDiscovery::serve(int descriptor) {
  BlockingConnection connection(descriptor);
  WatchRegistration registration(*this, descriptor);
  HttpHead head;
  while (read_head(connection, head)) {
    ++polls_;
    if (!answer_poll(connection, read_query(request_target(head))))
      return;
  }
}

bool StubDiscovery::answer_poll(BlockingConnection& connection, const Query& query) {
  auto deadline = Clock::now() + std::chrono::milliseconds(query_value(query, "wait"));
  std::unique_lock lock(mutex_);
  if (fault_.kind == DiscoveryFault::Down)
    return false;
  if (fault_.kind == DiscoveryFault::Limited && concurrent_polls_ >= fault_.amount) {
    lock.unlock();
    return connection.send(make_response(503));
  }
  if (fault_.kind == DiscoveryFault::Limited || fault_.kind == DiscoveryFault::Slow)
    simulate_service_time(lock);
  if (query.contains("index")) {
    std::uint64_t known_revision = query.at("index");
    last_polled_revision_ = static_cast<int>(known_revision);
    if (!wait_for_change(connection, lock, known_revision, deadline))
      return false;
  }
  if (fault_.kind == DiscoveryFault::Down)
    return false;
  bool stale = fault_.kind == DiscoveryFault::Stale;
  std::string list = current_list();
  int revision = revision_;
  lock.unlock();
  if (stopping_ || !connection.send(make_response(200, "", list)))
    return false;
  lock.lock();
  if (!stale)
    notified_revisions_[connection.descriptor()] = revision;
  return true;
}

void StubDiscovery::simulate_service_time(std::unique_lock<std::mutex>& lock) {
  ++concurrent_polls_;
  auto service_time = fault_.kind == DiscoveryFault::Limited
                          ? kLimitedPollTime
                          : std::chrono::milliseconds(fault_.amount);
  lock.unlock();
  std::this_thread::sleep_for(service_time);
  lock.lock();
  --concurrent_polls_;
}

bool StubDiscovery::wait_for_change(BlockingConnection& connection,
                                    std::unique_lock<std::mutex>& lock,
                                    std::uint64_t known_revision, Clock::time_point deadline) {
  while (static_cast<std::uint64_t>(revision_) <= known_revision && Clock::now() < deadline &&
         !stopping_ && fault_.kind != DiscoveryFault::Down) {
    lock.unlock();
    if (connection.readable(kChangeCheckInterval))
      return false;
    lock.lock();
  }
  return true;
}

}  // namespace dispatcher::testbed

#include "http/idle_connections.h"

#include <algorithm>

namespace dispatcher::http {

using transport::SlotRef;

namespace {

constexpr std::size_t kMaxConnectionsPerWorker = 2;

}  // namespace

void IdleConnections::add(const std::string& worker, SlotRef connection,
                          transport::Duration lifetime) {
  std::vector<Idle>& idle = by_worker_[worker];
  if (idle.size() >= kMaxConnectionsPerWorker) {
    SlotRef oldest = idle.front().connection;
    remove(oldest);
    network_.close(oldest);
  }
  transport::Time now = clock_.now();
  idle.push_back({connection, now, now + lifetime, close_at(now + lifetime, connection)});
  worker_of_[connection] = worker;
}

transport::Deadlines::Handle IdleConnections::close_at(transport::Time time, SlotRef connection) {
  return deadlines_.add(time, [this, connection] {
    remove(connection);
    network_.close(connection);
  });
}

void IdleConnections::limit_lifetime(transport::Duration lifetime) {
  for (auto& [worker, connections] : by_worker_) {
    for (Idle& idle : connections) {
      if (idle.expires_at <= idle.since + lifetime)
        continue;
      idle.expires_at = idle.since + lifetime;
      deadlines_.disarm(idle.expiry);
      idle.expiry = close_at(idle.expires_at, idle.connection);
    }
  }
}

std::optional<SlotRef> IdleConnections::take(const std::string& worker) {
  auto it = by_worker_.find(worker);
  if (it == by_worker_.end() || it->second.empty())
    return std::nullopt;
  SlotRef connection = it->second.back().connection;
  remove(connection);
  return connection;
}

void IdleConnections::remove(SlotRef connection) {
  auto it = worker_of_.find(connection);
  if (it == worker_of_.end())
    return;
  std::vector<Idle>& idle = by_worker_.at(it->second);
  auto found = std::ranges::find(idle, connection, &Idle::connection);
  deadlines_.disarm(found->expiry);
  idle.erase(found);
  worker_of_.erase(it);
}

void IdleConnections::close_all(const std::string& worker) {
  auto it = by_worker_.find(worker);
  if (it == by_worker_.end())
    return;
  for (Idle& idle : it->second) {
    deadlines_.disarm(idle.expiry);
    worker_of_.erase(idle.connection);
    network_.close(idle.connection);
  }
  by_worker_.erase(it);
}

bool IdleConnections::close_any() {
  if (worker_of_.empty())
    return false;
  SlotRef connection = worker_of_.begin()->first;
  remove(connection);
  network_.close(connection);
  return true;
}

}  // namespace dispatcher::http

// The accepting side of a stub: a listening socket and one thread per connection.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace dispatcher::testbed {

class StubListener {
 public:
  // Listens on a free port of `host`. Calls `serve` with each accepted descriptor, on a new thread;
  // `serve` takes ownership of the descriptor. Throws std::runtime_error if it cannot listen.
  StubListener(const std::string& host, std::function<void(int)> serve);
  StubListener(const StubListener&) = delete;
  StubListener& operator=(const StubListener&) = delete;
  // Waits until all connections have ended.
  ~StubListener();

  // Accepts no more connections.
  void stop();
  const std::string& address() const { return address_; }

 private:
  void accept_connections();

  std::function<void(int)> serve_;
  std::string address_;
  int descriptor_ = -1;
  std::atomic<int> open_connections_{0};
  std::thread thread_;
};

}  // namespace dispatcher::testbed

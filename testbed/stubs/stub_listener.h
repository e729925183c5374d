// The accepting side of a stub: a listening socket and one thread a connection.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

namespace dispatcher::testbed {

class StubListener {
 public:
  // Listens on a free port of `host` and calls `serve` with each accepted descriptor, which it
  // then owns, on a thread of that connection. Throws std::runtime_error where it cannot listen.
  StubListener(const std::string& host, std::function<void(int)> serve);
  StubListener(const StubListener&) = delete;
  StubListener& operator=(const StubListener&) = delete;
  // Waits for all connections to end.
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

#include "testbed/stubs/stub_listener.h"

#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

#include "testbed/stubs/address.h"

namespace dispatcher::testbed {

StubListener::StubListener(const std::string& host, std::function<void(int)> serve)
    : serve_(std::move(serve)), descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  static constexpr int kBacklog = 1024;
  sockaddr_in bound = parse_address(host + ":0");
  socklen_t size = sizeof bound;
  if (bind(descriptor_, reinterpret_cast<sockaddr*>(&bound), size) != 0 ||
      listen(descriptor_, kBacklog) != 0) {
    ::close(descriptor_);
    throw std::runtime_error("a stub cannot listen on " + host);
  }
  getsockname(descriptor_, reinterpret_cast<sockaddr*>(&bound), &size);
  address_ = host + ":" + std::to_string(ntohs(bound.sin_port));
  thread_ = std::thread([this] { accept_connections(); });
}

StubListener::~StubListener() {
  stop();
  thread_.join();
  ::close(descriptor_);
  while (open_connections_ > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void StubListener::stop() {
  shutdown(descriptor_, SHUT_RDWR);
}

void StubListener::accept_connections() {
  while (true) {
    int peer = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (peer < 0)
      return;
    ++open_connections_;
    std::thread([this, peer] {
      serve_(peer);
      --open_connections_;
    }).detach();
  }
}

}  // namespace dispatcher::testbed

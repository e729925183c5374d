#include "testbed/stubs/blocking_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <thread>

#include "testbed/stubs/address.h"

namespace dispatcher::testbed {

BlockingConnection::BlockingConnection(int descriptor) : descriptor_(descriptor) {
  int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  timeval timeout{std::chrono::duration_cast<std::chrono::seconds>(kMaxPeerSilence).count(), 0};
  setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
}

int BlockingConnection::dial(const std::string& address, int buffer_bytes) {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (buffer_bytes > 0) {
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
  }
  sockaddr_in peer = parse_address(address);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0)
    return descriptor;
  ::close(descriptor);
  return -1;
}

void BlockingConnection::close() {
  if (descriptor_ >= 0)
    ::close(descriptor_);
  descriptor_ = -1;
}

void BlockingConnection::close_acknowledged() {
  shutdown(descriptor_, SHUT_WR);
  tcp_info info{};
  socklen_t size = sizeof info;
  while (getsockopt(descriptor_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         info.tcpi_state == TCP_FIN_WAIT1)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  close();
}

bool BlockingConnection::send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

std::string_view BlockingConnection::read_some(std::size_t max_bytes) {
  if (consumed_ == buffer_.size()) {
    buffer_.resize(kTransferBlockBytes);
    ssize_t received = recv(descriptor_, buffer_.data(), buffer_.size(), 0);
    buffer_.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
    consumed_ = 0;
  }
  std::string_view bytes = std::string_view(buffer_).substr(consumed_, max_bytes);
  consumed_ += bytes.size();
  return bytes;
}

bool BlockingConnection::read_line(std::string& out) {
  out.clear();
  while (!out.ends_with("\r\n")) {
    std::string_view next = read_some(1);
    if (next.empty())
      return false;
    out += next;
  }
  out.resize(out.size() - 2);
  return true;
}

bool BlockingConnection::readable(std::chrono::milliseconds timeout) {
  pollfd entry{descriptor_, POLLIN, 0};
  return consumed_ < buffer_.size() || poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

void BlockingConnection::wait_for_close(std::chrono::milliseconds timeout) {
  pollfd entry{descriptor_, POLLRDHUP, 0};
  poll(&entry, 1, static_cast<int>(timeout.count()));
}

}  // namespace dispatcher::testbed

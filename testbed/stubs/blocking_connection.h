// A TCP connection on blocking sockets, for stubs that use one thread a connection.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace dispatcher::testbed {

constexpr std::size_t kTransferBlockBytes = 64 << 10;

// A stub ends a wait for the peer after this time at the latest.
constexpr std::chrono::milliseconds kMaximumSilence{60'000};

// Owns a connected socket and buffers what was read and not yet consumed. Not thread-safe. Calls
// that return bool return false once the peer is gone.
class BlockingConnection {
 public:
  // Takes ownership of `descriptor`; a negative one makes a connection that is already closed.
  explicit BlockingConnection(int descriptor);
  BlockingConnection(const BlockingConnection&) = delete;
  BlockingConnection& operator=(const BlockingConnection&) = delete;
  ~BlockingConnection() { close(); }

  // Connects to HOST:PORT. `buffer_bytes`: of the socket's send and receive buffers, 0 for the
  // system's default. Returns a descriptor that the caller owns, -1 when the connection failed.
  static int dial(const std::string& address, int buffer_bytes = 0);

  void close();
  // Closes once the peer's system has acknowledged the end, so that whatever the peer reads
  // afterwards happens after the connection's end.
  void close_acknowledged();

  bool send(std::string_view bytes);
  // Returns at most `maximum` bytes, valid until the next read; empty at the end.
  std::string_view read_some(std::size_t maximum);
  // Reads a line without its CRLF.
  bool read_line(std::string& out);
  // Whether something can be read, the end included, within `timeout`.
  bool readable(std::chrono::milliseconds timeout);
  // Waits for the peer to close, without reading.
  void wait_for_close(std::chrono::milliseconds timeout);

  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
  std::string buffer_;
  std::size_t used_ = 0;
};

}  // namespace dispatcher::testbed

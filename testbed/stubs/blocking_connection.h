// A TCP connection on a blocking socket, for stubs that use one thread per connection.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace dispatcher::testbed {

constexpr std::size_t kTransferBlockBytes = 64 << 10;

// The longest time that a stub waits for its peer.
constexpr std::chrono::milliseconds kMaxPeerSilence{60'000};

// Owns a connected socket and buffers bytes that were received and not yet consumed. Not
// thread-safe. Functions that return bool return false once the peer is gone.
class BlockingConnection {
 public:
  // Takes ownership of `descriptor`; a negative one makes a connection that is already closed.
  explicit BlockingConnection(int descriptor);
  BlockingConnection(const BlockingConnection&) = delete;
  BlockingConnection& operator=(const BlockingConnection&) = delete;
  ~BlockingConnection() { close(); }

  // Connects to HOST:PORT. `buffer_bytes`: size of the socket's send and receive buffers, 0 for the
  // system's default. Returns a descriptor that the caller owns, or -1 if the connection failed.
  static int dial(const std::string& address, int buffer_bytes = 0);

  void close();
  // Closes after the peer's kernel has acknowledged the FIN, so that whatever the peer reads
  // elsewhere afterwards comes after the end of this connection.
  void close_acknowledged();

  bool send(std::string_view bytes);
  // Returns at most `max_bytes` bytes, valid until the next read; empty at the end.
  std::string_view read_some(std::size_t max_bytes);
  // Reads a line without its CRLF.
  bool read_line(std::string& out);
  // Whether bytes or the end of the stream can be read within `timeout`.
  bool readable(std::chrono::milliseconds timeout);
  // Waits until the peer closes, without reading.
  void wait_for_close(std::chrono::milliseconds timeout);

  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace dispatcher::testbed

// Runs the whole program in the test process, on real loopback sockets and an injected clock, for
// tests that act as its peers. A replay continues once the network is quiescent and never waits for
// a fixed time.
#pragma once

#include <fcntl.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <fstream>
#include <iterator>
#include <map>

#include "program/app.h"
#include "tests/support/manual_clock.h"
#include "transport/gio_network.h"
#include "transport/loop.h"

namespace dispatcher::testing {

// The peer's end of a connection. Owns the descriptor.
struct PeerSocket {
  int fd = -1;
  bool closed_by_program = false;
  PeerSocket() = default;
  explicit PeerSocket(int descriptor) : fd(descriptor) {}
  PeerSocket(PeerSocket&& other) noexcept
      : fd(std::exchange(other.fd, -1)), closed_by_program(other.closed_by_program) {}
  PeerSocket& operator=(PeerSocket&&) = delete;
  ~PeerSocket() { close(); }
  void send(const std::string& text) const {
    if (fd >= 0)
      (void)!::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
  }
  void finish() const { ::shutdown(fd, SHUT_WR); }
  void reset() {
    linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
  }
  void close() {
    if (fd >= 0)
      ::close(std::exchange(fd, -1));
  }
  std::string receive() {
    std::string received;
    char buffer[4096];
    while (fd >= 0 && !closed_by_program) {
      ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      if (n < 0 && errno == EAGAIN)
        break;
      if (n <= 0) {
        closed_by_program = true;
      } else {
        received.append(buffer, static_cast<std::size_t>(n));
      }
    }
    return received;
  }
};

inline sockaddr_in address_of(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  unsigned parts[4];
  std::sscanf(host.c_str(), "%u.%u.%u.%u", &parts[0], &parts[1], &parts[2], &parts[3]);
  address.sin_addr.s_addr = htonl(parts[0] << 24 | parts[1] << 16 | parts[2] << 8 | parts[3]);
  return address;
}

struct Listener {  // for connections that the program opens
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string address;
  explicit Listener(const std::string& host) {
    sockaddr_in bound = address_of(host, 0);
    socklen_t size = sizeof bound;
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&bound), size) == 0);
    REQUIRE(listen(fd, 64) == 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
    address = host + ":" + std::to_string(ntohs(bound.sin_port));
  }
  Listener(const Listener&) = delete;
  ~Listener() { ::close(fd); }
  int accept() const { return accept4(fd, nullptr, nullptr, SOCK_NONBLOCK); }
};

// A worker that answers every call in the same way.
class UniformWorker {
 public:
  // `response`: status code and reason of each answer.
  UniformWorker(const std::string& host, const std::string& response)
      : listener_(host), response_("HTTP/1.1 " + response + "\r\nContent-Length: 0\r\n\r\n") {}

  const std::string& address() const { return listener_.address; }
  // Methods and targets of the calls so far.
  const std::vector<std::string>& calls() const { return calls_; }
  // Connections that the program has not closed.
  std::ptrdiff_t open_connections() const {
    return std::ranges::count_if(connections_, [](const Connection& connection) {
      return !connection.socket.closed_by_program;
    });
  }
  // Answers the calls that have arrived. Returns false if there was no input.
  bool serve() {
    bool active = false;
    for (int fd; (fd = listener_.accept()) >= 0; active = true)
      connections_.emplace_back().socket.fd = fd;
    for (Connection& connection : connections_) {
      connection.parser.feed(connection.socket.receive());
      while (auto message = connection.parser.next()) {
        active = true;
        calls_.push_back(message->method + " " + message->target);
        connection.socket.send(response_);
      }
    }
    return active;
  }

 private:
  struct Connection {
    PeerSocket socket;
    protocol::Parser parser{protocol::Parser::Kind::Request};
  };

  Listener listener_;
  std::string response_;
  std::deque<Connection> connections_;
  std::vector<std::string> calls_;
};

// The kernel's TCP states. linux/tcp.h, which has the complete tcp_info, does not define them.
enum {
  kSynSent = 2,
  kSynReceived = 3,
  kFinWait1 = 4,
  kLastAck = 9,
  kListening = 10,
  kClosing = 11
};
constexpr int kMaxDescriptors = 64;  // exceeds what a replay uses

// The program; subclasses add the peers.
class Loopback {
 public:
  virtual ~Loopback() = default;

  // Nothing is in flight between two sockets: each side has received all that the other has sent,
  // and no connection is being opened or closed. Both sides are descriptors of this process.
  // Acknowledgements are not considered, as the kernel delays them.
  static bool is_quiescent() {
    std::map<std::pair<std::uint64_t, std::uint64_t>, tcp_info> sides;
    for (int fd = 3; fd < kMaxDescriptors; ++fd) {
      tcp_info info{};
      socklen_t size = sizeof info;
      if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == kListening)
        continue;
      for (int transient_state : {kSynSent, kSynReceived, kFinWait1, kClosing, kLastAck}) {
        if (info.tcpi_state == transient_state)
          return false;
      }
      sockaddr_in own{};
      sockaddr_in other{};
      socklen_t length = sizeof own;
      getsockname(fd, reinterpret_cast<sockaddr*>(&own), &length);
      getpeername(fd, reinterpret_cast<sockaddr*>(&other), &length);
      auto number = [](const sockaddr_in& address) {
        return std::uint64_t{address.sin_addr.s_addr} << 16 | address.sin_port;
      };
      sides[{number(own), number(other)}] = info;
    }
    return std::ranges::all_of(sides, [&](const auto& side) {
      auto other = sides.find({side.first.second, side.first.first});
      return other == sides.end() ||
             side.second.tcpi_bytes_sent <= other->second.tcpi_bytes_received;
    });
  }

  // Runs the loop until the network is quiescent and the peers have nothing left to do.
  void settle() {
    for (int quiet = 0; quiet < 2;) {
      while (!is_quiescent()) {
      }
      for (int i = 0; i < 4; ++i)
        loop.turn();
      quiet = serve_peers() || !is_quiescent() ? 0 : quiet + 1;
    }
  }

  // Connects a client, or a worker that reports a job event.
  void connect_client(PeerSocket& peer) const {
    peer.fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(peer.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::size_t colon = listen_address.find(':');
    sockaddr_in to = address_of(host, std::stoi(listen_address.substr(colon + 1)));
    sockaddr_in from = address_of(host, 0);
    REQUIRE(bind(peer.fd, reinterpret_cast<sockaddr*>(&from), sizeof from) == 0);
    REQUIRE(connect(peer.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
  }

  static std::size_t open_descriptors() {
    std::size_t count = 0;
    for (int fd = 0; fd < kMaxDescriptors; ++fd)
      count += fcntl(fd, F_GETFD) >= 0;
    return count;
  }

  std::string host;
  ManualClock clock;
  transport::Deadlines deadlines;
  transport::Loop loop{deadlines, clock};
  std::string log_text;
  std::string listen_address;
  operations::Log log{clock, [this](const std::string& line) {
                        log_text += line + '\n';
                      }};
  transport::GioNetwork network{loop.context(), deadlines, clock, {64, 64}, [](const std::string&) {
                                }};
  std::optional<program::App> app;

 protected:
  // `last_octet`: of the loopback address; each test file uses another.
  explicit Loopback(int last_octet)
      : host("127." + std::to_string(1 + getpid() % 250) + "." +
             std::to_string(getpid() / 250 % 250) + "." + std::to_string(last_octet)) {}

  // Lets the peers handle their input; false if there was none.
  virtual bool serve_peers() = 0;

  // The environment is empty.
  static program::Config read_config(const Json::Value& config, program::ReadMode mode,
                                     const Json::Value& current_file = {}) {
    auto nothing = [](const char*) {
      return std::string();
    };
    return program::read_config(config.toStyledString(), nothing, transport::Duration(0), mode,
                                current_file);
  }

  // SIGHUP with this configuration.
  void reload(const Json::Value& config) {
    app->reload(read_config(config, program::ReadMode::Reload, app->current_file()));
  }

  void start(Json::Value config) {
    Listener unused(host);  // closed below, so that the program can listen there
    listen_address = unused.address;
    config["listen"] = listen_address;
    ::close(std::exchange(unused.fd, -1));
    app.emplace(read_config(config, program::ReadMode::Start), features::Features(), network,
                deadlines, clock, log);
    // Returns true so that no loop turn blocks.
    loop.set_post_io_callback([this] { return network.serve_bulk(), true; });
    network.listen(listen_address, app->acceptor());
    app->start();
    settle();
  }

  static Json::Value example_config() {
    std::ifstream in(DISPATCHER_EXCHANGES "/config.json", std::ios::binary);
    return protocol::parse_json(std::string(std::istreambuf_iterator<char>(in), {}));
  }
};

}  // namespace dispatcher::testing

#include "testbed/stubs/stubs.h"

#include "testbed/stubs/address.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <json/reader.h>
#include <json/writer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <poll.h>
#include <sched.h>
#include <spawn.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dispatcher::testbed {
namespace {

using Clock = std::chrono::steady_clock;
constexpr std::size_t kBlock = 64 << 10;
constexpr int kLongestSilence = 60'000;  // ms; a stub never waits for ever

double ms_since(Clock::time_point t) {
  return std::chrono::duration<double, std::milli>(Clock::now() - t).count();
}

}  // namespace

// A connection with what has been read of it and not yet used. Calls return false when the other
// side is gone.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    timeval longest{kLongestSilence / 1000, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof longest);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &longest, sizeof longest);
  }
  Wire(const Wire&) = delete;
  ~Wire() { drop(); }
  void drop() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
  }
  // Closed, and the other side's machine has it: what is read after that is read by somebody who
  // could know.
  void die() {
    shutdown(fd_, SHUT_WR);
    tcp_info info{};
    for (socklen_t size = sizeof info; getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
                                       info.tcpi_state == TCP_FIN_WAIT1;)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    drop();
  }
  static int dial(const std::string& address, int buffer = 0) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (buffer)
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    if (buffer)
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
    sockaddr_in a = parse_address(address);
    if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0)
      return fd;
    ::close(fd);
    return -1;
  }
  bool send(std::string_view bytes) {
    while (!bytes.empty()) {
      ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  std::string_view some(std::size_t most) {  // empty: the end
    if (used_ == buffer_.size()) {
      buffer_.resize(kBlock);
      ssize_t n = recv(fd_, buffer_.data(), buffer_.size(), 0);
      buffer_.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
      used_ = 0;
    }
    std::string_view got = std::string_view(buffer_).substr(used_, most);
    used_ += got.size();
    return got;
  }
  bool line(std::string& out) {
    for (out.clear(); !out.ends_with("\r\n");) {
      std::string_view c = some(1);
      if (c.empty())
        return false;
      out += c;
    }
    out.resize(out.size() - 2);
    return true;
  }
  bool pending(int wait_ms) {  // something is there to be read, the end included
    pollfd p{fd_, POLLIN, 0};
    return used_ < buffer_.size() || poll(&p, 1, wait_ms) > 0;
  }
  void wait_for_end(int wait_ms) {  // reading nothing meanwhile
    pollfd p{fd_, POLLRDHUP, 0};
    poll(&p, 1, wait_ms);
  }

 private:
  int fd_;
  std::string buffer_;
  std::size_t used_ = 0;
};

namespace {

struct Head {
  std::string first;
  std::map<std::string, std::string> fields;  // names in lower case
};
bool read_head(Wire& wire, Head& head) {
  head = {};
  if (!wire.line(head.first))
    return false;
  for (std::string line; wire.line(line);) {
    if (line.empty())
      return true;
    std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    head.fields[name] = line.substr(std::min(line.size(), colon + 2));
  }
  return false;
}

// Keeps a transfer at its rate by sleeping after each piece.
class Pace {
 public:
  explicit Pace(std::uint64_t rate) : rate_(rate) {}
  std::size_t piece() const {
    return rate_ ? std::clamp<std::size_t>(rate_ / 50, 512, kBlock) : kBlock;
  }
  void moved(std::size_t n) {
    done_ += n;
    if (rate_) {
      std::this_thread::sleep_until(start_ +
                                    std::chrono::duration<double>(double(done_) / double(rate_)));
    }
  }

 private:
  std::uint64_t rate_;
  std::uint64_t done_ = 0;
  Clock::time_point start_ = Clock::now();
};

// Calls take(bytes) for the body and says whether it came whole; take() may end it early with
// false.
bool read_body(Wire& wire, const Head& head, std::uint64_t rate,
               const std::function<bool(std::string_view)>& take) {
  Pace pace(rate);
  auto exactly = [&](std::uint64_t left) {
    while (left > 0) {
      std::string_view got = wire.some(std::min<std::uint64_t>(left, pace.piece()));
      if (got.empty() || !take(got))
        return false;
      left -= got.size();
      pace.moved(got.size());
    }
    return true;
  };
  if (auto length = head.fields.find("content-length"); length != head.fields.end())
    return exactly(std::stoull(length->second));
  if (!head.fields.contains("transfer-encoding"))
    return true;
  for (std::string line; wire.line(line);) {
    std::uint64_t size = std::stoull(line, nullptr, 16);
    if (!exactly(size))
      return false;
    if (size > 0 && (!wire.line(line) || !line.empty()))
      return false;
    while (size == 0 && wire.line(line)) {
      if (line.empty())
        return true;
    }
  }
  return false;
}

// Sends `n` bytes of the pattern; `stop` of them at most. Says whether all went out.
bool send_body(Wire& wire, std::uint64_t seed, std::uint64_t n, bool chunked, std::uint64_t rate,
               std::uint64_t stop, Sha256& sha, const std::function<bool(std::uint64_t)>& go_on,
               std::uint64_t pause_at = UINT64_MAX) {
  Pace pace(rate);
  std::string block(kBlock, 0);
  std::uint64_t done = 0;
  while (done < std::min(n, stop) && go_on(done)) {
    std::uint64_t until = std::min({n, stop, done < pause_at ? pause_at : UINT64_MAX});
    std::size_t piece = std::min<std::uint64_t>(pace.piece(), until - done);
    fill_pattern(seed, done, block.data(), piece);
    std::string_view bytes(block.data(), piece);
    sha.add(bytes);
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", piece);
    if (chunked && !wire.send(size))
      return false;
    if (!wire.send(bytes) || (chunked && !wire.send("\r\n")))
      return false;
    done += piece;
    pace.moved(piece);
  }
  if (done < n)
    return false;
  return !chunked || wire.send("0\r\n\r\n");
}

Query read_query(const std::string& target) {
  Query q;
  std::size_t mark = target.find('?');
  std::istringstream in(mark == std::string::npos ? "" : target.substr(mark + 1));
  for (std::string pair; std::getline(in, pair, '&');) {
    if (std::size_t equals = pair.find('='); equals != std::string::npos)
      q[pair.substr(0, equals)] = std::stoull(pair.substr(equals + 1));
  }
  return q;
}

std::string plain(int status, const std::string& headers, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Sha256::Sha256()
    : state_(EVP_MD_CTX_new(), [](void* p) { EVP_MD_CTX_free(static_cast<EVP_MD_CTX*>(p)); }) {
  EVP_DigestInit_ex(static_cast<EVP_MD_CTX*>(state_.get()), EVP_sha256(), nullptr);
}
void Sha256::add(std::string_view bytes) {
  EVP_DigestUpdate(static_cast<EVP_MD_CTX*>(state_.get()), bytes.data(), bytes.size());
}
std::string Sha256::hex() {
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int n = 0;
  EVP_DigestFinal_ex(static_cast<EVP_MD_CTX*>(state_.get()), digest, &n);
  std::string text;
  for (unsigned int i = 0; i < n; ++i) {
    char two[3];
    std::snprintf(two, sizeof two, "%02x", digest[i]);
    text += two;
  }
  return text;
}

void fill_pattern(std::uint64_t seed, std::uint64_t from, char* out, std::size_t n) {
  auto word = [seed](std::uint64_t i) {  // splitmix64 of the place
    std::uint64_t z = (seed + i + 1) * 0x9e3779b97f4a7c15u;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
  };
  std::size_t done = 0;
  while (done < n) {
    std::uint64_t at = from + done;
    std::uint64_t w = word(at / 8);
    std::size_t skip = at % 8;
    std::size_t piece = std::min<std::size_t>(8 - skip, n - done);
    std::memcpy(out + done, reinterpret_cast<const char*>(&w) + skip, piece);
    done += piece;
  }
}

std::string pattern_sha(std::uint64_t seed, std::uint64_t n) {
  Sha256 sha;
  std::string block(kBlock, 0);
  for (std::uint64_t done = 0; done < n; done += kBlock) {
    std::size_t piece = std::min<std::uint64_t>(kBlock, n - done);
    fill_pattern(seed, done, block.data(), piece);
    sha.add({block.data(), piece});
  }
  return sha.hex();
}

void run_on(int first, int last) {
  if (last >= static_cast<int>(std::thread::hardware_concurrency()))
    return;
  cpu_set_t cores;
  CPU_ZERO(&cores);
  for (int i = first; i <= last; ++i)
    CPU_SET(i, &cores);
  sched_setaffinity(0, sizeof cores, &cores);
}

namespace {
// Out of the way of the stubs of small orders, which stay on core 1 and at the usual priority.
void step_back() {
  setpriority(PRIO_PROCESS, static_cast<id_t>(gettid()), 15);
  run_on(2, 3);
}
}  // namespace

std::string own_host() {
  return "127." + std::to_string(1 + getpid() % 250) + "." + std::to_string(getpid() / 250 % 250) +
         ".8";
}

Fleet::Fleet(std::string host, int workers) : host_(std::move(host)) {
  workers_.resize(static_cast<std::size_t>(workers));
  for (int i = 0; i < workers; ++i) {
    Worker& w = workers_[static_cast<std::size_t>(i)];
    w.uid = "s-" + std::to_string(i + 1);
    listen([this, uid = w.uid](int fd) { serve_worker(fd, uid); }, w.address);
  }
  listen([this](int fd) { serve_discovery(fd); }, discovery_);
}

Fleet::~Fleet() {
  {
    std::lock_guard lock(mutex_);  // so that nobody who waits for a turn misses it
    over_ = true;
  }
  moved_.notify_all();
  for (int fd : listeners_)
    shutdown(fd, SHUT_RDWR);
  for (std::thread& t : threads_)
    t.join();
  for (int fd : listeners_)
    close(fd);
  while (serving_ > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void Fleet::listen(const std::function<void(int)>& serve, std::string& address) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in a = parse_address(host_ + ":0");
  socklen_t size = sizeof a;
  if (bind(fd, reinterpret_cast<sockaddr*>(&a), size) != 0 || ::listen(fd, 1024) != 0)
    throw std::runtime_error("a stand-in cannot listen on " + host_);
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  address = host_ + ":" + std::to_string(ntohs(a.sin_port));
  listeners_.push_back(fd);
  threads_.emplace_back([this, fd, serve] {
    while (true) {
      int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0)
        return;
      ++serving_;
      std::thread([this, peer, serve] {
        serve(peer);
        --serving_;
      }).detach();
    }
  });
}

void Fleet::set_state(int number, const std::string& state) {
  std::lock_guard lock(mutex_);
  workers_.at(static_cast<std::size_t>(number)).state = state;
  ++revision_;
}

std::vector<Seen> Fleet::seen() {
  std::lock_guard lock(mutex_);
  return seen_;
}

bool Fleet::told() {
  std::lock_guard lock(mutex_);
  return asked_after_ == revision_;
}

std::string Fleet::list() {
  std::string targets;
  for (const Worker& w : workers_) {
    if (w.state != "removed") {
      targets += (targets.empty() ? "" : ",") + std::string(R"({"uid":")") + w.uid +
                 R"(","endpoint":")" + w.address +
                 R"(","az":"room","model":"std","pod_group":0,"state":")" + w.state +
                 R"(","capacity_hint":8.0,"boot_ms":0})";
    }
  }
  return "{\"rev\":" + std::to_string(revision_) + R"(,"all":true,"targets":[)" + targets + "]}";
}

int Fleet::told_to() {
  std::lock_guard lock(mutex_);
  return static_cast<int>(
      std::ranges::count_if(told_, [this](auto& t) { return t.second >= revision_; }));
}

void Fleet::ail(ListFault fault) {
  std::lock_guard lock(mutex_);
  if (fault.kind == ListFault::Old)
    old_list_ = list();
  list_fault_ = fault;
}

void Fleet::ail(int number, WorkerFault fault) {
  std::lock_guard lock(mutex_);
  workers_.at(static_cast<std::size_t>(number)).fault = fault;
}

WorkerFault Fleet::fault_of(const std::string& uid) {
  std::lock_guard lock(mutex_);
  return std::ranges::find(workers_, uid, &Worker::uid)->fault;
}

void Fleet::serve_discovery(int fd) {
  Wire wire(fd);
  struct Watch {  // forgotten with its connection
    Fleet& fleet;
    int fd;
    ~Watch() {
      std::lock_guard lock(fleet.mutex_);
      fleet.told_.erase(fd);
    }
  } watch{*this, fd};
  for (Head head; read_head(wire, head);) {
    ++list_calls_;
    Query q = read_query(head.first.substr(0, head.first.rfind(' ')).substr(4));
    auto until = Clock::now() + std::chrono::milliseconds(q.contains("wait") ? q["wait"] : 0);
    std::unique_lock lock(mutex_);
    if (list_fault_.kind == ListFault::Down)
      return;
    bool few = list_fault_.kind == ListFault::Few;
    bool slow = few || list_fault_.kind == ListFault::Slow;
    if (few && at_list_ >= list_fault_.amount) {
      lock.unlock();
      if (!wire.send(plain(503, "", "")))
        return;
      continue;
    }
    if (slow) {  // the time that a call takes; a watch that stands takes none
      ++at_list_;
      int ms = few ? 20 : list_fault_.amount;
      lock.unlock();
      std::this_thread::sleep_for(std::chrono::milliseconds(ms));
      lock.lock();
      --at_list_;
    }
    if (q.contains("index"))
      asked_after_ = static_cast<int>(q["index"]);
    while (q.contains("index") && static_cast<std::uint64_t>(revision_) <= q["index"] &&
           Clock::now() < until && !over_ && list_fault_.kind != ListFault::Down) {
      lock.unlock();
      if (wire.pending(10))
        return;  // it has hung up
      lock.lock();
    }
    if (list_fault_.kind == ListFault::Down)
      return;
    bool old = list_fault_.kind == ListFault::Old;
    bool empty = list_fault_.kind == ListFault::Empty;
    std::string text =
        old     ? old_list_
        : empty ? "{\"rev\":" + std::to_string(revision_) + R"(,"all":true,"targets":[]})"
                : list();
    int revision = revision_;
    lock.unlock();
    if (over_ || !wire.send(plain(200, "", text)))
      return;
    lock.lock();
    if (!old)
      told_[fd] = revision;
  }
}

void Fleet::limit(int slots, int places) {
  std::lock_guard lock(mutex_);
  slots_ = slots;
  places_ = places;
}

std::string Fleet::load_of(const Worker& w) const {
  return "X-Backend-Load: TEXT x0=" + std::to_string(slots_ - w.running) +
         ", q=" + std::to_string(w.line.size()) + "\r\n";
}

void Fleet::news(const Query& q, const std::string& text) const {
  auto port = q.find("back");
  int fd = Wire::dial(port == q.end() ? dispatcher_ : host_ + ":" + std::to_string(port->second));
  if (fd < 0)
    return;  // it is gone, and its job with it
  Wire call(fd);
  Head answer;
  if (call.send("POST /_jobs/news HTTP/1.1\r\nContent-Length: " + std::to_string(text.size()) +
                "\r\n\r\n" + text))
    read_head(call, answer);
}

// Turned away, or taken, told of at its start and at its end; a withdrawal stops nothing. Whether
// the connection serves on.
bool Fleet::serve_in_turn(Wire& wire, const std::string& uid, Query& q, const Seen& seen) {
  std::unique_lock lock(mutex_);
  Worker& w = *std::ranges::find(workers_, uid, &Worker::uid);
  if (w.running >= slots_ && std::ssize(w.line) >= places_) {
    std::string load = load_of(w);
    lock.unlock();
    ++turned_away_;
    return wire.send(plain(503, "X-Unprocessed: 1\r\n" + load, ""));
  }
  w.line.push_back(seen.id);
  longest_line_ =
      std::max(longest_line_.load(), static_cast<int>(w.line.size()) - (w.running < slots_));
  lock.unlock();
  wire.send(plain(202, "Connection: close\r\n", ""));
  wire.drop();
  lock.lock();
  moved_.wait(lock, [&] { return over_ || (w.line.front() == seen.id && w.running < slots_); });
  w.line.pop_front();
  ++w.running;
  seen_.push_back(seen);
  lock.unlock();
  moved_.notify_all();
  std::string about = R"({"id":")" + seen.id + R"(","from":")" + uid + R"(","state":)";
  if (!over_)
    news(q, about + "\"started\"}");
  if (!over_)
    std::this_thread::sleep_for(std::chrono::milliseconds(q["work"]));
  lock.lock();
  --w.running;
  std::string load = R"("load":{"x0":)" + std::to_string(slots_ - w.running) +
                     ",\"q\":" + std::to_string(w.line.size()) + "}";
  lock.unlock();
  moved_.notify_all();
  if (!over_)
    news(q, about + R"("done","result":")" + seen.sha + "\"," + load + "}");
  return false;
}

void Fleet::serve_worker(int fd, const std::string& uid) {
  int small = 64 << 10;  // so that what a slow worker has not taken waits at the dispatcher
  Wire wire(fd);
  for (Head head; read_head(wire, head);) {
    std::string target = head.first.substr(head.first.find(' ') + 1);
    target = target.substr(0, target.find(' '));
    WorkerFault fault = fault_of(uid);
    if (fault == WorkerFault::Vanish)
      return wire.wait_for_end(kLongestSilence);
    if (!head.first.starts_with("POST")) {
      std::unique_lock lock(mutex_);
      std::string load = slots_ > 0 ? load_of(*std::ranges::find(workers_, uid, &Worker::uid)) : "";
      lock.unlock();
      if (!wire.send(plain(head.first.starts_with("GET") ? 200 : 204, load, "")))
        return;
      continue;
    }
    Query q = read_query(target);
    Seen seen{head.fields["x-correlation-id"], uid, "", 0, false};
    if (q.contains("only")) {
      std::lock_guard lock(mutex_);
      if (static_cast<std::uint64_t>(++tries_[seen.id]) > q["only"])
        q.clear();
    }
    if (q["core"])
      run_on(static_cast<int>(q["core"]), static_cast<int>(q["core"]));
    if (q["nice"])
      step_back();
    if (q["in"] || q.contains("hang_in"))
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    if (q["out"])
      setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &small, sizeof small);
    auto limit = [&](const char* name) {
      return q.contains(name) ? q[name] : UINT64_MAX;
    };
    std::uint64_t stop = std::min({limit("early"), limit("die_in"), limit("hang_in")});
    Sha256 sha;
    seen.begun = read_body(wire, head, q["in"], [&](std::string_view bytes) {
      sha.add(bytes);
      return (seen.bytes += bytes.size()) < stop;
    });
    seen.sha = sha.hex();
    auto keep = [&] {
      if (q["nice"])
        return;  // a thread that steps back must not hold up the others with a lock
      std::lock_guard lock(mutex_);
      seen_.push_back(seen);
    };
    if (!seen.begun || stop == 0) {
      if (seen.bytes >= limit("die_in"))
        wire.die();  // before anybody can read that it did
      keep();
      if (seen.bytes >= limit("hang_in"))
        wire.wait_for_end(kLongestSilence);
      if (seen.bytes >= limit("early")) {
        wire.send(plain(static_cast<int>(q["status"]),
                        q["status"] == 503 ? "X-Unprocessed: 1\r\n" : "", "early"));
        while (!wire.some(kBlock).empty()) {
        }
      }
      return;
    }
    if (slots_ > 0 && q["news"] && fault != WorkerFault::Hang) {
      if (serve_in_turn(wire, uid, q, seen))
        continue;
      return;
    }
    if (fault == WorkerFault::Hang) {
      keep();
      return wire.wait_for_end(kLongestSilence);
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(q["work"] + (fault == WorkerFault::Crawl ? 500 : 0)));
    if (fault == WorkerFault::Fail) {
      keep();
      if (!wire.send(plain(500, "", "")))
        return;
      continue;
    }
    const std::string load = "X-Backend-Load: TEXT x0=64, q=0\r\n";
    bool up = true;
    if (!q.contains("reply") && q["news"]) {
      keep();
      up = wire.send(plain(202, "", ""));
      std::this_thread::sleep_for(std::chrono::milliseconds(q["late"]));
      news(q, R"({"id":")" + seen.id + R"(","from":")" + uid + R"(","state":"done","result":")" +
                  seen.sha + R"(","load":{"x0":64}})");
    } else if (!q.contains("reply")) {
      keep();
      up = wire.send(plain(200, load, seen.sha));
    } else {
      std::string framing = q["chunked"] ? "Transfer-Encoding: chunked"
                                         : "Content-Length: " + std::to_string(q["reply"]);
      up = wire.send("HTTP/1.1 200 OK\r\n" + load + framing + "\r\n\r\n");
      Sha256 out;
      std::uint64_t last = std::min(limit("die_out"), limit("hang_out"));
      up = up && send_body(wire, q["seed"], q["reply"], q["chunked"], q["out"], last, out,
                           [](std::uint64_t) { return true; });
      keep();
      if (!up && limit("hang_out") != UINT64_MAX)
        wire.wait_for_end(kLongestSilence);
    }
    if (!up)
      return;
  }
}

namespace {

Answer hand_in_on(Wire& wire, const Order& o, Clock::time_point start) {
  Answer a;
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(o.id));
  std::string head =
      "POST /api?" + o.query + " HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: " + id +
      "\r\nX-Service-Class: " + o.job_class +
      "\r\nX-Account: lanting-bento\r\nX-Time-Left-Ms: " + std::to_string(o.time_left_ms) + "\r\n" +
      o.extra_headers;
  if (o.job_class != "place-order")
    head += std::string("Idempotency-Key: k") + id + "\r\n";
  head += o.chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                    : "Content-Length: " + std::to_string(o.upload) + "\r\n\r\n";
  Sha256 sent;
  Sha256 got;
  if (!wire.send(head))
    return a;
  if (o.query.find("nice=1") != std::string::npos)
    step_back();  // not before: a silent newcomer is closed
  // An answer may come before all has been sent: then the rest is kept back, as a polite client
  // does.
  send_body(
      wire, o.seed, o.upload, o.chunked, o.rate_up, o.leave_after, sent,
      [&](std::uint64_t done) {
        while (done >= o.pause_at && !o.go_on())
          std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return !wire.pending(0);
      },
      o.pause_at);
  a.sent_sha = sent.hex();
  if (o.leave_after < o.upload)
    return a;
  Head reply;
  if (!read_head(wire, reply))
    return a;
  a.head_ms = ms_since(start);
  a.status = std::stoi(reply.first.substr(9, 3));
  a.whole = read_body(wire, reply, o.rate_down, [&](std::string_view bytes) {
    got.add(bytes);
    if (a.body.size() < 4096)
      a.body.append(bytes.substr(0, 4096 - a.body.size()));
    return (a.bytes += bytes.size()) < o.leave_reply_after;
  });
  a.sha = got.hex();
  a.ms = ms_since(start);
  return a;
}

}  // namespace

Answer hand_in(const std::string& address, const Order& o) {
  auto start = Clock::now();
  int fd = Wire::dial(address, o.rate_up || o.rate_down ? 64 << 10 : 0);
  if (fd < 0)
    return {};
  Wire wire(fd);
  Answer a = hand_in_on(wire, o, start);
  a.unread = a.whole && wire.pending(0) && !wire.some(1).empty();
  return a;
}

struct Regular::Line {
  explicit Line(int fd) : wire(fd) {}
  Wire wire;
};
Regular::Regular(const std::string& address) : line_(std::make_unique<Line>(Wire::dial(address))) {}
Regular::~Regular() = default;
Answer Regular::hand_in(const Order& order) {
  return hand_in_on(line_->wire, order, Clock::now());
}
void Regular::begin(const std::string& text) {
  line_->wire.send(text);
}

long Call::figure(const std::string& name) const {
  std::size_t at = body.find(name + "=");
  return at == std::string::npos ? -1 : std::stol(body.substr(at + name.size() + 1));
}

Call call(const std::string& operators, const std::string& method, const std::string& target) {
  Call c;
  int fd = Wire::dial(operators);
  if (fd < 0)
    return c;
  Wire wire(fd);
  Head head;
  if (!wire.send(method + " " + target + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n") ||
      !read_head(wire, head))
    return c;
  c.status = std::stoi(head.first.substr(9, 3));
  read_body(wire, head, 0, [&](std::string_view bytes) { return c.body += bytes, true; });
  return c;
}

// A port that was free a moment ago, on an address that nobody else uses.
std::string Dispatcher::free_address() const {
  int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = parse_address(setup_.host + ":0");
  socklen_t size = sizeof a;
  bind(probe, reinterpret_cast<sockaddr*>(&a), size);
  getsockname(probe, reinterpret_cast<sockaddr*>(&a), &size);
  close(probe);
  return setup_.host + ":" + std::to_string(ntohs(a.sin_port));
}

namespace {
void lay_over(Json::Value& under, const Json::Value& over) {
  for (const std::string& name : over.getMemberNames()) {
    if (over[name].isObject() && under[name].isObject()) {
      lay_over(under[name], over[name]);
    } else {
      under[name] = over[name];
    }
  }
}
}  // namespace

Dispatcher::Dispatcher(const Setup& s, Fleet& fleet) : setup_(s) {
  char pattern[] = "/tmp/dispatcher-testbed-XXXXXX";
  folder_ = mkdtemp(pattern);
  std::filesystem::create_directory(folder_ + "/tmp");
  address_ = free_address();
  fleet.call_back_to(address_);
  Json::Value config;
  std::ifstream(s.config) >> config;
  config["listen"] = address_;
  config["discovery"] = fleet.discovery();
  config["limits"]["sockets"] = s.sockets;
  if (!s.more.empty()) {
    Json::Value more;
    std::istringstream(s.more) >> more;
    lay_over(config, more);
  }
  std::ofstream(folder_ + "/config.json") << config;
  std::ofstream(folder_ + "/features.textproto") << s.features;
  start(true);
}

void Dispatcher::start(bool wait_at_clients) {
  std::string features = folder_ + "/features.textproto";
  std::vector<const char*> arguments{setup_.program.c_str()};
  if (!setup_.features.empty())
    arguments.insert(arguments.end(), {"--features", features.c_str()});
  if (setup_.trace)
    arguments.insert(arguments.end(), {"--trace", "--log-format", "json"});
  arguments.push_back(nullptr);
  std::vector<std::string> variables{"ROUTER_CONFIG=" + folder_ + "/config.json"};
  for (char** e = environ; *e; ++e) {
    if (!std::string_view(*e).starts_with("ROUTER_") &&
        !std::string_view(*e).starts_with("TMPDIR="))
      variables.push_back(*e);
  }
  if (setup_.operators) {
    operators_ = free_address();
    variables.insert(variables.end(), {"ROUTER_OPS=" + operators_, "TMPDIR=" + folder_ + "/tmp"});
  }
  std::vector<char*> environment;
  for (std::string& v : variables)
    environment.push_back(v.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 2, (folder_ + "/log").c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  int failed = posix_spawn(&pid_, setup_.program.c_str(), &files, nullptr,
                           const_cast<char**>(arguments.data()), environment.data());
  posix_spawn_file_actions_destroy(&files);
  if (failed)
    throw std::runtime_error("cannot start " + setup_.program);
  for (int i = 0; i < 2000; ++i) {  // until it is ready
    if (int fd = Wire::dial(wait_at_clients ? address_ : operators_); fd >= 0) {
      Wire wire(fd);
      Head head;
      if (wire.send(std::string("GET ") + (wait_at_clients ? "/ready" : "/admin/health") +
                    " HTTP/1.1\r\n\r\n") &&
          read_head(wire, head) && head.first.find(" 200 ") != std::string::npos)
        return;
    }
    if (waitpid(pid_, nullptr, WNOHANG) != 0) {
      pid_ = -1;
      throw std::runtime_error("it ended at once:\n" + log());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  throw std::runtime_error("it does not become ready:\n" + log());
}

bool Dispatcher::start_beside() {
  old_pid_ = std::exchange(pid_, -1);
  old_operators_ = operators_;
  try {
    start(false);
    return true;
  } catch (const std::runtime_error&) {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    pid_ = std::exchange(old_pid_, -1);
    operators_ = old_operators_;
    return false;
  }
}

void Dispatcher::crash() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

void Dispatcher::kill_now() {
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = std::exchange(old_pid_, -1);
  if (pid_ > 0) {
    operators_ = old_operators_;
  } else {
    start(true);
  }
}

Dispatcher::~Dispatcher() {
  for (int pid : {pid_, old_pid_}) {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

namespace {
int terminate(int& pid) {
  int status = 0;
  kill(pid, SIGTERM);
  waitpid(pid, &status, 0);
  pid = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}
}  // namespace

int Dispatcher::end() {
  return terminate(pid_);
}
int Dispatcher::end_old() {
  return terminate(old_pid_);
}

std::string Dispatcher::log() const {
  std::ifstream in(folder_ + "/log");
  return {std::istreambuf_iterator<char>(in), {}};
}

std::uint64_t Dispatcher::memory_kb(const char* field) const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(field))
      return std::stoull(line.substr(line.find(':') + 1));
  }
  return 0;
}

namespace {
std::pair<double, double> read_schedstat(pid_t pid) {  // time on a core and in line for one, in ms
  std::ifstream in("/proc/" + std::to_string(pid) + "/schedstat");
  double on_core = 0;
  double in_line = 0;
  in >> on_core >> in_line;
  return {on_core / 1e6, in_line / 1e6};
}
}  // namespace

double Dispatcher::cpu_ms() const {
  return read_schedstat(pid_).first;
}
double Dispatcher::waited_ms() const {
  return read_schedstat(pid_).second;
}

}  // namespace dispatcher::testbed

// What bodies that pass through cost: memory, throughput, what small orders beside them notice, and
// CPU for a small order. Metrics are ratios of alternating rounds in one run; a table goes to
// standard output.
//
//     dispatcher_bench_streaming PROGRAM CONFIG [--part memory|throughput|beside|cpu]... [--old
//     PROGRAM] [--mb 50]
#include <sched.h>

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <numeric>

#include "testbed/stubs/stubs.h"

using namespace dispatcher::testbed;

namespace {

using Clock = std::chrono::steady_clock;

std::string features(int ceiling_mb) {
  return "streaming { most_body_bytes: 1000000000 memory_ceiling_mb: " +
         std::to_string(ceiling_mb) +
         " window_kb: 512 replay_bytes: 65536 stall_ms: 60000 longest_transfer_ms: 600000 }";
}

std::uint64_t next_id() {
  static std::atomic<std::uint64_t> id{1};
  return ++id;
}

// The dispatcher has one core, as in service; the stubs have the others.
void pin(int pid, bool dispatcher) {
  cpu_set_t cores;
  CPU_ZERO(&cores);
  int n = static_cast<int>(std::thread::hardware_concurrency());
  if (dispatcher || n < 2) {
    CPU_SET(0, &cores);
  } else {
    for (int i = 1; i < n; ++i)
      CPU_SET(i, &cores);
  }
  sched_setaffinity(pid, sizeof cores, &cores);
}

struct Rig {
  Rig(const std::string& program, const std::string& config, const std::string& features,
      int workers = 4)
      : fleet(own_host(), workers),
        dispatcher({program, config, features, own_host(), 4096}, fleet) {
    pin(dispatcher.pid(), true);
    for (int i = 0; i < 8 * workers; ++i) {  // the scheduler learns what its workers can do
      Order o;
      o.id = next_id();
      if (features.empty())
        o.query = "news=1";
      if (hand_in(dispatcher.address(), o).status != 200)
        throw std::runtime_error("a first order failed");
    }
  }
  Fleet fleet;
  Dispatcher dispatcher;
};

std::vector<Answer> run_all(const std::string& address, const std::vector<Order>& orders) {
  std::vector<Answer> answers(orders.size());
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < orders.size(); ++i)
    threads.emplace_back([&, i] { answers[i] = hand_in(address, orders[i]); });
  for (std::thread& t : threads)
    t.join();
  return answers;
}

// Half up, half down; of each quarter one slow client or one slow worker.
std::vector<Order> transfers(int count, std::uint64_t bytes, std::uint64_t slow) {
  std::vector<Order> all;
  for (int i = 0; i < count; ++i) {
    Order o;
    o.id = next_id();
    o.seed = o.id;
    o.chunked = i % 4 < 2;
    o.time_left_ms = 600'000;
    bool up = i % 2 == 0;
    bool client = i % 8 < 2;
    bool worker = i % 8 >= 2 && i % 8 < 4;
    if (slow == 0)
      client = worker = false;
    if (i / 8 % 2 == 1)
      client = worker = client && false;  // every second eight has none: a quarter in all
    if (up) {
      o.upload = bytes;
    } else {
      o.query = "reply=" + std::to_string(bytes) + "&seed=" + std::to_string(o.seed) +
                (o.chunked ? "&chunked=1" : "");
    }
    o.query += o.query.empty() ? "nice=1" : "&nice=1";
    if (!up)
      o.chunked = false;
    if (client)
      (up ? o.rate_up : o.rate_down) = slow;
    if (worker)
      o.query += std::string(up ? "&in=" : "&out=") + std::to_string(slow);
    all.push_back(o);
  }
  return all;
}

int wrong(const std::vector<Order>& orders, const std::vector<Answer>& answers,
          std::uint64_t bytes) {
  int bad = 0;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const Answer& a = answers[i];
    bool ok = a.status == 200 && a.whole && !a.unread;
    if (orders[i].upload > 0) {
      ok = ok && a.body == a.sent_sha;
    } else {
      ok = ok && a.bytes == bytes && a.sha == pattern_sha(orders[i].seed, bytes);
    }
    if (!ok) {
      std::printf("  order %llu: status %d, %llu bytes\n",
                  static_cast<unsigned long long>(orders[i].id), a.status,
                  static_cast<unsigned long long>(a.bytes));
    }
    bad += !ok;
  }
  return bad;
}

double median(std::vector<double> v, double at = 0.5) {
  std::ranges::sort(v);
  return v.empty() ? 0
                   : v[std::min(v.size() - 1,
                                static_cast<std::size_t>(at * static_cast<double>(v.size())))];
}

bool memory(const std::string& program, const std::string& config, std::uint64_t bytes) {
  bool good = true;
  for (auto [ceiling, most_kb] : {std::pair{24, 48 << 10}, std::pair{8, 32 << 10}}) {
    Rig rig(program, config, features(ceiling));
    auto orders = transfers(200, bytes, bytes / 15);
    auto start = Clock::now();
    auto answers = run_all(rig.dispatcher.address(), orders);
    double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    int bad = wrong(orders, answers, bytes);
    auto peak = rig.dispatcher.memory_kb("VmHWM");
    std::printf(
        "memory: ceiling %2d MB, 200 transfers of %llu MB: %d wrong, %.1f s, peak resident %.1f MB "
        "(most "
        "%d)\n",
        ceiling, static_cast<unsigned long long>(bytes / 1'000'000), bad, seconds,
        double(peak) / 1024, most_kb >> 10);
    good = good && bad == 0 && peak < static_cast<std::uint64_t>(most_kb);
  }
  return good;
}

bool throughput(const std::string& program, const std::string& config, std::uint64_t bytes) {
  Rig rig(program, config, features(24));
  bool good = true;
  for (int count : {1, 16}) {
    for (bool up : {true, false}) {
      std::vector<double> ratios;
      std::vector<double> speeds;
      for (int round = 0; round < 5; ++round) {
        double speed[2];
        for (bool direct : {true, false}) {
          std::vector<Order> orders = transfers(2 * count, bytes, 0);
          std::erase_if(orders, [up](const Order& o) { return (o.upload > 0) != up; });
          auto start = Clock::now();
          auto answers = run_all(direct ? rig.fleet.worker(0) : rig.dispatcher.address(), orders);
          speed[direct] = count * double(bytes) /
                          std::chrono::duration<double>(Clock::now() - start).count() / 1e6;
          if (wrong(orders, answers, bytes) > 0)
            return false;
        }
        ratios.push_back(speed[0] / speed[1]);
        speeds.push_back(speed[0]);
      }
      std::printf(
          "throughput: %2d %s: %.0f MB/s through the dispatcher, %.2f of direct (at least 0.70)\n",
          count, up ? "up  " : "down", median(speeds), median(ratios));
      good = good && median(ratios) >= 0.7;
    }
  }
  return good;
}

// Small orders, four at a time; the times that those took.
std::vector<double> small_orders(const std::string& address, int count, const std::string& query) {
  std::vector<double> times;
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      run_on(1, 1);
      for (int i = 0; i < count / 4; ++i) {
        Order o;
        o.id = next_id(), o.upload = 200, o.query = query;
        Answer a = hand_in(address, o);
        std::lock_guard lock(mutex);
        times.push_back(a.status == 200 ? a.ms : 1e6);
      }
    });
  }
  for (std::thread& t : threads)
    t.join();
  return times;
}

bool beside(const std::string& program, const std::string& config, std::uint64_t bytes) {
  run_on(
      1,
      1);  // where each connection is taken; the threads of transfers go to other cores from there
  Rig rig(program, config, features(24), 8);
  std::vector<double> m;
  std::vector<double> p;
  for (int round = 0; round < 3; ++round) {
    auto without = small_orders(rig.dispatcher.address(), 400, "work=50&core=1");
    auto orders = transfers(200, bytes, bytes / 15);
    std::vector<Answer> answers;
    std::thread load([&] {
      run_on(2, 3);
      answers = run_all(rig.dispatcher.address(), orders);
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    auto with = small_orders(rig.dispatcher.address(), 400, "work=50&core=1");
    load.join();
    if (wrong(orders, answers, bytes) > 0)
      return false;
    std::printf("  round %d: median %.1f ms without, %.1f with; 99th %.1f and %.1f\n", round,
                median(without), median(with), median(without, 0.99), median(with, 0.99));
    m.push_back(median(with) / median(without));
    p.push_back(median(with, 0.99) / median(without, 0.99));
  }
  std::printf(
      "beside: small orders with 200 transfers against without: median %.2f, 99th percentile %.2f "
      "(most "
      "1.20)\n",
      median(m), median(p));
  return median(m) <= 1.2 && median(p) <= 1.2;
}

bool cpu(const std::string& program, const std::string& old, const std::string& config) {
  std::vector<double> off;
  std::vector<double> on;
  Rig before(old, config, "");
  Rig after(program, config, "");
  Rig streams(program, config, features(24));
  auto cost = [](Rig& rig) {  // ms of CPU a thousand small orders, by call-backs as always
    double start = rig.dispatcher.cpu_ms();
    if (median(small_orders(rig.dispatcher.address(), 1600, "news=1&core=1"), 1) >= 1e6)
      throw std::runtime_error("a small order failed");
    return (rig.dispatcher.cpu_ms() - start) / 1.6;
  };
  std::vector<double> base;
  for (int round = 0; round < 5; ++round) {
    base.push_back(cost(before));
    off.push_back(cost(after) / base.back());
    on.push_back(cost(streams) / base.back());
  }
  std::printf(
      "cpu: a small order costs %.0f us with the old program; new %.2f of it, with streaming on "
      "%.2f\n",
      median(base), median(off), median(on));
  return median(off) <= 1.0;
}

}  // namespace

int main(int argc, char** argv) try {
  if (argc < 3) {
    throw std::runtime_error(
        "usage: dispatcher_bench_streaming PROGRAM CONFIG [--part NAME] [--old PROGRAM] [--mb N]");
  }
  std::string program = argv[1];
  std::string config = argv[2];
  std::string old;
  std::vector<std::string> parts;
  std::uint64_t bytes = 50'000'000;
  for (int i = 3; i + 1 < argc; i += 2) {
    if (!std::strcmp(argv[i], "--part")) {
      parts.push_back(argv[i + 1]);
    } else if (!std::strcmp(argv[i], "--old")) {
      old = argv[i + 1];
    } else if (!std::strcmp(argv[i], "--mb")) {
      bytes = std::stoull(argv[i + 1]) * 1'000'000;
    } else {
      throw std::runtime_error(std::string("unknown: ") + argv[i]);
    }
  }
  if (parts.empty())
    parts = {"memory", "throughput", "beside"};
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  pin(0, false);
  bool good = true;
  for (const std::string& part : parts) {
    if (part == "memory") {
      good &= memory(program, config, bytes);
    } else if (part == "throughput") {
      good &= throughput(program, config, bytes);
    } else if (part == "beside") {
      good &= beside(program, config, bytes);
    } else if (part == "cpu" && !old.empty()) {
      good &= cpu(program, old, config);
    } else {
      throw std::runtime_error("no such part, or no --old: " + part);
    }
  }
  return good ? 0 : 2;
} catch (const std::exception& e) {
  std::fprintf(stderr, "%s\n", e.what());
  return 1;
}

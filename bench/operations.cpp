// What the operators' address costs: CPU for an order while its figures are fetched, and what
// silent callers there do to orders and to other callers. Metrics are ratios of alternating rounds
// in one run; a table goes to standard output.
//
//     dispatcher_bench_operations PROGRAM CONFIG [ROUNDS]
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <filesystem>

#include "testbed/stubs/stubs.h"

using namespace dispatcher::testbed;

namespace {

constexpr int kOrders = 400;

double median(std::vector<double> v) {
  std::ranges::sort(v);
  return v.empty() ? 0 : v[v.size() / 2];
}

struct Rig {
  Rig(const std::string& program, const std::string& config)
      : fleet(own_host(), 4), dispatcher({program, config, "", own_host(), 1024, true}, fleet) {
    round();
  }
  struct Round {
    double cpu_ms;
    double order_ms;  // for one order; the latter the median
  };
  Round round() {
    double before = dispatcher.cpu_ms();
    std::vector<double> ms;
    Regular client(dispatcher.address());
    for (int i = 0; i < kOrders; ++i) {
      Order o;
      o.id = ++ids;
      o.query = "news=1";
      Answer a = client.hand_in(o);
      if (a.status != 200)
        throw std::runtime_error("an order failed");
      ms.push_back(a.ms);
    }
    return {(dispatcher.cpu_ms() - before) / kOrders, median(ms)};
  }
  std::size_t descriptors() const {
    std::filesystem::directory_iterator all("/proc/" + std::to_string(dispatcher.pid()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  Fleet fleet;
  Dispatcher dispatcher;
  std::uint64_t ids = 0;
};

// Calls at this distance while it lives.
class Caller {
 public:
  Caller(const std::string& operators, int every_ms)
      : thread_([this, operators, every_ms] {
          while (!over_) {
            auto start = std::chrono::steady_clock::now();
            if (call(operators, "GET", "/admin/stats").status != 200)
              ++failed;
            std::chrono::duration<double, std::milli> took =
                std::chrono::steady_clock::now() - start;
            longest_ms = std::max(longest_ms, took.count());
            std::this_thread::sleep_for(std::chrono::milliseconds(every_ms));
          }
        }) {}
  ~Caller() {
    over_ = true;
    thread_.join();
  }
  int failed = 0;
  double longest_ms = 0;

 private:
  std::atomic<bool> over_{false};
  std::thread thread_;
};

}  // namespace

int main(int argc, char** argv) try {
  if (argc < 3)
    throw std::runtime_error("usage: dispatcher_bench_operations PROGRAM CONFIG [ROUNDS]");
  int rounds = argc > 3 ? std::stoi(argv[3]) : 7;
  Rig rig(argv[1], argv[2]);
  const std::string operators = rig.dispatcher.operators();
  std::vector<double> each_second;
  std::vector<double> each_10ms;
  std::vector<double> silent_cpu;
  std::vector<double> silent_order;
  std::vector<double> call_ms;
  std::size_t idle_descriptors = 0;
  std::size_t silent_descriptors = 0;
  int failed = 0;
  for (int i = 0; i < rounds; ++i) {
    Rig::Round idle = rig.round();
    idle_descriptors = std::max(idle_descriptors, rig.descriptors());
    {
      Caller caller(operators, 1000);
      each_second.push_back(rig.round().cpu_ms / idle.cpu_ms);
    }
    {
      Caller caller(operators, 10);
      each_10ms.push_back(rig.round().cpu_ms / idle.cpu_ms);
    }
    std::vector<std::unique_ptr<Regular>> silent;
    for (int n = 0; n < 100; ++n)
      silent.push_back(std::make_unique<Regular>(operators));
    Caller caller(operators, 10);
    Rig::Round beside = rig.round();
    silent_cpu.push_back(beside.cpu_ms / idle.cpu_ms);
    silent_order.push_back(beside.order_ms / idle.order_ms);
    silent_descriptors = std::max(silent_descriptors, rig.descriptors());
    call_ms.push_back(caller.longest_ms);
    failed += caller.failed;
  }
  std::printf(
      "CPU for an order, against that with the operators' address idle (median of %d rounds)\n",
      rounds);
  std::printf("  figures fetched each second            %.2f\n", median(each_second));
  std::printf("  figures fetched each 10 ms             %.2f\n", median(each_10ms));
  std::printf("  the same beside 100 silent callers     %.2f\n", median(silent_cpu));
  std::printf("time of an order beside them             %.2f\n", median(silent_order));
  std::printf("a call beside them, longest              %.1f ms, %d failed\n", median(call_ms),
              failed);
  std::printf("descriptors, idle and beside them        %zu and %zu\n", idle_descriptors,
              silent_descriptors);
  return 0;
} catch (const std::exception& e) {
  std::fprintf(stderr, "dispatcher_bench_operations: %s\n", e.what());
  return 1;
}

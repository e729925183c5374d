// Bodies that pass through the program as a process, between stubs on real sockets. Verdicts
// are by order and count: nothing here depends on how fast the machine is, but for stalls that are
// longer than any pause of it.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <set>

#include "streaming/pipe.h"
#include "testbed/stubs/stubs.h"

using namespace dispatcher::testbed;

namespace {

std::string environment(const char* name) {
  const char* value = std::getenv(name);
  REQUIRE(value);
  return value;
}

struct Scene {
  explicit Scene(const std::string& features, int workers = 3)
      : fleet(own_host(), workers),
        dispatcher(
            {environment("DISPATCHER"), environment("DISPATCHER_CONFIG"), features, own_host()},
            fleet) {
    // The scheduler learns how much its workers can do; until then it holds orders back.
    for (std::uint64_t i = 0; i < 8; ++i) {
      Order first;
      first.id = 9000 + i;
      REQUIRE(run(first).status == 200);
    }
  }
  Answer run(Order order) { return submit_request(dispatcher.address(), order); }
  template <class Done>
  void until(Done done) {  // a test that hangs here is ended by the test runner
    while (!done())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  std::vector<Answer> run_all(const std::vector<Order>& orders) {
    std::vector<Answer> answers(orders.size());
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < orders.size(); ++i)
      threads.emplace_back(
          [&, i] { answers[i] = submit_request(dispatcher.address(), orders[i]); });
    for (std::thread& t : threads)
      t.join();
    return answers;
  }
  // How often each order's last byte reached a worker.
  std::map<std::string, int> begun() {
    std::map<std::string, int> counts;
    for (const Seen& s : fleet.seen())
      counts[s.id] += s.begun;
    return counts;
  }
  Fleet fleet;
  Dispatcher dispatcher;
};

const std::string kOn =
    "streaming { memory_ceiling_mb: 4 window_kb: 256 replay_bytes: 65536 stall_ms: 20000 }";

}  // namespace

TEST_CASE(
    "transfers of mixed speed, some of them cut: every body byte for byte, nothing begun twice") {
  Scene s(kOn);
  constexpr std::uint64_t kBody = 2'000'000;
  std::vector<Order> orders;
  for (std::uint64_t i = 1; i <= 48; ++i) {
    Order o;
    o.id = i;
    o.seed = i * 77;
    o.chunked = i % 4 < 2;
    bool up = i % 2 == 0;
    std::uint64_t kind = i / 2 % 8;
    if (up) {
      o.upload = kBody + i;
    } else {
      o.query = "reply=" + std::to_string(kBody + i) + "&seed=" + std::to_string(o.seed) +
                (i % 4 == 1 ? "&chunked=1&" : "&");
    }
    if (kind == 1)
      o.query += up ? "in=4000000" : "out=4000000";
    if (kind == 2)
      (up ? o.rate_up : o.rate_down) = 4'000'000;
    if (kind == 3)
      o.query += up ? "die_in=1500000" : "die_out=1500000";
    if (kind == 3 && up) {  // its last byte must not have gone out before the worker dies
      o.pause_at = 1'600'000;
      o.go_on = [&s, i] {
        for (const Seen& seen : s.fleet.seen()) {
          if (std::stoull(seen.id, nullptr, 16) == i)
            return true;
        }
        return false;
      };
    }
    if (kind == 4)
      (up ? o.leave_after : o.leave_reply_after) = 500'000;
    if (kind == 5 && up)
      o.query += "news=1";
    if (kind == 6 && up)
      o.query += "early=1000000&status=503";
    orders.push_back(o);
  }
  std::vector<Answer> answers = s.run_all(orders);
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const Order& o = orders[i];
    const Answer& a = answers[i];
    bool up = o.upload > 0;
    std::uint64_t kind = o.id / 2 % 8;
    INFO("order " << o.id << ": status " << a.status << ", " << a.bytes << " bytes, "
                  << a.body.substr(0, 80));
    CHECK_FALSE(a.unread);
    if (kind == 4) {
      CHECK_FALSE(a.whole);
    } else if (kind == 3 && up) {
      CHECK(a.status == 503);  // spent, and never begun
    } else if (kind == 3) {
      CHECK(a.status == 200);
      CHECK_FALSE(a.whole);  // the client can tell
      CHECK(a.bytes <= 1'500'000);
    } else if (kind == 6 && up) {
      CHECK(a.status == 503);
    } else if (up) {
      CHECK(a.status == 200);
      CHECK(a.body == a.sent_sha);
    } else {
      CHECK(a.status == 200);
      CHECK(a.whole);
      CHECK(a.bytes == kBody + o.id);
      CHECK(a.sha == pattern_sha(o.seed, a.bytes));
    }
  }
  for (auto& [id, times] : s.begun())
    CHECK(times <= 1);
  // What was cut has given its memory back: everybody is served again.
  for (std::uint64_t i = 100; i < 110; ++i) {
    Order o;
    o.id = i;
    o.upload = 300'000;
    o.seed = i;
    Answer a = s.run(o);
    CHECK(a.status == 200);
    CHECK(a.body == a.sent_sha);
  }
  CHECK(s.dispatcher.end() == 0);
}

// 1 MB is 64 chunks, and an order that uploads owns two.
TEST_CASE("when the memory is spent newcomers are refused at once, and it comes back") {
  Scene s("streaming { memory_ceiling_mb: 1 window_kb: 16 replay_bytes: 0 stall_ms: 4000 }");
  std::vector<Order> orders;
  for (std::uint64_t i = 1; i <= 32; ++i) {
    Order o;
    o.id = i;
    o.upload = 20'000'000;
    o.seed = i;
    o.query = "hang_in=1000";  // more than the network holds
    orders.push_back(o);
  }
  std::vector<Answer> stuck;
  std::thread all([&] { stuck = s.run_all(orders); });
  s.until([&] { return s.fleet.seen().size() == 8 + 32; });
  Order small;
  small.id = 100;
  small.upload = 10;
  Answer refused = s.run(small);
  CHECK(refused.status == 503);
  CHECK(refused.body == "too many bodies are on their way");
  all.join();
  for (const Answer& a : stuck)
    CHECK(a.status == 503);
  for (auto& [id, times] : s.begun())
    CHECK(times == (id >= "0000000000002000"));  // each refusal is true
  small.id = 101;
  CHECK(s.run(small).status == 200);
}

TEST_CASE(
    "an order that fits the window goes to another worker, of any class; one that has begun does "
    "not") {
  Scene s(kOn);
  std::vector<Order> orders;
  for (std::uint64_t i = 1; i <= 12; ++i) {
    Order o;
    o.id = i;
    o.seed = i;
    o.upload = 50'000;
    o.query = "only=1&die_in=30000";
    o.pause_at = 40'000;
    o.rate_up = 5'000'000;  // in small pieces; the last ones after the worker has died
    o.go_on = [&s, died = 8 + 2 * i - 1] {
      return s.fleet.seen().size() >= died;
    };
    o.job_class = i % 2 ? "place-order" : "group-order";
    orders.push_back(o);
  }
  for (const Order& o : orders) {  // one at a time: worker after worker dies
    Answer a = s.run(o);
    INFO("order " << o.id << ": " << a.body);
    CHECK(a.status == 200);
    CHECK(a.body == a.sent_sha);
  }
  for (auto& [id, times] : s.begun())
    CHECK(times == 1);
}

TEST_CASE("a worker that drains keeps the transfer it has and gets nothing new") {
  Scene s(kOn, 2);
  Order slow;
  slow.id = 1;
  slow.upload = 3'000'000;
  slow.seed = 5;
  slow.query = "in=1000000";
  Answer a;
  std::thread transfer([&] { a = s.run(slow); });
  // Whichever has the transfer, it ends well.
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  s.fleet.set_state(0, "draining");
  s.until([&] { return s.fleet.told(); });
  for (std::uint64_t i = 10; i < 20; ++i) {
    Order o;
    o.id = i;
    o.upload = 1000;
    CHECK(s.run(o).status == 200);
  }
  transfer.join();
  CHECK(a.status == 200);
  CHECK(a.body == a.sent_sha);
  for (const Seen& seen : s.fleet.seen()) {
    if (seen.id >= "000000000000000a" && seen.id <= "0000000000000013")
      CHECK(seen.uid == "s-2");
  }
}

TEST_CASE("SIGTERM: what ends in time is whole, the rest is cut so that the client can tell") {
  Scene s(kOn);
  std::vector<Order> orders(2);
  orders[0].id = 1;
  orders[0].query = "reply=200000&seed=9&out=1000000";
  orders[1].id = 2;
  orders[1].query = "reply=30000000&seed=9&out=1000000";
  std::vector<Answer> answers;
  std::thread all([&] { answers = s.run_all(orders); });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(s.dispatcher.end() == 0);
  all.join();
  CHECK(answers[0].whole);
  CHECK(answers[0].bytes == 200'000);
  CHECK(answers[1].status == 200);
  CHECK_FALSE(answers[1].whole);
}

// ---- The pure parts ----

using dispatcher::streaming::kChunkBytes;
using dispatcher::streaming::MemoryBudget;
using dispatcher::streaming::Pipe;

TEST_CASE(
    "the budget: never over its ceiling, never a lane without its chunk, room left for newcomers") {
  MemoryBudget budget(100 * kChunkBytes, 40 * kChunkBytes);
  std::uint64_t random = 7;
  auto draw = [&](std::uint64_t n) {
    random = random * 6364136223846793005u + 1442695040888963407u;
    return (random >> 33) % n;
  };
  std::vector<MemoryBudget::Lane> lanes;
  for (int step = 0; step < 200'000; ++step) {
    if (lanes.empty() || draw(50) == 0) {
      if (auto lane = budget.open()) {
        lanes.push_back(std::move(*lane));
      } else {
        CHECK(lanes.size() > 49);  // greedy lanes alone never shut a newcomer out
      }
    }
    std::size_t i = draw(lanes.size());
    if (std::size_t may = lanes[i].may_take(); may > 0 && draw(3) > 0) {
      for (; may > 0; --may)
        lanes[i].take();
    } else if (lanes[i].held() > 0) {
      lanes[i].give();
    } else if (lanes.size() > 60) {
      std::swap(lanes[i], lanes.back());
      lanes.pop_back();
    }
    REQUIRE(budget.used() <= budget.total());
    if (lanes[draw(lanes.size())].held() == 0)
      REQUIRE(lanes[0].may_take() + lanes[0].held() >= 1);
  }
}

TEST_CASE("a pipe keeps its first bytes, and lets them go for room rather than stand still") {
  MemoryBudget budget(4 * kChunkBytes, 2 * kChunkBytes);
  Pipe pipe(*budget.open(), 3 * kChunkBytes);
  pipe.append(std::string(2 * kChunkBytes, 'a'));
  CHECK(pipe.capacity() == 0);
  while (!pipe.take(SIZE_MAX).bytes.empty()) {
  }
  CHECK(pipe.capacity() == 0);  // not written yet
  CHECK(pipe.replayable());
  pipe.mark_written(2 * kChunkBytes);
  CHECK(pipe.capacity() == 2 * kChunkBytes);
  CHECK_FALSE(pipe.replayable());
  CHECK_FALSE(pipe.rewind());
  pipe.append("b");
  CHECK(pipe.take(SIZE_MAX).bytes == "b");
  pipe.abandon();
  CHECK(pipe.held_bytes() == 0);
  CHECK(budget.used() == 1);
}

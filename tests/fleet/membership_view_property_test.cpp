// What the fleet's view promises, over schedules of faults that RapidCheck draws and shrinks, and
// over every order of the first events of three members.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "testbed/simulation/membership_simulation.h"

using namespace dispatcher::testbed;

namespace {

constexpr int kMost = 9;

struct Fault {
  enum Kind { Crash, Start, Stop, Wake, Cut, OneWay, Heal, Loss } kind = Crash;
  int who = 0;
  int other = 0;
  int gap_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& f) {
  constexpr const char* names[] = {"crash", "start",   "stop", "wake",
                                   "cut",   "one way", "heal", "loss"};
  return out << names[f.kind] << ' ' << f.who << ' ' << f.other << " then " << f.gap_ms << " ms";
}

// RapidCheck narrows ranges while it is young; a schedule wants the whole of them from the first.
rc::Gen<int> below(int n) {
  return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, n));
}

rc::Gen<Fault> faults() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::map(below(8), [](int k) { return Fault::Kind(k); })),
      rc::gen::set(&Fault::who, below(kMost)), rc::gen::set(&Fault::other, below(kMost)),
      rc::gen::set(&Fault::gap_ms, below(20'000)));
}

// A world in which the faults have been, up to but not with the end of the last one.
struct Troubled {
  MembershipSimulation w;
  std::vector<bool> up;
  std::vector<bool> stopped;
  int n;
  Troubled(int members, std::uint64_t seed)
      : w(members, seed), up(members, true), stopped(members, false), n(members) {}
  void take(const Fault& f) {
    int who = f.who % n;
    int other = f.other % n;
    auto at = static_cast<std::size_t>(who);
    switch (f.kind) {
      case Fault::Crash:
        w.crash(who);
        up[at] = false;
        break;
      case Fault::Start:
        if (!up[at]) {
          w.start(who);
          up[at] = true;
        }
        break;
      case Fault::Stop:
        w.stop(who, true);
        stopped[at] = true;
        break;
      case Fault::Wake:
        w.stop(who, false);
        stopped[at] = false;
        break;
      case Fault::Cut:
        w.cut = [who](int a, int b) {
          return (a <= who) != (b <= who);
        };
        break;
      case Fault::OneWay:
        w.cut = [who, other](int a, int b) {
          return a == who && b == other;
        };
        break;
      case Fault::Heal:
        w.cut = [](int, int) {
          return false;
        };
        break;
      case Fault::Loss:
        w.loss(0.02 * other);
        break;
    }
    w.pass(f.gap_ms);
  }
  void end_all() {
    w.cut = [](int, int) {
      return false;
    };
    w.loss(0);
    for (int i = 0; i < n; ++i)
      w.stop(i, false);
  }
};

// Three members at each branch of a tree: what is on the way, and what may happen next.
struct Branch {
  struct Mail {
    int from;
    int to;
    std::string bytes;
  };
  struct Post {
    std::vector<Mail>* mail = nullptr;
  };
  std::shared_ptr<Post> post;
  std::vector<MembershipView> views;
  std::vector<Mail> mail;
  Time now{Duration(1'000'000)};
  bool fault_done = false;
  bool cut = false;
  int up = 3;
  int lost = 0;

  explicit Branch(std::shared_ptr<Post> p) : post(std::move(p)) {
    for (int i = 0; i < 3; ++i) {
      MembershipView::Options o;
      o.self = at(i);
      o.others = {at(0), at(1), at(2)};
      o.incarnation = 1000;
      o.seed = static_cast<std::uint64_t>(i);
      views.emplace_back(
          o, now,
          [i, post = post](const Endpoint& to, const std::string& bytes) {
            post->mail->push_back({i, static_cast<int>(to.address - at(0).address), bytes});
          },
          [](const Endpoint&, State, std::uint32_t, bool) {});
    }
  }
  void deliver(std::size_t which) {
    Mail m = mail[which];
    mail.erase(mail.begin() + static_cast<std::ptrdiff_t>(which));
    bool dead = m.to >= up || m.from >= up;
    bool parted = cut && (m.from == 2) != (m.to == 2);
    if (dead || parted)
      return;
    post->mail = &mail;
    views[static_cast<std::size_t>(m.to)].take(now, at(m.from), m.bytes);
  }
  void pass(double ms) {
    now += Duration(ms);
    post->mail = &mail;
    for (int i = 0; i < up; ++i)
      views[static_cast<std::size_t>(i)].tick(now);
  }
  bool agreed() const {
    for (int i = 0; i < up; ++i) {
      const MembershipView& v = views[static_cast<std::size_t>(i)];
      if (v.digest() != views[0].digest() || v.count(State::Suspect) > 0 ||
          v.count(State::Alive) + 1 != static_cast<std::size_t>(up))
        return false;
    }
    return true;
  }
  bool settles() {
    cut = false;
    for (int i = 0; i < 2000; ++i) {  // 100 s
      if (agreed())
        return true;
      pass(50);
      while (!mail.empty())
        deliver(0);
    }
    return false;
  }
};

#ifdef __OPTIMIZE__
constexpr int kDepth = 8;
#else
constexpr int kDepth = 5;
#endif
constexpr std::size_t kAhead = 3;  // of what is on the way, any of the first may come next

long explore(const Branch& from, int depth, bool crash) {
  if (depth == 0) {
    Branch end = from;
    if (!end.fault_done && crash)
      end.up = 2;
    REQUIRE(end.settles());
    return 1;
  }
  long leaves = 0;
  auto go = [&](auto change) {
    Branch next = from;
    change(next);
    leaves += explore(next, depth - 1, crash);
  };
  for (std::size_t i = 0; i < std::min(kAhead, from.mail.size()); ++i)
    go([i](Branch& b) { b.deliver(i); });
  if (!from.mail.empty() && from.lost < 1)
    go([](Branch& b) { b.mail.erase(b.mail.begin()), ++b.lost; });
  go([](Branch& b) { b.pass(350); });
  if (!from.fault_done) {
    go([crash](Branch& b) {
      b.fault_done = true;
      if (crash) {
        b.up = 2;
      } else {
        b.cut = true;
      }
    });
  }
  return leaves;
}

}  // namespace

TEST_CASE("after the last of any faults all that live agree, and no incarnation has fallen") {
  CHECK(rc::check([] {
    int n = 3 + *below(kMost - 2);
    Troubled t(n, *rc::gen::arbitrary<std::uint32_t>());
    auto all =
        *rc::gen::container<std::vector<Fault>>(static_cast<std::size_t>(*below(13)), faults());
    Time begun = t.w.now();
    for (const Fault& f : all)
      t.take(f);
    t.end_all();
    bool somebody = std::ranges::count(t.up, true) > 0;
    if (somebody)
      RC_ASSERT(t.w.until_agreed(4 * bound_ms(n)) < 4 * bound_ms(n));
    RC_ASSERT_FALSE(t.w.fell);
    RC_ASSERT(t.w.refused == 0);
    RC_ASSERT(t.w.longest <= 256);
    // However they fall, what one says in a period is bounded: a probe, three helpers, ten of news,
    // answers.
    double periods = (t.w.now() - begun) / Duration(1000) + 1;
    RC_ASSERT(double(t.w.sent) <= 40.0 * n * periods);
  }));
}

TEST_CASE(
    "three members settle after every order of their first events, with one crash or one cut among "
    "them") {
  auto post = std::make_shared<Branch::Post>();
  for (bool crash : {true, false}) {
    Branch root(post);
    for (int i = 0; i < 40; ++i) {
      root.pass(50);
      while (!root.mail.empty())
        root.deliver(0);
    }
    REQUIRE(root.agreed());
    for (int i = 0; i < 20 && root.mail.empty(); ++i)
      root.pass(50);  // somebody's probe is on the way
    long leaves = explore(root, kDepth, crash);
    WARN((crash ? "crash: " : "cut: ") << leaves << " orders of " << kDepth << " events");
    CHECK(leaves > 100);
  }
}

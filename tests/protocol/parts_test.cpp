// The parts that are pure: parser, messages, settings, slots and deadlines.
#include <catch2/catch.hpp>

#include "features/features.h"
#include "settings/settings_summary.h"
#include "testbed/stubs/cpu_starvation.h"
#include "tests/exchanges/player.h"

using namespace dispatcher;
using protocol::HttpError;
using protocol::Message;
using protocol::Parser;

namespace {

program::Config config(const std::string& json = testing::read_file(DISPATCHER_EXCHANGES
                                                                    "/config.json")) {
  return program::read_config(
      json, [](const char*) { return std::string(); }, transport::Duration(0));
}

int status_of(const std::string& bytes) {  // what the parser answers to a malformed request
  Parser p(Parser::Kind::Request);
  p.feed(bytes);
  try {
    while (p.next()) {
    }
  } catch (const HttpError& e) {
    return e.status;
  }
  return 0;
}

}  // namespace

TEST_CASE("a message is the same however its bytes are cut") {
  const std::string bytes =
      "POST /api?a=1 HTTP/1.1\r\nX-A: b\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: t\r\n\r\n"
      "GET /ready HTTP/1.0\r\n\r\n";
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    Parser p(Parser::Kind::Request);
    std::vector<Message> got;
    for (std::size_t at = 0; at < bytes.size(); at += cut) {
      p.feed(std::string_view(bytes).substr(at, cut));
      while (auto m = p.next())
        got.push_back(*m);
    }
    REQUIRE(got.size() == 2);
    CHECK(got[0].body == "abcde");
    CHECK(got[0].header("x-a") == "b");
    CHECK(got[0].keep_alive);
    CHECK(got[1].target == "/ready");
    CHECK_FALSE(got[1].keep_alive);
    CHECK(p.idle());
  }
}

TEST_CASE("malformed and oversized requests have their status") {
  CHECK(status_of("GET\r\n\r\n") == 400);
  CHECK(status_of("GET /a b HTTP/1.1\r\n\r\n") == 400);
  CHECK(status_of("GET / HTTP/2.0\r\n\r\n") == 505);
  CHECK(status_of("GET / HTTP/1.1\r\nno colon\r\n\r\n") == 400);
  CHECK(status_of("GET / HTTP/1.1\r\nA : b\r\n\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n") ==
        400);
  CHECK(status_of("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n") == 501);
  CHECK(status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n") == 400);
  CHECK(status_of("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n") == 413);
  CHECK(status_of("POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n") == 413);
  CHECK(status_of("GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a')) == 431);
  CHECK(status_of("GET / HTTP/1.1\r\n\r\n") == 0);
}

TEST_CASE("Connection is a list of words") {
  for (const char* value : {"close", "TE, Close", "close ,x"}) {
    Parser p(Parser::Kind::Request);
    p.feed("GET / HTTP/1.1\r\nConnection: " + std::string(value) + "\r\n\r\n");
    CHECK_FALSE(p.next()->keep_alive);
  }
  Parser p(Parser::Kind::Request);
  p.feed("GET / HTTP/1.0\r\nConnection: x, keep-alive\r\n\r\n");
  CHECK(p.next()->keep_alive);
}

TEST_CASE("a response without a length ends with its connection") {
  Parser p(Parser::Kind::Response);
  p.feed("HTTP/1.1 200 OK\r\n\r\nall of");
  CHECK_FALSE(p.next());
  p.feed(" it");
  CHECK_FALSE(p.next());
  auto m = p.at_end();
  REQUIRE(m);
  CHECK(m->body == "all of it");
}

TEST_CASE("the configuration fills the module's settings") {
  program::Config c = config();
  REQUIRE(c.settings.classes.size() == 2);
  CHECK(c.settings.classes[0].idempotency == scheduling::Idempotency::NonIdempotent);
  CHECK(c.settings.classes[0].objective_work_factor == 2.5);
  CHECK(c.settings.classes[1].deduplication_window == scheduling::Duration(15000));
  CHECK(c.settings.seed == 0x8c1f30d27a5be964);
  CHECK(c.words.columns.x0_is_free_slots);
  CHECK(c.words.tenants == std::vector<std::string>{"lanting, bento"});
  CHECK(c.conn_idle == scheduling::Duration(5000));
  REQUIRE(c.known);
  CHECK(c.known->entries.at(0).uid == "s-a");
}

TEST_CASE("a bad configuration is one line") {
  for (const char* bad :
       {"", "{", "[]", "{}", R"({"name":"n","listen":"a","discovery":"b","settings":{}})",
        R"({"settings":{"Lanes":[{"Name":"a"}]}})",
        R"({"name":"n","listen":"a","discovery":"b","settings":{"Lanes":[{"AimMs":"soon"}]}})"}) {
    try {
      config(bad);
      FAIL("accepted: " << bad);
    } catch (const std::runtime_error& e) {
      CHECK(std::string(e.what()).starts_with("configuration: "));
    }
  }
}

// A file that is half written, or that lacks something, must not be taken for one that means to
// leave it out.
TEST_CASE("a reload takes whole files that can be worked with, and nothing else") {
  std::string text = testing::read_file(DISPATCHER_EXCHANGES "/config.json");
  program::Config now = config(text);
  auto reload = [&](const std::string& file) {
    auto nothing = [](const char*) {
      return std::string();
    };
    return program::read_config(file, nothing, scheduling::Duration(0), program::Occasion::Reload,
                                now.file);
  };
  CHECK_NOTHROW(reload(text));
  for (std::size_t n = 0; n < text.find_last_of('}'); ++n)
    CHECK_THROWS_AS(reload(text.substr(0, n)), std::runtime_error);
  const std::string bad[][2] = {{R"("DeadlineMs": 5000.0)", R"("DeadlineMs": 0)"},
                                {R"("DeadlineMs": 5000.0)", R"("DeadlineMs": -1)"},
                                {R"("DeadlineMs": 5000.0)", R"("DeadlineMs": "5 s")"},
                                {R"("DeadlineMs": 5000.0)", R"("DeadlineMs": null)"},
                                {R"("DeadlineMs": 5000.0, )", ""},
                                {R"("DeadlineMs": 5000.0)", R"("DeadlineMs": 1e999)"},
                                {R"("MaxAttempts": 3)", R"("MaxAttempts": 0)"},
                                {R"("MaxAttempts": 3)", R"("MaxAttempts": -2)"},
                                {R"("MaxAttempts": 3)", R"("MaxAttempts": 0.5)"},
                                {R"("MaxAttempts": 3)", R"("MaxAttempts": true)"},
                                {R"("MaxAttempts": 3,)", ""},
                                {R"("Effect": "keyed")", R"("Effect": "often")"},
                                {R"("Name": "group-order")", R"("Name": "place-order")"},
                                {R"("discovery": "10.9.0.1:8500", )", ""},
                                {R"("limits")", R"("limit")"},
                                {R"("TipMultiple": 3.0)", R"("TipMultiple": -3.0)"},
                                {R"("Localities": ["room"])", R"("Localities": [])"},
                                {R"("Balancers": 1)", R"("Balancers": [1])"}};
  for (const auto& [was, is] : bad) {
    std::string file = text;
    REQUIRE(file.find(was) != std::string::npos);
    INFO(was << " as " << is);
    CHECK_THROWS_AS(reload(file.replace(file.find(was), was.size(), is)), std::runtime_error);
  }
}

TEST_CASE("classes, tenants, zones and kinds keep their numbers") {
  program::Config now = config();
  program::Config next = config();
  next.words.classes = {"new", "group-order"};
  next.words.tenants = {"b", "lanting, bento"};
  next.words.zones = {"other", "room"};
  next.words.kinds = {"big", "std"};
  next.settings.zone = 1;
  next.settings.tenant_quotas = {5, 7};
  next.settings.classes[0].deadline = scheduling::Duration(77);
  next.settings.classes[0].kind = 0;
  program::keep_numbers(now, next);
  CHECK(next.words.classes == std::vector<std::string>{"place-order", "group-order", "new"});
  CHECK(next.words.dropped == std::vector<bool>{true, false, false});
  CHECK(next.settings.classes[0].deadline == now.settings.classes[0].deadline);
  CHECK(next.settings.classes[2].deadline == scheduling::Duration(77));
  CHECK(next.words.deadlines[2] == scheduling::Duration(77));
  CHECK(next.settings.classes[2].kind == 1);
  CHECK(next.settings.zone == 0);
  CHECK(next.settings.tenant_quotas == std::vector<double>{7, 5});
}

// Guards against death by memory or descriptors: what clients may take leaves room for the rest.
TEST_CASE("descriptors are shared out within the limits") {
  program::Config c = config();
  program::Shares s = program::share_descriptors(c);
  CHECK(s.accepted + s.connected < 1000);
  CHECK(s.commands < s.accepted);
  CHECK(s.connected >= 150);
  c.memory_mb = 64;
  CHECK(program::share_descriptors(c).accepted == 256);
  c.most_open = 10;
  CHECK(program::share_descriptors(c).commands == 10);
}

// The scheduler takes a changed start for a restart: the same boot_ms must always give the same
// time.
TEST_CASE("a wall-clock start becomes a steady one") {
  protocol::IdentifierTables words = config().words;
  words.wall_to_steady = transport::Duration(-500);
  auto list =
      protocol::parse_endpoint_update(protocol::parse_json(R"({"rev":1,"all":true,"targets":[
        {"uid":"a","endpoint":"h:1","state":"up","boot_ms":1700},{"uid":"b","endpoint":"h:2","state":"asleep","boot_ms":0}]})"),
                                      words);
  CHECK(list.entries[0].entry.online_since == transport::Time(transport::Duration(1200)));
  CHECK_FALSE(list.entries[1].entry.online_since);
  CHECK(list.entries[1].entry.readiness == scheduling::Readiness::Draining);
}

TEST_CASE("a load report that makes no sense is dropped") {
  protocol::IdentifierTables words = config().words;
  auto slots = [&](const std::string& header) {
    Message m;
    m.status = 200;
    m.headers = {{"X-Backend-Load", header}};
    return protocol::parse_health_check_answer(m, words).report.free_slots;
  };
  CHECK(slots("TEXT fail_rate=0.1, q=2, x0=1.5") == 1.5);
  CHECK_FALSE(slots("TEXT x0=-1"));
  CHECK_FALSE(slots("TEXT x0=nan"));
  CHECK_FALSE(slots("TEXT x0=1.5, q"));
  CHECK_FALSE(slots("TEXT x0=1.5, q=1e300"));
  Message json;
  json.status = 200;
  json.body = R"({"x0":2,"q":0})";
  CHECK(protocol::parse_health_check_answer(json, words).report.free_slots == 2);
}

TEST_CASE("the hint is in microseconds") {
  Message m;
  m.headers = {{"X-Correlation-Id", "00000000000000a1"},
               {"X-Service-Class", "place-order"},
               {"X-Account", "lanting, bento"},
               {"X-Time-Left-Ms", "480"},
               {"X-Weight-Hint", "2500"},
               {"X-Facts", "slots=2, colour=3"}};
  auto c = protocol::parse_client_request(std::move(m), config().words);
  CHECK(c.request.cost_hint == scheduling::Duration(2.5));
  CHECK(c.request.tenant == 0);
  CHECK(c.request.slots == 2);
  CHECK(c.request.timeout == scheduling::Duration(480));
}

TEST_CASE("a slot's old number finds nothing") {
  transport::SlotTable<int> table(2);
  auto a = *table.insert(1);
  auto b = *table.insert(2);
  CHECK_FALSE(table.insert(3));
  table.erase(a);
  auto c = *table.insert(3);
  CHECK(c.slot == a.slot);
  CHECK_FALSE(table.find(a));
  CHECK(*table.find(b) == 2);
  CHECK(*table.find(c) == 3);
}

TEST_CASE("deadlines fire in order, and what a sweep adds waits for the next") {
  transport::Deadlines deadlines;
  transport::Time zero{};
  std::string fired;
  auto at = [&](double ms, char name) {
    return deadlines.add(zero + transport::Duration(ms), [&fired, name] { fired += name; });
  };
  at(2, 'b');
  at(1, 'a');
  auto dropped = at(1, 'x');
  deadlines.add(zero, [&] { at(0, 'n'); });
  deadlines.drop(dropped);
  deadlines.sweep(zero + transport::Duration(1));
  CHECK(fired == "a");
  deadlines.sweep(zero + transport::Duration(2));
  CHECK(fired == "anb");
  CHECK_FALSE(deadlines.next());
}

TEST_CASE("a storm of one kind of line is counted, not written") {
  testing::ManualClock clock;
  std::vector<std::string> lines;
  operations::Log log(clock, [&](const std::string& line) { lines.push_back(line); });
  for (int i = 0; i < 50; ++i)
    log.line("client", "400: two\nlines");
  CHECK(lines.size() == 20);
  CHECK(lines[0] == "client: 400: two?lines");
  log.line("names", "heard");
  CHECK(lines.size() == 21);
  clock.at += transport::Duration(10'000);
  log.line("client", "again");
  CHECK(lines[21] == "client: 30 more like this were left out");
}

TEST_CASE("a JSON line is one object that names whom it is about") {
  testing::ManualClock clock;
  std::string written;
  operations::Log log(
      clock, [&](const std::string& line) { written = "{" + line; }, operations::LogFormat::Json,
      "n\"3");
  log.line("fleet",
           "10.0.0.4:7946 is dead,\nsays 9b1f03aa5c7e2d41; not 9b1f03aa5c7e2d410 or 1.2.3.4");
  Json::Value one = protocol::parse_json(written);
  CHECK(one["name"] == "n\"3");
  CHECK(one["kind"] == "fleet");
  CHECK(one["text"].asString().find("dead,?says") != std::string::npos);
  REQUIRE(one["ids"].size() == 2);
  CHECK(one["ids"][0] == "10.0.0.4:7946");
  CHECK(one["ids"][1] == "9b1f03aa5c7e2d41");
}

TEST_CASE("a features file: every fault with its place, and nothing read by half") {
  using dispatcher::features::BadFeatures;
  using dispatcher::features::read_features;
  auto fault = [](const std::string& text) -> std::string {
    try {
      read_features(text, "f");
    } catch (const BadFeatures& e) {
      return e.what();
    }
    return "";
  };
  CHECK_FALSE(read_features("# nothing\n", "f").has_streaming());
  CHECK(read_features("streaming {}", "f").streaming().memory_ceiling_mb() == 24);
  CHECK(fault("streaming {\n  stall_ms: 1\n}") == "f:2:3: stall_ms must be from 100 to 3600000");
  CHECK(fault("streaming {\n window_kb: 9000\n memory_ceiling_mb: 1 }") ==
        "f:2:2: window_kb is more than all of memory_ceiling_mb");
  CHECK(fault("streaming {\n stal_ms: 1 }").starts_with("f:2:"));
  CHECK(fault("streaming {\n stall_ms: -1 }").starts_with("f:2:"));
  CHECK(fault("streaming { stall_ms: 500 stall_ms: 600 }").starts_with("f:1:"));
  CHECK(fault("streaming {").starts_with("f:1:"));
  CHECK(fault(std::string("\0\xff", 2)).starts_with("f:1:"));
  CHECK_THROWS_AS(dispatcher::features::read_features_file("/nowhere"), BadFeatures);
}

TEST_CASE("what settings permit is told, and each contradiction in them") {
  using namespace dispatcher::settings;
  using scheduling::Idempotency;
  scheduling::Settings s;
  scheduling::ClassSettings c;
  c.name = "book";
  c.idempotency = Idempotency::KeyedIdempotent;
  c.deduplication_scope = scheduling::DeduplicationScope::Zone;
  c.deduplication_window = scheduling::Duration(10000);
  c.deadline = scheduling::Duration(8000);
  c.latency_objective = scheduling::Duration(500);
  c.priority_weight = 10;
  s.classes = {c};
  s.max_attempts = 3;
  s.health_checks_allowed = s.cancellation_allowed = true;
  s.reports = scheduling::LoadReportMode::OnProbe;
  s.connect_timeout = scheduling::Duration(250);
  s.slow_start_duration = scheduling::Duration(9000);
  s.overload_multiple = 3;
  const Place place{1024, 192, false, false, 0, 0};
  REQUIRE(contradictions(s, place).empty());
  CHECK(describe(s, place).find("in its zone, 9498 ms from its first send") != std::string::npos);
  using Set = scheduling::Settings;
  auto none = scheduling::Duration(0);
  struct Row {
    const char* says;
    std::function<void(Set&, Place&)> change;
  };
  for (const Row& row : std::vector<Row>{
           {"too short for a repeat",
            [](Set&x, Place&) { x.classes[0].deduplication_window = scheduling::Duration(500); }},
           {"any time", [](Set&x, Place&) { x.connect_timeout.reset(); }},
           {"given up after", [](Set&x, Place&) { x.classes[0].latency_objective = scheduling::Duration(9000); }},
           {"worth more than one in time", [](Set&x, Place&) { x.classes[0].late_weight = 1.5; }},
           {"worth nothing", [](Set&x, Place&) { x.classes[0].priority_weight = 0; }},
           {"one attempt is all", [](Set&x, Place&) { x.max_attempts = 1, x.hedging_allowed = true; }},
           {"cannot be cancelled", [](Set&x, Place&) { x.cancellation_allowed = false, x.hedging_allowed = true; }},
           {"probes may not be sent", [](Set&x, Place&) { x.health_checks_allowed = false; }},
           {"none will get a job", [](Set&x, Place&) { x.overload_multiple = 0.5; }},
           {"count as warm at once", [&](Set&x, Place&) { x.slow_start_duration = none; }},
           {"must be asked for", [](Set&x, Place&) { x.watch_required = true; }},
           {"no addresses are given", [](Set&, Place&p) { p.peers_allowed = true; }},
           {"but 2 addresses", [](Set&, Place&p) { p.peers_allowed = p.listens = true, p.peers = 2; }},
           {"its own jobs alone",
            [](Set&x, Place&) { x.dispatchers = 2, x.reports = scheduling::LoadReportMode::Off; }},
           {"none will cross", [](Set&x, Place&) { x.cross_zone_price = 1; }}}) {
    Set changed = s;
    Place there = place;
    row.change(changed, there);
    auto found = contradictions(changed, there);
    INFO(row.says);
    REQUIRE(found.size() == 1);
    CHECK(found[0].find(row.says) != std::string::npos);
  }
}

// The testbed's verdicts stand on the clock: only a starved machine may have a broken run played
// again, and not for ever.
TEST_CASE(
    "testbed: a broken run counts, unless orders were late on a machine that had no time for "
    "them") {
  using testbed::judge, testbed::Judgement;
  for (double starved : {0.0, testbed::kStarved, 0.9}) {
    CHECK(judge({true, true, starved}, 1) == Judgement::Kept);
    CHECK(judge({false, true, starved}, 1) == Judgement::Broken);  // a rule
    CHECK(judge({false, false, starved}, 1) == Judgement::Broken);
  }
  CHECK(judge({true, false, 0}, 1) == Judgement::Broken);
  CHECK(judge({true, false, testbed::kStarved}, 1) == Judgement::Broken);
  CHECK(judge({true, false, 0.9}, 1) == Judgement::PlayAgain);
  CHECK(judge({true, false, 0.9}, testbed::kMostPlays) == Judgement::Broken);

  std::istringstream before("cpu  10 0 10 70 0 0 0 10 0 0\ncpu0 1 2 3");
  std::istringstream after("cpu  20 0 20 120 0 0 0 40 7 7\n");
  testbed::CoreTicks from = testbed::read_core_ticks(before);
  testbed::CoreTicks to = testbed::read_core_ticks(after);
  CHECK(testbed::stolen_part(from, to) == Approx(0.3));
  CHECK(testbed::stolen_part(to, to) == 0);
  std::istringstream none("");
  CHECK(testbed::read_core_ticks(none).all == 0);
}

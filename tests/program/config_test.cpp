// The configuration of the program.
#include "program/config.h"

#include <catch2/catch.hpp>

#include "tests/support/example_config.h"

using namespace dispatcher;
using testing::read_example;

TEST_CASE("the configuration fills the module's settings") {
  program::Config c = read_example();
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
      read_example(bad);
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
  program::Config now = read_example(text);
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
  program::Config now = read_example();
  program::Config next = read_example();
  next.words.classes = {"new", "group-order"};
  next.words.tenants = {"b", "lanting, bento"};
  next.words.zones = {"other", "room"};
  next.words.kinds = {"big", "std"};
  next.settings.zone = 1;
  next.settings.tenant_quotas = {5, 7};
  next.settings.classes[0].deadline = scheduling::Duration(77);
  next.settings.classes[0].kind = 0;
  program::keep_indexes(now, next);
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
  program::Config c = read_example();
  program::Shares s = program::share_descriptors(c);
  CHECK(s.accepted + s.connected < 1000);
  CHECK(s.commands < s.accepted);
  CHECK(s.connected >= 150);
  c.memory_mb = 64;
  CHECK(program::share_descriptors(c).accepted == 256);
  c.max_open_requests = 10;
  CHECK(program::share_descriptors(c).commands == 10);
}

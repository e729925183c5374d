// Which ids of ended requests the request table remembers.
#include "routing/request_table.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace dispatcher;
using routing::OpenRequest;
using routing::RequestTable;
using scheduling::RequestId;

namespace {

constexpr RequestId kFirstOther = 1000;
constexpr int kManyOthers = 10'000;
constexpr int kRememberedIds = 4096;

enum class End { NotSent, Rejected, Reported, Ran };

// A request is accepted and ends in that way.
void end_request(RequestTable& table, RequestId id, End end) {
  OpenRequest request;
  request.id = id;
  request.payload = std::make_shared<routing::RequestPayload>();
  if (end != End::NotSent) {
    request.attempts.push_back({.worker = "s-1",
                                .open = false,
                                .may_have_run = end == End::Ran,
                                .may_report = end == End::Reported});
  }
  auto ref = table.insert(std::move(request));
  REQUIRE(ref);
  table.mark_answered(*table.find(*ref));
  table.remove(*ref);
}

bool is_handed_over(const RequestTable& table, RequestId id) {
  return std::ranges::count(table.known_ids(), id) > 0;
}

}  // namespace

// Guards against a second run of a request whose id many rejected requests have displaced:
// docs/incidents/ids-displaced-by-rejected-requests.md.
TEST_CASE("requests that never began do not displace the ids of those that may have") {
  for (End end : {End::Reported, End::Ran}) {
    for (End others : {End::NotSent, End::Rejected}) {
      RequestTable table(4);
      end_request(table, 1, end);
      for (int i = 0; i < kManyOthers; ++i)
        end_request(table, kFirstOther + static_cast<unsigned>(i), others);
      CHECK(table.is_duplicate(1));
      CHECK(is_handed_over(table, 1));
      CHECK(table.known_ids().size() == 1);
      // The last ones are still known here, the first ones are not: the memory is bounded.
      CHECK(table.is_duplicate(kFirstOther + kManyOthers - 1));
      CHECK(table.is_duplicate(kFirstOther + kManyOthers - kRememberedIds));
      CHECK_FALSE(table.is_duplicate(kFirstOther + kManyOthers - kRememberedIds - 1));
    }
  }
}

TEST_CASE("the ids of requests that may have begun are bounded") {
  RequestTable table(4);
  for (int i = 0; i < kManyOthers; ++i)
    end_request(table, kFirstOther + static_cast<unsigned>(i), End::Ran);
  CHECK(table.known_ids().size() == kRememberedIds);
  CHECK(table.is_duplicate(kFirstOther + kManyOthers - kRememberedIds));
  CHECK_FALSE(table.is_duplicate(kFirstOther + kManyOthers - kRememberedIds - 1));
}

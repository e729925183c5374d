// How many pipelined messages of one connection are handled before others have their turn.
#include <string>

#include "tests/loopback/loopback.h"

using namespace dispatcher;

namespace {

constexpr int kMessages = 60;
constexpr int kMaxMessagesPerTurn = 8;  // four as input arrives, four as the rest is resumed
constexpr int kMaxTurns = 10 * kMessages;

struct ProgramWithOneClient final : testing::Loopback {
  ProgramWithOneClient() : Loopback(17) {
    start(example_config());
    connect_client(client);
  }
  bool serve_peers() override { return false; }

  testing::PeerSocket client;
};

// Rejected at its admission, as it has no time left.
std::string rejected_request(int number) {
  std::string id = std::to_string(100 + number);
  return "POST /api HTTP/1.1\r\nX-Correlation-Id: 0000000000000" + id +
         "\r\nX-Service-Class: place-order\r\nX-Account: lanting, bento\r\nX-Time-Left-Ms: 0\r\n"
         "Content-Length: 0\r\n\r\n";
}

int count_responses(const std::string& text) {
  int responses = 0;
  for (std::size_t at = text.find("HTTP/1.1 "); at != std::string::npos;
       at = text.find("HTTP/1.1 ", at + 1))
    ++responses;
  return responses;
}

}  // namespace

// Guards against a connection whose rejected requests take a whole turn of the loop, so that other
// clients wait: docs/incidents/rejected-requests-in-one-turn.md.
TEST_CASE("pipelined messages are handled a few per turn, rejected requests included",
          "[pipeline]") {
  for (bool rejected : {true, false}) {
    ProgramWithOneClient program;
    std::string messages;
    for (int i = 0; i < kMessages; ++i)
      messages += rejected ? rejected_request(i) : "GET /ready HTTP/1.1\r\n\r\n";
    program.client.send(messages);
    int answered = 0;
    for (int turn = 0; turn < kMaxTurns && answered < kMessages; ++turn) {
      program.loop.turn();
      std::string received = program.client.receive();
      int responses = count_responses(received);
      CHECK(responses <= kMaxMessagesPerTurn);
      CHECK((responses == 0 || received.starts_with("HTTP/1.1 503") == rejected));
      answered += responses;
    }
    CHECK(answered == kMessages);
  }
}

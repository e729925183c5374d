// The program between two other processes of the same dispatcher: it has taken over from one and
// has transferred ownership to another. The test plays the two others.
#pragma once

#include <sys/socket.h>

#include <filesystem>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "hot_restart/hot_restart.h"
#include "tests/hot_restart/outgoing_stub.h"
#include "tests/loopback/loopback.h"

namespace dispatcher::testing {

class MiddleProcess final : public Loopback {
 public:
  static constexpr const char* kWorker = "s-a";

  // `predecessor_ids`: of requests that are open or ended at the predecessor.
  explicit MiddleProcess(const std::vector<scheduling::RequestId>& predecessor_ids = {})
      : Loopback(15), folder_(make_folder()) {
    config_["known"]["targets"][0]["endpoint"] = worker.address();
    config_["known"]["targets"][0]["boot_ms"] = kWorkerStartedMs;
    start(config_);
    start_hot_restart();
    take_over(predecessor_ids);
    connect_busy_callback();
  }
  ~MiddleProcess() override {
    hot_restart_.reset();
    std::filesystem::remove_all(folder_);
  }

  // ---- The other processes ----

  // Starts the successor, which gets ownership.
  void hand_over() {
    successor.emplace(transport::connect_local(socket_path()));
    successor->send(hot_restart::make_hello(identity()));
    take(*successor, hot_restart::Message::kWelcome);
    successor->send(hot_restart::make_ready());
    transfer = take(*successor, hot_restart::Message::kOwnershipTransfer).ownership_transfer();
  }
  // Returns the next message, which must be of that kind, and discards released connections.
  hot_restart::Message take(LinkPeer& peer, hot_restart::Message::KindCase kind) {
    settle();
    std::optional<hot_restart::Message> message;
    do {
      message = peer.receive(transport::Duration(0));
      REQUIRE(message);
    } while (message->has_released_connection());
    REQUIRE(message->kind_case() == kind);
    return *message;
  }
  bool has_message(LinkPeer& peer) {
    settle();
    return peer.receive(transport::Duration(0)).has_value();
  }
  // Forwards a job event from `sender`. Returns whether it is to be reported again.
  bool forward(LinkPeer& sender, const std::string& event) {
    sender.send(hot_restart::make_job_event_forward(++last_number_, event));
    return take_receipt(sender).retry();
  }
  hot_restart::JobEventReceipt take_receipt(LinkPeer& peer) {
    return take(peer, hot_restart::Message::kJobEventReceipt).job_event_receipt();
  }
  // Takes a forwarded job event and acknowledges it.
  void acknowledge(LinkPeer& peer, const std::string& event) {
    hot_restart::Message forward = take(peer, hot_restart::Message::kJobEventForward);
    CHECK(forward.job_event_forward().body() == event);
    peer.send(hot_restart::make_job_event_receipt(forward.job_event_forward().number(), false));
    settle();
  }
  void end_predecessor() {
    predecessor.reset();
    settle();
  }

  // Reloads the configuration with another duration of the slow start.
  void reload_slow_start(double duration_ms) {
    config_["settings"]["Invariants"]["RampTimeMs"] = duration_ms;
    reload(config_);
  }
  // A call of an operator at another process.
  operations::CordonChange cordon_change(bool cordoned, const std::string& uid = kWorker) const {
    return {.worker = uid, .cordoned = cordoned, .time = clock.at};
  }
  // Discovery lists one more worker.
  void list_worker(const std::string& uid) {
    protocol::EndpointUpdate list{app->cordon_list().revision() + 1, true, {}};
    for (const auto& [listed_uid, listed] : app->cordon_list().listed())
      list.entries.push_back(listed);
    list.entries.push_back(list.entries.front());
    list.entries.back().uid = uid;
    app->inherit_endpoints(identifiers_offset(), list, false);
    settle();
  }
  void advance(double ms) {
    clock.at += transport::Duration(ms);
    settle();
  }

  // ---- Adopted requests ----

  // The predecessor hands over a request whose job the worker has accepted.
  hot_restart::Message adopt(scheduling::RequestId id, const std::string& job_class) {
    Listener front(host);
    std::size_t colon = front.address.find(':');
    sockaddr_in to = address_of(host, std::stoi(front.address.substr(colon + 1)));
    PeerSocket& client = clients.emplace_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(client.fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0);
    hot_restart::Message message;
    hot_restart::AdoptedRequest& adopted = *message.mutable_adopted_request();
    adopted.set_id(id);
    adopted.set_class_name(job_class);
    adopted.add_worker_uids(kWorker);
    adopted.set_expires_at((clock.at + transport::Duration(60'000)).time_since_epoch().count());
    adopted.mutable_connection();
    adopted.set_keep_alive(true);
    predecessor->send(message, front.accept());
    settle();
    return message;
  }
  static std::string job_event(const std::string& id, const std::string& state) {
    return R"({"id":")" + id + R"(","from":")" + kWorker + R"(","state":")" + state +
           R"(","result":"made"})";
  }
  // Ends the message that keeps busy_callback at this process with the rest of a job event.
  void end_busy_callback(const std::string& event) const {
    std::string rest = event.substr(1);
    std::array<char, 8> length{};
    std::snprintf(length.data(), length.size(), "%zx", rest.size());
    busy_callback.send(length.data() + ("\r\n" + rest) + "\r\n0\r\n\r\n");
  }

  // Advances the clock until the drain timeout of the graceful shutdown is over.
  void drain() {
    app->terminate();
    std::size_t open = app->adopted_requests().size() + app->router().open_requests();
    REQUIRE(open > 0);
    for (int step = 0; step < kMaxDrainSteps && !app->finished(); ++step) {
      advance(kDrainStepMs);
      if (app->adopted_requests().size() + app->router().open_requests() < open)
        return;
    }
  }

  std::optional<LinkPeer> predecessor;
  std::optional<LinkPeer> successor;
  hot_restart::OwnershipTransfer transfer;  // as received by the successor
  UniformWorker worker{host, "204 No Content"};
  std::list<PeerSocket> clients;  // of the adopted requests
  PeerSocket busy_callback;       // a worker's connection that stays at this process

 private:
  static constexpr double kWorkerStartedMs = 900;  // shortly before the program
  static constexpr double kDrainStepMs = 10;
  static constexpr int kMaxDrainSteps = 1000;

  scheduling::Duration identifiers_offset() const { return app->identifiers().wall_to_steady; }
  static std::string make_folder() {
    std::string pattern = "/tmp/dispatcher-middle-XXXXXX";
    REQUIRE(mkdtemp(pattern.data()));
    return pattern;
  }
  std::string socket_path() const { return folder_ + "/oatledge.sock"; }
  hot_restart::DispatcherIdentity identity() const { return {"n0", listen_address}; }

  void start_hot_restart() {
    int ends[2];
    REQUIRE(socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    transport::GlibError error;
    transport::ObjectPtr<GSocket> own(g_socket_new_from_fd(ends[0], error.out()));
    g_socket_set_blocking(own.get(), FALSE);
    predecessor.emplace(transport::ObjectPtr<GSocket>(g_socket_new_from_fd(ends[1], error.out())));
    hot_restart_.emplace(
        hot_restart::Options{.socket_path = socket_path(),
                             .identity = identity(),
                             .connection_limits = {64, 64},
                             .start_fleet_socket = [](const hot_restart::InheritedFleetState&) {},
                             .trace = nullptr},
        hot_restart::ProcessContext{loop.context(), *app, network, deadlines, clock, log});
    hot_restart_->start(hot_restart::OutgoingProcessContact{std::move(own), {}, std::nullopt});
  }
  void take_over(const std::vector<scheduling::RequestId>& predecessor_ids) {
    hot_restart::Message welcome;
    welcome.mutable_welcome();
    predecessor->send(welcome, network.listener().release());
    take(*predecessor, hot_restart::Message::kReady);
    hot_restart::Message ownership;
    for (scheduling::RequestId id : predecessor_ids)
      ownership.mutable_ownership_transfer()->add_request_ids(id);
    ownership.mutable_ownership_transfer()->set_accepted_connections(1);
    predecessor->send(ownership);
    settle();
    REQUIRE(app->healthy());
  }

  // Its message in the middle of a chunked body keeps the connection from being handed over.
  void connect_busy_callback() {
    connect_client(busy_callback);
    // The first request of a connection has to be complete within a shorter time.
    busy_callback.send("GET /ready HTTP/1.1\r\n\r\n");
    settle();
    REQUIRE(busy_callback.receive().starts_with("HTTP/1.1 200"));
    busy_callback.send("POST /_jobs/news HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n");
    settle();
  }

  bool serve_peers() override { return worker.serve(); }

  Json::Value config_ = example_config();
  std::string folder_;
  std::optional<hot_restart::HotRestart> hot_restart_;
  std::uint64_t last_number_ = 0;
};

}  // namespace dispatcher::testing

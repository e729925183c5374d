#include "udp_peers.h"

namespace oatledge::fleet {
namespace {

constexpr transport::Duration kSweep{1000};

}  // namespace

UdpPeers::UdpPeers(GMainContext* context, Options options, transport::Deadlines& deadlines,
                   const transport::Clock& clock, operations::Log& log, transport::Descriptor bound)
    : options_(std::move(options)),
      deadlines_(deadlines),
      clock_(clock),
      log_(log),
      loads_(options_.self, static_cast<int>(options_.peers.size())),
      socket_(bound ? transport::Datagrams(context, std::move(bound), hears())
                    : transport::Datagrams(context, options_.listen, hears())) {
  for (std::size_t i = 0; i < options_.peers.size(); ++i)
    if (static_cast<int>(i) != options_.self) senders_[options_.peers[i]] = i;
  sweep();
}

transport::Datagrams::Received UdpPeers::hears() {
  return [this](const std::string& from, std::string_view bytes) { received(from, bytes); };
}

void UdpPeers::speak(bool on) {
  speaks_ = on;
  socket_.listen(on);
}

void UdpPeers::list(const std::vector<std::string>& instances) {
  loads_.list(instances, [this](const std::string& instance, int jobs) { heard(instance, jobs); });
}

void UdpPeers::have(const std::string& instance, int jobs) {
  std::string message = speaks_ ? loads_.tell(instance, jobs) : std::string();
  if (message.empty()) return;
  for (int i : loads_.listeners(instance)) socket_.send(options_.peers[i], message);
}

void UdpPeers::received(const std::string& from, std::string_view bytes) {
  auto sender = senders_.find(from);
  auto changed = [this](const std::string& instance, int jobs) { heard(instance, jobs); };
  if (sender != senders_.end() && loads_.take(clock_.now(), sender->second, bytes, changed)) return;
  log_.line("peers", std::to_string(++dropped_) + " messages dropped, the latest of " +
                         std::to_string(bytes.size()) + " bytes from " + from);
}

void UdpPeers::sweep() {
  loads_.expire(clock_.now(), [this](const std::string& instance, int jobs) { heard(instance, jobs); });
  sweep_ = deadlines_.add(clock_.now() + kSweep, [this] { sweep(); });
}

void UdpPeers::heard(const std::string& instance, int jobs) {
  if (router_) router_->peers_have(instance, jobs);
}

}  // namespace oatledge::fleet

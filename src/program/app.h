// The wiring: one program out of the layers, over whatever network and clock it is given.
#pragma once

#include <set>

#include "../features/features.h"
#include "config.h"
#include "http_instances.h"
#include "http_names.h"
#include "udp_peers.h"

namespace oatledge::program {

struct Shares {  // of the descriptors
  std::size_t accepted, connected, commands;
};
Shares share_descriptors(const Config& config);

class App {
 public:
  // Features that are absent are off.
  App(Config config, const features::Features& features, transport::Network& network,
      transport::Deadlines& deadlines, const transport::Clock& clock, Log& log);

  transport::Acceptor& acceptor() { return front_; }
  void trace();  // from here on, a line in the log for each thing that happens to a command; before start()
  void talk_to(UdpPeers& peers);  // before start()
  void start();
  void reload(const Config& next);             // SIGHUP
  void reload_failed(const std::string& why);  // the same, where the file makes no sense
  void terminate();                            // SIGTERM
  bool finished() const { return finished_; }  // after terminate(): all that was taken is answered

 private:
  void tell_peers(const protocol::NameList& list);
  void names_changed(stagehinge::ListKind kind, const protocol::NameList& list);
  void drain();

  Config config_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  Log& log_;
  std::optional<Streaming> streaming_;
  HttpFront front_;
  HttpInstances instances_;
  HttpNames names_;
  routing::Router router_;
  UdpPeers* peers_ = nullptr;
  std::set<std::string> listed_;  // the instances on the list that are not gone, for the peers
  std::optional<transport::Time> terminated_;
  bool finished_ = false;
};

}  // namespace oatledge::program

#include "program/commands.h"

#include <cstdio>

#include "http/admin_client.h"
#include "settings/settings_summary.h"

namespace dispatcher::program {

void show_settings_summary(const Config& config) {
  settings::ProcessSettings process;
  process.sockets = config.sockets;
  process.memory_mb = config.memory_mb;
  process.max_open_requests = config.max_open_requests;
  process.peers_allowed = config.gossip_allowed;
  process.listens_for_peers = !config.peer_listen.empty();
  process.peers = config.peers.size();
  std::fputs(settings::describe(config.settings, process).c_str(), stdout);
  for (const std::string& warning : settings::find_contradictions(config.settings, process))
    std::fprintf(stderr, "warning: %s\n", warning.c_str());
}

void show_fleet(const std::string& admin_address, bool json) {
  std::string body = http::admin_get(admin_address, "/admin/fleet");
  if (json) {
    std::fputs(body.c_str(), stdout);
    return;
  }
  Json::Value fleet = protocol::parse_json(body);
  std::printf("%s  incarnation %u  digest %s\n", fleet["self"].asCString(),
              fleet["incarnation"].asUInt(), fleet["digest"].asCString());
  std::printf("%-21s  %-7s  %11s  %9s  %10s\n", "member", "state", "incarnation", "for",
              "round trip");
  for (const Json::Value& member : fleet["members"]) {
    std::printf("%-21s  %-7s  %11u  %7.1f s  ", member["member"].asCString(),
                member["state"].asCString(), member["incarnation"].asUInt(),
                member["for_ms"].asDouble() / 1000);
    if (member.isMember("round_trip_ms")) {
      std::printf("%7.1f ms\n", member["round_trip_ms"].asDouble());
    } else {
      std::printf("%10s\n", "-");
    }
  }
}

}  // namespace dispatcher::program

#include "program/commands.h"

#include <cstdio>

#include "http/admin_client.h"
#include "settings/settings_summary.h"

namespace dispatcher::program {

void show_permits(const Config& c) {
  settings::Place place;
  place.sockets = c.sockets;
  place.memory_mb = c.memory_mb;
  place.most_open = c.most_open;
  place.peers_allowed = c.may_talk;
  place.listens = !c.peer_listen.empty();
  place.peers = c.peers.size();
  std::fputs(settings::describe(c.settings, place).c_str(), stdout);
  for (const std::string& warning : settings::contradictions(c.settings, place))
    std::fprintf(stderr, "warning: %s\n", warning.c_str());
}

void show_fleet(const std::string& operators, bool json) {
  std::string body = http::ask(operators, "/admin/fleet");
  if (json) {
    std::fputs(body.c_str(), stdout);
    return;
  }
  Json::Value all = protocol::parse_json(body);
  std::printf("%s  incarnation %u  digest %s\n", all["self"].asCString(),
              all["incarnation"].asUInt(), all["digest"].asCString());
  std::printf("%-21s  %-7s  %11s  %9s  %10s\n", "member", "state", "incarnation", "for",
              "round trip");
  for (const Json::Value& m : all["members"]) {
    std::printf("%-21s  %-7s  %11u  %7.1f s  ", m["member"].asCString(), m["state"].asCString(),
                m["incarnation"].asUInt(), m["for_ms"].asDouble() / 1000);
    if (m.isMember("round_trip_ms")) {
      std::printf("%7.1f ms\n", m["round_trip_ms"].asDouble());
    } else {
      std::printf("%10s\n", "-");
    }
  }
}

}  // namespace dispatcher::program

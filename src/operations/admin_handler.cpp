#include "operations/admin_handler.h"

#include <optional>

namespace dispatcher::operations {
namespace {

using protocol::HttpError;

int hex(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

std::string unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    int high = i + 2 < text.size() ? hex(text[i + 1]) : -1;
    int low = high >= 0 ? hex(text[i + 2]) : -1;
    if (low < 0 || high * 16 + low < ' ')
      throw HttpError(400, "badly escaped");
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

void line(std::string& out, std::string_view name, std::uint64_t value) {
  out.append("dispatcher.").append(name).append("=").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string query_value(const std::string& target, const std::string& name) {
  std::optional<std::string> found;
  std::size_t mark = target.find('?');
  std::string_view query =
      mark == std::string::npos ? "" : std::string_view(target).substr(mark + 1);
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    std::size_t equals = std::min(pair.find('='), pair.size());
    if (unescape(pair.substr(0, equals)) != name)
      continue;
    if (found)
      throw HttpError(400, name + " is given twice");
    found = unescape(pair.substr(std::min(pair.size(), equals + 1)));
  }
  if (!found || found->empty())
    throw HttpError(400, name + " is missing");
  return *found;
}

Answer answer_call(const protocol::Message& call, AdminOperations& desk) try {
  std::string path = call.target.substr(0, call.target.find('?'));
  bool health = path == "/admin/health";
  bool stats = path == "/admin/stats";
  bool back = path == "/admin/uncordon";
  std::string view = path == "/admin/fleet" ? desk.fleet() : "";
  if (!health && !stats && !back && view.empty() && path != "/admin/cordon")
    return {404, "no such call"};
  if (call.method != (health || stats || !view.empty() ? "GET" : "POST"))
    return {405, "wrong method"};
  if (!view.empty())
    return {200, view};
  if (health)
    return desk.healthy() ? Answer{200, "ready"} : Answer{503, "not ready"};
  if (stats)
    return {200, desk.stats()};
  std::string id = query_value(call.target, "id");
  bool known = back ? desk.uncordon(id) : desk.cordon(id);
  return known ? Answer{200, "ok"} : Answer{404, "no such instance"};
} catch (const HttpError& e) {
  return {e.status, std::string(e.what()) + ""};
}

std::string write_stats(const Metrics& f, const std::vector<std::string>& classes,
                        const Gauges& now) {
  std::string out;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i].empty())
      continue;
    Ends ends = i < f.ends.size() ? f.ends[i] : Ends{};
    std::string of = "operations." + classes[i] + ".";
    line(out, of + "fulfilled", ends.fulfilled);
    line(out, of + "throttled", ends.throttled);
    line(out, of + "faulted", ends.faulted);
  }
  line(out, "relayed", f.relayed);
  line(out, "open_requests", now.open_requests);
  line(out, "registry_entries", now.registry_entries);
  line(out, "out_of_rotation", now.out_of_rotation);
  line(out, "cfg_accepted", f.cfg_accepted);
  line(out, "cfg_invalid", f.cfg_invalid);
  if (!now.fleet)
    return out;  // a page of the platform's has these and no more
  line(out, "fleet.alive", now.fleet->alive);
  line(out, "fleet.suspect", now.fleet->suspect);
  line(out, "fleet.dead", now.fleet->dead);
  line(out, "fleet.left", now.fleet->left);
  line(out, "fleet.changes", now.fleet->changes);
  line(out, "fleet.sent", now.fleet->sent);
  line(out, "fleet.dropped", now.fleet->dropped);
  return out;
}

}  // namespace dispatcher::operations

#include "operations/admin_handler.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace dispatcher::operations {
namespace {

using protocol::HttpError;

constexpr int kMinPrintableCharacter = ' ';

// Returns nullopt if the character is not a hexadecimal digit.
std::optional<int> hex_digit(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F')
    return digit - 'A' + 10;
  return std::nullopt;
}

// Decodes the two digits after a percent sign. Throws protocol::HttpError 400 if they are invalid
// or encode a control character.
char decode_percent_digits(std::string_view digits) {
  auto high = digits.size() == 2 ? hex_digit(digits[0]) : std::nullopt;
  auto low = high ? hex_digit(digits[1]) : std::nullopt;
  if (!low || *high * 16 + *low < kMinPrintableCharacter)
    throw HttpError(400, "badly escaped");
  return static_cast<char>(*high * 16 + *low);
}

std::string percent_decode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    out += decode_percent_digits(text.substr(i + 1, 2));
    i += 2;
  }
  return out;
}

enum class Call { Health, Stats, Fleet, Cordon, Uncordon };

// Returns nullopt for an unknown path.
std::optional<Call> find_call(std::string_view path) {
  if (path == "/admin/health")  // wire: /admin/health
    return Call::Health;
  if (path == "/admin/stats")  // wire: /admin/stats
    return Call::Stats;
  if (path == "/admin/fleet")  // wire: /admin/fleet
    return Call::Fleet;
  if (path == "/admin/cordon")  // wire: /admin/cordon
    return Call::Cordon;
  if (path == "/admin/uncordon")  // wire: /admin/uncordon
    return Call::Uncordon;
  return std::nullopt;
}

std::string_view method_of(Call call) {
  return call == Call::Cordon || call == Call::Uncordon ? "POST" : "GET";
}

AdminResponse execute(Call call, const std::string& target, AdminOperations& operations) {
  bool known = false;
  switch (call) {
    case Call::Health:
      return operations.healthy() ? AdminResponse{200, "ready"} : AdminResponse{503, "not ready"};
    case Call::Stats:
      return {200, operations.stats()};
    case Call::Fleet:
      return {200, operations.fleet()};
    case Call::Cordon:
      known = operations.cordon(query_parameter(target, "id"));  // wire: id
      break;
    case Call::Uncordon:
      known = operations.uncordon(query_parameter(target, "id"));  // wire: id
      break;
  }
  return known ? AdminResponse{200, "ok"} : AdminResponse{404, "no such instance"};
}

// wire: the names of all statistics begin with "dispatcher."
void write_line(std::string& out, std::string_view name, std::uint64_t value) {
  out.append("dispatcher.").append(name).append("=").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string query_parameter(const std::string& target, const std::string& name) {
  std::optional<std::string> found;
  std::size_t query_mark = target.find('?');
  std::string_view query;
  if (query_mark != std::string::npos)
    query = std::string_view(target).substr(query_mark + 1);
  while (!query.empty()) {
    std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    std::size_t equals = std::min(pair.find('='), pair.size());
    if (percent_decode(pair.substr(0, equals)) != name)
      continue;
    if (found)
      throw HttpError(400, name + " is given twice");
    found = percent_decode(pair.substr(std::min(pair.size(), equals + 1)));
  }
  if (!found || found->empty())
    throw HttpError(400, name + " is missing");
  return *found;
}

AdminResponse handle_admin_request(const protocol::Message& call, AdminOperations& operations) try {
  std::optional<Call> known = find_call(call.target.substr(0, call.target.find('?')));
  // Without a membership view, /admin/fleet does not exist.
  if (!known || (*known == Call::Fleet && operations.fleet().empty()))
    return {404, "no such call"};
  if (call.method != method_of(*known))
    return {405, "wrong method"};
  return execute(*known, call.target, operations);
} catch (const HttpError& e) {
  return {e.status, e.what()};
}

// wire: the names below are those of GET /admin/stats.
std::string write_stats(const Metrics& metrics, const std::vector<std::string>& classes,
                        const Gauges& gauges) {
  std::string out;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (classes[i].empty())
      continue;
    RequestCounts counts =
        i < metrics.counts_by_class.size() ? metrics.counts_by_class[i] : RequestCounts{};
    std::string prefix = "operations." + classes[i] + ".";
    write_line(out, prefix + "fulfilled", counts.fulfilled);
    write_line(out, prefix + "throttled", counts.throttled);
    write_line(out, prefix + "faulted", counts.faulted);
  }
  write_line(out, "relayed", metrics.relayed);
  write_line(out, "open_requests", gauges.open_requests);
  write_line(out, "registry_entries", gauges.registry_entries);
  write_line(out, "out_of_rotation", gauges.out_of_rotation);
  write_line(out, "cfg_accepted", metrics.cfg_accepted);
  write_line(out, "cfg_invalid", metrics.cfg_invalid);
  if (!gauges.fleet)
    return out;  // the platform's own set of statistics ends here
  write_line(out, "fleet.alive", gauges.fleet->alive);
  write_line(out, "fleet.suspect", gauges.fleet->suspect);
  write_line(out, "fleet.dead", gauges.fleet->dead);
  write_line(out, "fleet.left", gauges.fleet->left);
  write_line(out, "fleet.changes", gauges.fleet->changes);
  write_line(out, "fleet.sent", gauges.fleet->sent);
  write_line(out, "fleet.dropped", gauges.fleet->dropped);
  return out;
}

}  // namespace dispatcher::operations

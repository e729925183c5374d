#include "operations/admin_handler.h"

#include <algorithm>
#include <optional>
#include <string_view>

namespace dispatcher::operations {
namespace {

using protocol::HttpError;

constexpr int kFirstPrintable = ' ';

// Nothing where the character is no hexadecimal digit.
std::optional<int> hex_digit(char digit) {
  if (digit >= '0' && digit <= '9')
    return digit - '0';
  if (digit >= 'a' && digit <= 'f')
    return digit - 'a' + 10;
  if (digit >= 'A' && digit <= 'F')
    return digit - 'A' + 10;
  return std::nullopt;
}

// Decodes the two digits after a percent sign. Throws protocol::HttpError 400, also for a control
// character.
char unescape_digits(std::string_view digits) {
  auto high = digits.size() == 2 ? hex_digit(digits[0]) : std::nullopt;
  auto low = high ? hex_digit(digits[1]) : std::nullopt;
  if (!low || *high * 16 + *low < kFirstPrintable)
    throw HttpError(400, "badly escaped");
  return static_cast<char>(*high * 16 + *low);
}

std::string unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    out += unescape_digits(text.substr(i + 1, 2));
    i += 2;
  }
  return out;
}

enum class Call { Health, Stats, Fleet, Cordon, Uncordon };

// Nothing where there is no such call.
std::optional<Call> call_of(std::string_view path) {
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

Answer execute(Call call, const std::string& target, AdminOperations& operations) {
  bool known = false;
  switch (call) {
    case Call::Health:
      return operations.healthy() ? Answer{200, "ready"} : Answer{503, "not ready"};
    case Call::Stats:
      return {200, operations.stats()};
    case Call::Fleet:
      return {200, operations.fleet()};
    case Call::Cordon:
      known = operations.cordon(query_value(target, "id"));  // wire: id
      break;
    case Call::Uncordon:
      known = operations.uncordon(query_value(target, "id"));  // wire: id
      break;
  }
  return known ? Answer{200, "ok"} : Answer{404, "no such instance"};
}

// wire: all statistics names begin with dispatcher.
void write_line(std::string& out, std::string_view name, std::uint64_t value) {
  out.append("dispatcher.").append(name).append("=").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string query_value(const std::string& target, const std::string& name) {
  std::optional<std::string> found;
  std::size_t mark = target.find('?');
  std::string_view query;
  if (mark != std::string::npos)
    query = std::string_view(target).substr(mark + 1);
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

Answer handle_admin_request(const protocol::Message& call, AdminOperations& operations) try {
  std::optional<Call> known = call_of(call.target.substr(0, call.target.find('?')));
  // Without the membership view the call does not exist.
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
    Ends ends = i < metrics.ends.size() ? metrics.ends[i] : Ends{};
    std::string prefix = "operations." + classes[i] + ".";
    write_line(out, prefix + "fulfilled", ends.fulfilled);
    write_line(out, prefix + "throttled", ends.throttled);
    write_line(out, prefix + "faulted", ends.faulted);
  }
  write_line(out, "relayed", metrics.relayed);
  write_line(out, "open_requests", gauges.open_requests);
  write_line(out, "registry_entries", gauges.registry_entries);
  write_line(out, "out_of_rotation", gauges.out_of_rotation);
  write_line(out, "cfg_accepted", metrics.cfg_accepted);
  write_line(out, "cfg_invalid", metrics.cfg_invalid);
  if (!gauges.fleet)
    return out;  // the platform's own statistics have no more
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

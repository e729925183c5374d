#include "http/admin_client.h"

#include <gio/gio.h>

#include <stdexcept>

#include "protocol/http.h"
#include "transport/glib.h"

namespace dispatcher::http {
namespace {

[[noreturn]] void fail(const std::string& address, const transport::Error& error) {
  throw std::runtime_error(address + ": " + error.text());
}
constexpr std::size_t kMostBody = 4 << 20;  // the view of thousands of members

}  // namespace

std::string ask(const std::string& address, const std::string& target) {
  transport::Error error;
  transport::ObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), 5);
  transport::ObjectPtr<GSocketConnection> line(
      g_socket_client_connect_to_host(client.get(), address.c_str(), 0, nullptr, error.out()));
  if (!line)
    fail(address, error);
  GOutputStream* out = g_io_stream_get_output_stream(G_IO_STREAM(line.get()));
  GInputStream* in = g_io_stream_get_input_stream(G_IO_STREAM(line.get()));
  std::string call = "GET " + target + " HTTP/1.1\r\nHost: operators\r\nConnection: close\r\n\r\n";
  if (!g_output_stream_write_all(out, call.data(), call.size(), nullptr, nullptr, error.out()))
    fail(address, error);
  protocol::Parser parser(protocol::Parser::Kind::Response, kMostBody);
  char buffer[4096];
  for (;;) {
    if (auto answer = parser.next()) {
      if (answer->status != 200) {
        throw std::runtime_error(address + ": " + std::to_string(answer->status) + " " +
                                 answer->body);
      }
      return answer->body;
    }
    gssize n = g_input_stream_read(in, buffer, sizeof buffer, nullptr, error.out());
    if (n <= 0)
      fail(address, error);
    parser.feed({buffer, static_cast<std::size_t>(n)});
  }
}

}  // namespace dispatcher::http

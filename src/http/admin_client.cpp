#include "http/admin_client.h"

#include <gio/gio.h>

#include <array>
#include <stdexcept>

#include "protocol/http.h"
#include "transport/glib.h"

namespace dispatcher::http {
namespace {

constexpr guint kTimeoutSeconds = 5;
constexpr std::size_t kMaxAnswerBytes = 4 << 20;  // fits a view of thousands of members
constexpr std::size_t kReadBufferBytes = 4096;

[[noreturn]] void fail(const std::string& address, const transport::GlibError& error) {
  throw std::runtime_error(address + ": " + error.text());
}

protocol::Message read_answer(GInputStream* input, const std::string& address) {
  transport::GlibError error;
  protocol::Parser parser(protocol::Parser::Kind::Response, kMaxAnswerBytes);
  std::array<char, kReadBufferBytes> buffer{};
  for (;;) {
    if (std::optional<protocol::Message> answer = parser.next())
      return *answer;
    gssize count = g_input_stream_read(input, buffer.data(), buffer.size(), nullptr, error.out());
    if (count <= 0)
      fail(address, error);
    parser.feed({buffer.data(), static_cast<std::size_t>(count)});
  }
}

}  // namespace

std::string admin_get(const std::string& address, const std::string& target) {
  transport::GlibError error;
  transport::ObjectPtr<GSocketClient> client(g_socket_client_new());
  g_socket_client_set_timeout(client.get(), kTimeoutSeconds);
  transport::ObjectPtr<GSocketConnection> connection(
      g_socket_client_connect_to_host(client.get(), address.c_str(), 0, nullptr, error.out()));
  if (!connection)
    fail(address, error);
  GOutputStream* output = g_io_stream_get_output_stream(G_IO_STREAM(connection.get()));
  GInputStream* input = g_io_stream_get_input_stream(G_IO_STREAM(connection.get()));
  std::string call = "GET " + target + " HTTP/1.1\r\nHost: operators\r\nConnection: close\r\n\r\n";
  if (!g_output_stream_write_all(output, call.data(), call.size(), nullptr, nullptr, error.out()))
    fail(address, error);
  protocol::Message answer = read_answer(input, address);
  if (answer.status != 200)
    throw std::runtime_error(address + ": " + std::to_string(answer.status) + " " + answer.body);
  return answer.body;
}

}  // namespace dispatcher::http

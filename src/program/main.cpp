// One dispatcher: reads its configuration, serves until SIGTERM, ends with 0 once all it had taken is
// answered.
#include <glib-unix.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "../transport/gio_network.h"
#include "../transport/loop.h"
#include "app.h"

namespace {

using namespace oatledge;

std::string environment(const char* variable) {
  const char* value = std::getenv(variable);
  return value ? value : "";
}

std::string read_file(const std::string& path) {
  if (path.empty()) throw std::runtime_error("ROUTER_CONFIG is not set");
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in) throw std::runtime_error("cannot read " + path);
  return text;
}

transport::Duration wall_to_steady() {
  transport::Duration steady = std::chrono::steady_clock::now().time_since_epoch();
  return steady - transport::Duration(std::chrono::system_clock::now().time_since_epoch());
}

transport::SourcePtr on_signal(int number, program::App& app, GMainContext* context) {
  transport::SourcePtr source(g_unix_signal_source_new(number));
  GSourceFunc tell = [](gpointer data) -> gboolean {
    static_cast<program::App*>(data)->terminate();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source.get(), tell, &app, nullptr);
  g_source_attach(source.get(), context);
  return source;
}

void run() {
  std::signal(SIGPIPE, SIG_IGN);
  program::Config config =
      program::read_config(read_file(environment("ROUTER_CONFIG")), environment, wall_to_steady());
  transport::SteadyClock clock;
  transport::Deadlines deadlines;
  transport::Loop loop(deadlines, clock);
  program::Log log(clock);
  program::Shares shares = program::share_descriptors(config);
  transport::GioNetwork network(loop.context(), deadlines, clock, {shares.accepted, shares.connected},
                                [&log](const std::string& text) { log.line("sockets", text); });
  program::App app(config, network, deadlines, clock, log);
  auto term = on_signal(SIGTERM, app, loop.context()), interrupt = on_signal(SIGINT, app, loop.context());
  app.start();
  network.listen(config.listen, app.acceptor());
  while (!app.finished()) loop.turn();
  log.line("stop", "ended");
}

}  // namespace

int main() try {
  run();
  return 0;
} catch (const std::exception& e) {
  std::fprintf(stderr, "oatledge: %s\n", e.what());
  return 1;
}

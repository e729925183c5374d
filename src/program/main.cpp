// One dispatcher: reads its configuration, serves until SIGTERM, ends with 0 once all it had taken
// is answered.
#include <glib-unix.h>
#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include "fleet/key_file.h"
#include "http/admin_server.h"
#include "program/app.h"
#include "program/commands.h"
#include "program/hot_restart.h"
#include "transport/gio_network.h"
#include "transport/loop.h"

namespace {

using namespace dispatcher;

constexpr const char* kLocal =
    "/oatledge.sock";  // in $TMPDIR, which both processes of an upgrade share

std::string environment(const char* variable) {
  const char* value = std::getenv(variable);
  return value ? value : "";
}

std::string read_file(const std::string& path) {
  if (path.empty())
    throw std::runtime_error("ROUTER_CONFIG is not set");
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in)
    throw std::runtime_error("cannot read " + path);
  return text;
}

transport::Duration wall_to_steady() {
  transport::Duration steady = std::chrono::steady_clock::now().time_since_epoch();
  return steady - transport::Duration(std::chrono::system_clock::now().time_since_epoch());
}

// Higher at each start, without a disk; a clock that was put back costs one refutation.
std::uint32_t seconds_of_now() {
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

void mask_signal(int how, int number) {
  sigset_t one;
  sigemptyset(&one);
  sigaddset(&one, number);
  pthread_sigmask(how, &one, nullptr);
}

// `tell` must outlive the source.
transport::SourcePtr on_signal(int number, std::function<void()>& tell, GMainContext* context) {
  transport::SourcePtr source(g_unix_signal_source_new(number));
  GSourceFunc call = [](gpointer data) -> gboolean {
    (*static_cast<std::function<void()>*>(data))();
    return G_SOURCE_CONTINUE;
  };
  g_source_set_callback(source.get(), call, &tell, nullptr);
  g_source_attach(source.get(), context);
  return source;
}

// A key is exchanged while the program serves: docs/operations/fleet.md.
void exchange_keys(const features::Features& features, program::App& app,
                   operations::Log& log) try {
  if (!features.fleet().has_key_file() || !app.peers())
    return;
  app.peers()->exchange(fleet::read_keys_file(features.fleet().key_file()));
  log.line("keys", "read again");
} catch (const fleet::BadKeys& e) {
  log.line("keys", std::string("the old ones are kept: ") + e.what());
}

void run(const features::Features& features, bool trace, operations::LogFormat format) {
  std::signal(SIGPIPE, SIG_IGN);
  // Guards a configuration that changes while the program starts: a SIGHUP that comes after the
  // file has been read and before there is anything to reload waits until there is.
  mask_signal(SIG_BLOCK, SIGHUP);
  transport::Duration to_steady = wall_to_steady();
  auto read = [&](program::Occasion occasion, const Json::Value& in_force = {}) {
    return program::read_config(read_file(environment("ROUTER_CONFIG")), environment, to_steady,
                                occasion, in_force);
  };
  program::Config config = read(program::Occasion::Start);
  transport::SteadyClock clock;
  transport::Deadlines deadlines;
  transport::Loop loop(deadlines, clock);
  operations::Log log(clock, format, config.name);
  // Only who has an operators' address can be asked whether it has taken over.
  std::string folder = environment("TMPDIR");
  std::string local = config.ops.empty() || folder.empty() ? "" : folder + kLocal;
  const hot_restart::Who self{config.name, config.listen};
  std::optional<program::HotRestart::Found> found;
  if (!local.empty()) {
    try {
      found = program::HotRestart::ask(local, self, log);
    } catch (const std::runtime_error& e) {
      log.line("upgrade", std::string("no other process can take over: ") + e.what());
      local.clear();
    }
  }
  if (found && found->welcome) {
    to_steady = transport::Duration(found->welcome->wall_to_steady());
    config = read(program::Occasion::Start);
    config.known = program::HotRestart::list_of(*found->welcome, config.words);
  }
  program::Shares shares = program::share_descriptors(config);
  auto complain = [&log](const std::string& text) {
    log.line("sockets", text);
  };
  // Before the other one, so that GLib serves its sockets first in each turn.
  std::optional<transport::GioNetwork> operators;
  if (!config.ops.empty()) {
    operators.emplace(loop.context(), deadlines, clock,
                      transport::GioNetwork::Limits{shares.operators, 0}, complain);
  }
  transport::GioNetwork network(loop.context(), deadlines, clock,
                                {shares.accepted, shares.connected}, complain);
  loop.after_sockets([&network] { return network.serve_bulk(); });
  program::App app(config, features, network, deadlines, clock, log);
  std::function<void()> terminate = [&app] {
    app.terminate();
  };
  // Guards a serving program against a file that is half written or wrong: it goes on as it was.
  std::function<void()> reload = [&] {
    exchange_keys(features, app, log);
    try {
      app.reload(read(program::Occasion::Reload, app.in_force()));
    } catch (const std::exception& e) {
      app.reload_failed(e.what());
    }
  };
  auto term = on_signal(SIGTERM, terminate, loop.context());
  auto interrupt = on_signal(SIGINT, terminate, loop.context());
  auto hangup = on_signal(SIGHUP, reload, loop.context());
  mask_signal(SIG_UNBLOCK, SIGHUP);
  if (trace)
    app.trace();
  std::optional<fleet::FleetSocket> peers;
  auto talk = [&](program::Inherited from) {
    if (config.peer_listen.empty() || peers)
      return;
    try {
      fleet::FleetSocket::Options options;
      options.listen = config.peer_listen;
      options.peers = config.peers;
      options.self = config.settings.index;
      options.view = features.has_fleet();
      options.incarnation = from.incarnation ? from.incarnation : seconds_of_now();
      options.known = std::move(from.known);
      options.period = transport::Duration(features.fleet().period_ms());
      options.answer_in = transport::Duration(features.fleet().answer_ms());
      options.forget = std::chrono::seconds(features.fleet().forget_s());
      options.seeds.assign(features.fleet().seed().begin(), features.fleet().seed().end());
      options.advertise = features.fleet().advertise();
      options.to_wall = -to_steady;
      if (features.fleet().has_key_file())
        options.keys = fleet::read_keys_file(features.fleet().key_file());
      peers.emplace(loop.context(), std::move(options), deadlines, clock, log,
                    std::move(from.socket));
      app.talk_to(*peers);
    } catch (const std::runtime_error& e) {
      log.line("peers", std::string("serves on without news of the others: ") + e.what());
    }
  };
  if (local.empty())
    talk({});  // before the start: what it knows from the beginning is told
  std::optional<http::AdminServer> ops;
  if (operators) {
    ops.emplace(*operators, deadlines, clock, log, app);
    operators->listen(config.ops, *ops);
  }
  app.start();
  std::optional<program::HotRestart> upgrade;
  if (local.empty()) {
    network.listen(config.listen, app.acceptor(), !config.ops.empty());
  } else {
    upgrade.emplace(loop.context(),
                    program::HotRestart::Options{
                        local, self, shares, to_steady, config.settings.overload_window,
                        config.settings.slow_start_duration,
                        config.settings.retry_budget_window.value_or(transport::Duration(0)), talk},
                    app, network, deadlines, clock, log);
    upgrade->start(std::move(found));
  }
  while (!app.finished())
    loop.turn();
  log.line("stop", "ended");
}

}  // namespace

int main(int argc, char** argv) try {
  CLI::App line{"One order dispatcher; the platform's settings come with ROUTER_CONFIG."};
  std::string path;
  bool trace = false;
  line.add_option("--features", path, "the project's own settings, in protobuf text format")
      ->type_name("FILE");
  line.add_flag("--trace", trace,
                "log each thing that happens to a command (testbed/fleet_table.py reads it)");
  std::string format;
  line.add_option("--log-format", format,
                  "plain or json; goes before log.format of the features file")
      ->check(CLI::IsMember({"plain", "json"}));
  line.set_version_flag("--version", "oatledge " DISPATCHER_VERSION);
  std::string config_path;
  CLI::App* check =
      line.add_subcommand("check", "say what a file permits and what is wrong with it, and end");
  auto* files = check->add_option_group("files");
  files->add_option("--features", path, "a features file")->type_name("FILE");
  files->add_option("--config", config_path, "a configuration, as ROUTER_CONFIG names")
      ->type_name("FILE");
  files->require_option(1, 2);
  std::string ops;
  bool json = false;
  CLI::App* fleet =
      line.add_subcommand("fleet", "print who of the fleet a dispatcher holds to be there");
  fleet->add_option("--ops", ops, "its operators' address")->type_name("ADDRESS")->required();
  fleet->add_flag("--json", json, "as it gives it");
  double every = 0;
  fleet->add_option("--watch", every, "print it anew each so many seconds, until it cannot be had")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.1, 3600.0));
  unsigned key_id = 0;
  CLI::App* key =
      line.add_subcommand("key", "print a fresh key for a key file of the fleet, and end");
  key->add_option("--id", key_id, "its number in the file")->required()->check(CLI::Range(0, 255));
  CLI11_PARSE(line, argc, argv);
  features::Features features;
  if (!path.empty()) {
    try {
      features = features::read_features_file(path);
      // At a start, too: one that cannot be used must not leave a member open to strangers, or
      // alone.
      if (features.fleet().has_key_file())
        fleet::read_keys_file(features.fleet().key_file());
    } catch (const fleet::BadKeys& e) {
      std::fprintf(stderr, "%s\n", e.what());
      return 1;
    } catch (const features::BadFeatures& e) {  // lines of their own, as editors read them
      std::fprintf(stderr, "%s\n", e.what());
      return 1;
    }
  }
  if (!config_path.empty()) {
    program::show_permits(
        program::read_config(read_file(config_path), environment, transport::Duration(0)));
  }
  if (fleet->parsed())
    program::show_fleet(ops, json);
  while (fleet->parsed() && every > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(every));
    std::puts("");
    program::show_fleet(ops, json);
    std::fflush(stdout);
  }
  if (key->parsed())
    std::fputs(fleet::new_key(key_id).c_str(), stdout);
  if (!check->parsed() && !fleet->parsed() && !key->parsed()) {
    bool json_lines =
        format.empty() ? features.log().format() == features::Log::JSON : format == "json";
    run(features, trace, json_lines ? operations::LogFormat::Json : operations::LogFormat::Plain);
  }
  return 0;
} catch (const std::exception& e) {
  std::fprintf(stderr, "dispatcher: %s\n", e.what());
  return 1;
}

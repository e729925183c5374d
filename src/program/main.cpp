// One dispatcher: reads its configuration, serves until SIGTERM, ends with 0 once all it has
// accepted is answered. The subcommands check a configuration, print the fleet, or make a key.
#include <CLI/CLI.hpp>

#include <chrono>
#include <cstdio>
#include <thread>

#include "fleet/key_file.h"
#include "program/commands.h"
#include "program/dispatcher_process.h"

namespace {

using namespace dispatcher;

struct CommandLine {
  std::string features_path;
  std::string config_path;
  std::string admin_address;
  std::string log_format;  // empty: of the features file
  bool trace = false;
  bool fleet_as_json = false;
  double watch_interval_s = 0;  // 0: print the fleet once
  unsigned key_id = 0;
  CLI::App* check = nullptr;
  CLI::App* fleet = nullptr;
  CLI::App* key = nullptr;
};

void add_serve_options(CLI::App& parser, CommandLine& line) {
  parser
      .add_option("--features", line.features_path,
                  "the project's own settings, in protobuf text format")
      ->type_name("FILE");
  parser.add_flag("--trace", line.trace,
                  "log each event of a request (testbed/fleet_table.py reads it)");
  parser
      .add_option("--log-format", line.log_format,
                  "plain or json; goes before log.format of the features file")
      ->check(CLI::IsMember({"plain", "json"}));
  parser.set_version_flag("--version", "oatledge " DISPATCHER_VERSION);
}

void add_check_command(CLI::App& parser, CommandLine& line) {
  line.check =
      parser.add_subcommand("check", "say what a file permits and what is wrong with it, and end");
  auto* files = line.check->add_option_group("files");
  files->add_option("--features", line.features_path, "a features file")->type_name("FILE");
  files->add_option("--config", line.config_path, "a configuration, as ROUTER_CONFIG names")
      ->type_name("FILE");
  files->require_option(1, 2);
}

void add_fleet_command(CLI::App& parser, CommandLine& line) {
  line.fleet =
      parser.add_subcommand("fleet", "print who of the fleet a dispatcher holds to be there");
  line.fleet->add_option("--ops", line.admin_address, "its operators' address")
      ->type_name("ADDRESS")
      ->required();
  line.fleet->add_flag("--json", line.fleet_as_json, "as it gives it");
  line.fleet
      ->add_option("--watch", line.watch_interval_s,
                   "print it anew each so many seconds, until it cannot be had")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.1, 3600.0));
}

void add_key_command(CLI::App& parser, CommandLine& line) {
  line.key = parser.add_subcommand("key", "print a fresh key for a key file of the fleet, and end");
  line.key->add_option("--id", line.key_id, "its number in the file")
      ->required()
      ->check(CLI::Range(0, 255));
}

// Reads the key file, too: one that cannot be used must not leave a member open to strangers, or
// alone. Throws features::FeaturesError or fleet::KeyFileError.
features::Features read_features(const std::string& path) {
  if (path.empty())
    return {};
  features::Features features = features::read_features_file(path);
  if (features.fleet().has_key_file())
    fleet::read_keys_file(features.fleet().key_file());
  return features;
}

void print_fleet(const CommandLine& line) {
  program::show_fleet(line.admin_address, line.fleet_as_json);
  while (line.watch_interval_s > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(line.watch_interval_s));
    std::puts("");
    program::show_fleet(line.admin_address, line.fleet_as_json);
    std::fflush(stdout);
  }
}

void serve(const CommandLine& line, const features::Features& features) {
  bool json = line.log_format.empty() ? features.log().format() == features::Log::JSON
                                      : line.log_format == "json";
  program::prepare_signals();
  program::DispatcherProcess process(
      features, {.trace = line.trace,
                 .log_format = json ? operations::LogFormat::Json : operations::LogFormat::Plain});
  process.run();
}

void execute(const CommandLine& line) {
  features::Features features = read_features(line.features_path);
  if (!line.config_path.empty()) {
    program::show_settings_summary(
        program::read_config_file(line.config_path, program::environment, transport::Duration(0)));
  }
  if (line.fleet->parsed())
    print_fleet(line);
  if (line.key->parsed())
    std::fputs(fleet::new_key(line.key_id).c_str(), stdout);
  if (!line.check->parsed() && !line.fleet->parsed() && !line.key->parsed())
    serve(line, features);
}

}  // namespace

int main(int argc, char** argv) try {
  CLI::App parser{"One dispatcher; the platform's settings come with ROUTER_CONFIG."};
  CommandLine line;
  add_serve_options(parser, line);
  add_check_command(parser, line);
  add_fleet_command(parser, line);
  add_key_command(parser, line);
  CLI11_PARSE(parser, argc, argv);
  execute(line);
  return 0;
} catch (const fleet::KeyFileError& error) {  // its lines are complete, as editors read them
  std::fprintf(stderr, "%s\n", error.what());
  return 1;
} catch (const features::FeaturesError& error) {  // likewise
  std::fprintf(stderr, "%s\n", error.what());
  return 1;
} catch (const std::exception& error) {
  std::fprintf(stderr, "dispatcher: %s\n", error.what());
  return 1;
}

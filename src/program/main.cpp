// The dispatcher: reads its configuration, serves until SIGTERM, and exits with 0 once the graceful
// shutdown is complete. Subcommands check a configuration, print the fleet, or generate a key.
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
  std::string log_format;  // empty: as in the features file
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
                  "features file: the dispatcher's own settings, in protobuf text format")
      ->type_name("FILE");
  parser.add_flag("--trace", line.trace,
                  "log each event of a request (read by testbed/fleet_table.py)");
  parser
      .add_option("--log-format", line.log_format,
                  "plain or json; overrides log.format of the features file")
      ->check(CLI::IsMember({"plain", "json"}));
  parser.set_version_flag("--version", "oatledge " DISPATCHER_VERSION);
}

void add_check_command(CLI::App& parser, CommandLine& line) {
  line.check = parser.add_subcommand(
      "check", "check a features file or a configuration, print a summary, and exit");
  auto* files = line.check->add_option_group("files");
  files->add_option("--features", line.features_path, "the features file to check")
      ->type_name("FILE");
  files
      ->add_option("--config", line.config_path,
                   "the configuration to check, as named by ROUTER_CONFIG")
      ->type_name("FILE");
  files->require_option(1, 2);
}

void add_fleet_command(CLI::App& parser, CommandLine& line) {
  line.fleet =
      parser.add_subcommand("fleet", "print the members of the fleet as one dispatcher sees them");
  line.fleet->add_option("--ops", line.admin_address, "admin address of the dispatcher")
      ->type_name("ADDRESS")
      ->required();
  line.fleet->add_flag("--json", line.fleet_as_json, "print the dispatcher's JSON unchanged");
  line.fleet
      ->add_option("--watch", line.watch_interval_s,
                   "repeat at this interval until the dispatcher cannot be reached")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.1, 3600.0));
}

void add_key_command(CLI::App& parser, CommandLine& line) {
  line.key = parser.add_subcommand("key", "print a new key for the fleet's key file, and exit");
  line.key->add_option("--id", line.key_id, "id of the key in the file")
      ->required()
      ->check(CLI::Range(0, 255));
}

// Also reads the key file, so that the program does not start with an unusable one: the member
// would accept datagrams from any sender, or could not communicate with the fleet. Throws
// features::FeaturesError or fleet::KeyFileError.
features::Features read_features(const std::string& path) {
  if (path.empty())
    return {};
  features::Features features = features::read_features_file(path);
  if (features.fleet().has_key_file())
    fleet::read_key_file(features.fleet().key_file());
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
    std::fputs(fleet::generate_key(line.key_id).c_str(), stdout);
  if (!line.check->parsed() && !line.fleet->parsed() && !line.key->parsed())
    serve(line, features);
}

}  // namespace

int main(int argc, char** argv) try {
  CLI::App parser{
      "Dispatches requests to workers; the platform's settings are in the file named by "
      "ROUTER_CONFIG."};
  CommandLine line;
  add_serve_options(parser, line);
  add_check_command(parser, line);
  add_fleet_command(parser, line);
  add_key_command(parser, line);
  CLI11_PARSE(parser, argc, argv);
  execute(line);
  return 0;
} catch (const fleet::KeyFileError& error) {  // printed unchanged: FILE:LINE:COLUMN: REASON
  std::fprintf(stderr, "%s\n", error.what());
  return 1;
} catch (const features::FeaturesError& error) {  // likewise unchanged
  std::fprintf(stderr, "%s\n", error.what());
  return 1;
} catch (const std::exception& error) {
  std::fprintf(stderr, "dispatcher: %s\n", error.what());
  return 1;
}

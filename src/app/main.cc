// The sassafrasdeck binary: sub-commands that run a process and sub-commands
// for operators.

#include <curl/curl.h>
#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

#include "app/processes.h"
#include "base/log.h"
#include "gateway/gateway.h"
#include "load/load.h"
#include "operators/operators.h"
#include "platform/platform.h"

namespace {

using sassafras::Settings;
using sassafras::SheetOptions;

constexpr char kVersion[] = "0.1.0";

constexpr char kFooter[] =
    "Examples:\n"
    "  sassafrasdeck settings check data/heladeras.toml\n"
    "  sassafrasdeck entry --settings host.toml\n"
    "  sassafrasdeck control --settings host.toml\n"
    "  sassafrasdeck sheet check data/sheets/heladeras.csv --settings "
    "data/heladeras.toml\n"
    "  sassafrasdeck sheet load data/sheets/heladeras.csv --settings "
    "data/heladeras.toml --operator ana --wait\n"
    "  sassafrasdeck lookup --entry 127.0.1.1:7000 --service rounds --client "
    "10.1.2.3\n"
    "  sassafrasdeck state 127.0.1.1:7200 --part members\n"
    "  sassafrasdeck load --entry 127.0.1.1:7000 --service rounds --path "
    "/stock/1 --rate 100 --seconds 10\n"
    "Exit codes are listed in docs/OPERATIONS.md.";

// Reads the settings of a process. Prints their faults and returns nothing if
// there are any.
std::optional<Settings> ProcessSettings(const std::string& file) {
  auto reading = sassafras::ReadSettings(file);
  if (reading.errors.empty() && !reading.settings.host)
    reading.errors.push_back(
        {file, 1, 1, "deployment_file",
         "is missing: a process needs the settings file of a host"});
  for (const auto& it : reading.errors)
    std::cerr << it.ToString() << '\n';
  if (!reading.errors.empty())
    return std::nullopt;
  return std::move(reading.settings);
}

int RunProcess(const std::string& file, int (*run)(const Settings&)) {
  const auto settings = ProcessSettings(file);
  if (!settings)
    return sassafras::kExitBadSettings;
  sassafras::InitLog(settings->log_level);
  return run(*settings);
}

int RunGatewayCommand(std::string file) {
  // Until the gateway handles it: the platform may send it at any time, and the
  // default action ends the process.
  std::signal(SIGHUP, SIG_IGN);
  if (file.empty())
    file = sassafras::platform::SettingsPath();
  sassafras::InitLog(sassafras::LogLevel::kInfo);
  return sassafras::TryOr(
      [&]() -> sassafras::Result<int> {
        BOOST_LEAF_AUTO(settings, sassafras::platform::ReadSettings(file));
        return sassafras::RunGateway(settings, file);
      },
      [](const sassafras::Error& e) {
        std::cerr << e.ToString() << '\n';
        return int{sassafras::kExitBadSettings};
      });
}

// Options of all sheet commands.
void AddSheetOptions(CLI::App& command, SheetOptions& options) {
  command.add_option("--settings", options.settings_file, "Settings file")
      ->required();
  command.add_flag("--json", options.json, "Print the report as JSON");
}

struct LoadOptions {
  std::vector<std::string> entries;
  sassafras::LoadKind kind;
  sassafras::LoadPlan plan;
  int64_t seconds = 10;
  int64_t timeout_ms = 5000;
};

struct CommandLine {
  std::string settings_file;
  std::string entry;
  std::string service;
  std::string client;
  std::string address;
  std::string part;
  SheetOptions sheet;
  LoadOptions load;
  int64_t wait_seconds = 30;
  std::function<int()> run;
};

void AddProcesses(CLI::App& app, CommandLine& line) {
  CLI::App* entry =
      app.add_subcommand("entry", "Run the entry process of a host");
  entry->add_option("--settings", line.settings_file, "Host's settings file")
      ->required();
  entry->callback([&line] {
    line.run = [&line] {
      return RunProcess(line.settings_file, &sassafras::RunEntry);
    };
  });
  CLI::App* gateway = app.add_subcommand(
      "gateway",
      "Run the gateway, the only process of a host on the users' platform");
  gateway->add_option("--settings", line.settings_file,
                      "Settings file of the platform; by default "
                      "$SASSAFRASDECK_BOOT or /etc/sassafrasdeck/boot.conf");
  gateway->callback([&line] {
    line.run = [&line] { return RunGatewayCommand(line.settings_file); };
  });
  CLI::App* control =
      app.add_subcommand("control", "Run the control process of a host");
  control->add_option("--settings", line.settings_file, "Host's settings file")
      ->required();
  control->callback([&line] {
    line.run = [&line] {
      return RunProcess(line.settings_file, &sassafras::RunControl);
    };
  });
}

void AddQueries(CLI::App& app, CommandLine& line) {
  CLI::App* settings = app.add_subcommand("settings", "Check settings files");
  settings->require_subcommand(1);
  CLI::App* check = settings->add_subcommand("check", "Check a settings file");
  check->add_option("file", line.settings_file, "Settings file")->required();
  check->callback([&line] {
    line.run = [&line] {
      return sassafras::RunSettingsCheck(line.settings_file);
    };
  });
  CLI::App* lookup = app.add_subcommand(
      "lookup", "Show the look-up answer that a client would get");
  lookup->add_option("--entry", line.entry, "Caller address of an entry host")
      ->required();
  lookup->add_option("--service", line.service, "Service")->required();
  lookup->add_option("--client", line.client, "IPv4 address of the client")
      ->required();
  lookup->callback([&line] {
    line.run = [&line] {
      return sassafras::RunLookup(line.entry, line.service, line.client);
    };
  });
  CLI::App* state = app.add_subcommand("state", "Show the state of a process");
  state->add_option("address", line.address, "Operator address of the process")
      ->required();
  state->add_option("--part", line.part, "Show only this part");
  state->callback([&line] {
    line.run = [&line] { return sassafras::RunState(line.address, line.part); };
  });
}

int RunLoadCommand(LoadOptions& options) {
  for (const std::string& it : options.entries) {
    const auto address = sassafras::Address::Parse(it);
    if (!address) {
      std::cerr << "--entry: '" << it << "' is not an address (IP:PORT)\n";
      return sassafras::kExitUsage;
    }
    options.plan.entries.push_back(*address);
  }
  options.kind.name = options.kind.service;
  options.kind.timeout = std::chrono::milliseconds(options.timeout_ms);
  options.plan.kinds = {options.kind};
  options.plan.duration = std::chrono::seconds(options.seconds);
  sassafras::Loop loop;
  const auto rows = sassafras::RunLoad(loop, options.plan, [](const auto&) {});
  std::cout << sassafras::LoadTable(rows);
  return sassafras::kExitOk;
}

void AddLoad(CLI::App& app, LoadOptions& options, CommandLine& line) {
  CLI::App* load = app.add_subcommand(
      "load", "Send calls at a fixed rate for a limited time");
  load->add_option("--entry", options.entries,
                   "Caller addresses of entry hosts")
      ->required();
  load->add_option("--service", options.kind.service, "Service")->required();
  load->add_option("--path", options.kind.path, "Path within the service")
      ->required();
  load->add_option("--method", options.kind.method, "HTTP method");
  load->add_option("--body-bytes", options.kind.body_bytes,
                   "Body size in bytes")
      ->check(CLI::Range(0, 1 << 30));
  load->add_flag("--keys", options.kind.with_key, "Send idempotency keys");
  load->add_option("--rate", options.kind.requests_per_second,
                   "Calls per second")
      ->check(CLI::Range(0.1, 100000.0));
  load->add_option("--seconds", options.seconds, "Duration in seconds")
      ->check(CLI::Range(1, 3600));
  load->add_option("--timeout-ms", options.timeout_ms,
                   "Timeout of a call in milliseconds")
      ->check(CLI::Range(1, 600000));
  load->add_option("--seed", options.plan.seed,
                   "Seed of the random number generator");
  load->callback([&line, &options] {
    line.run = [&options] { return RunLoadCommand(options); };
  });
}

void AddSheetCommands(CLI::App& app, CommandLine& line) {
  CLI::App* sheet =
      app.add_subcommand("sheet", "Check or load a sheet, or show its status");
  sheet->require_subcommand(1);
  CLI::App* check = sheet->add_subcommand(
      "check", "Check which rows of a sheet are accepted");
  check->add_option("file", line.sheet.sheet_file, "CSV file")->required();
  AddSheetOptions(*check, line.sheet);
  check->callback([&line] {
    line.run = [&line] { return sassafras::RunSheetCheck(line.sheet); };
  });
  CLI::App* load =
      sheet->add_subcommand("load", "Load a sheet as the new intent");
  load->add_option("file", line.sheet.sheet_file, "CSV file")->required();
  load->add_option("--operator", line.sheet.operator_name,
                   "Name of the operator who loads it")
      ->required();
  load->add_option("--load-id", line.sheet.load_id,
                   "Id of an earlier load whose outcome is unknown");
  load->add_flag("--wait", line.sheet.wait,
                 "Wait until the version is in force on every host");
  load->add_option("--wait-seconds", line.wait_seconds,
                   "Longest wait in seconds")
      ->check(CLI::Range(1, 3600));
  AddSheetOptions(*load, line.sheet);
  load->callback([&line] {
    line.run = [&line] {
      line.sheet.wait_time = std::chrono::seconds(line.wait_seconds);
      return sassafras::RunSheetLoad(line.sheet);
    };
  });
  CLI::App* status = sheet->add_subcommand(
      "status", "Show which version is in force on each host");
  AddSheetOptions(*status, line.sheet);
  status->callback([&line] {
    line.run = [&line] { return sassafras::RunSheetStatus(line.sheet); };
  });
}

}  // namespace

int main(int argc, char** argv) {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  CLI::App app("Global traffic steering by declared intents.", "sassafrasdeck");
  app.set_version_flag("--version", kVersion);
  app.footer(kFooter);
  app.require_subcommand(1);
  CommandLine line;
  AddProcesses(app, line);
  AddQueries(app, line);
  AddSheetCommands(app, line);
  AddLoad(app, line.load, line);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    const int code = app.exit(e);
    return code == 0 ? sassafras::kExitOk : sassafras::kExitUsage;
  }
  return line.run();
}

#include "tarragonsill/cli/tarragonsill_cli.hpp"

#include "tarragonsill/state/tarragonsill_node_settings.hpp"

#include <CLI/CLI.hpp>

namespace {

using namespace tarragonsill;

/// The parsed command line.
struct Arguments
{
  std::string mFile;
  std::string mName;
  std::string mService;
  std::string mFlow;
  std::string mProtocol = "tcp";
  std::string mEntry;
  std::vector<std::string> mEntries;
  PlatformOptions mPlatform;
  bool mJson = false;
  NodeOptions mNode;
};

void
AddPlatformOptions(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand
    .add_option("--platform",
                aArguments.mPlatform.mAddress,
                "ADDRESS:PORT of the platform's object API")
    ->required();
  aCommand.add_flag(
    "--json", aArguments.mPlatform.mJson, "Print one JSON object");
}

void
AddDeploymentOption(CLI::App& aCommand, Arguments& aArguments)
{
  aCommand
    .add_option("--deployment",
                aArguments.mPlatform.mDeployment,
                "Name of the deployment to change")
    ->required();
}

void
AddFileCommands(CLI::App& aApp, Arguments& aArguments, int& aStatus)
{
  auto* entry = aApp.add_subcommand("entry", "Run an entry VM");
  entry->add_option("--settings", aArguments.mFile, "Settings file (YAML)")
    ->required();
  entry->callback([&] { aStatus = RunEntry(aArguments.mFile); });

  auto* node =
    aApp.add_subcommand("node", "Run an entry VM on the operators' platform");
  node->add_option("--settings",
                   aArguments.mFile,
                   "Settings file (TOML); default: the file that the "
                   "environment names");
  node->add_option("--metrics-port",
                   aArguments.mNode.mMetricsPort,
                   "Port of the metrics page; overrides the settings");
  node
    ->add_option("--hedge-share",
                 aArguments.mNode.mMaxHedgeShare,
                 "Max share of opening packets of repeatable requests that are "
                 "offered to a second upstream when they are late; applies if "
                 "the settings have no hedging.maxShare; default: 0 (off)")
    ->check(CLI::Range(0.0, kMaxHedgeShareLimit));
  node
    ->add_option(
      "--without",
      aArguments.mNode.mWithout,
      "Mechanisms to switch off, to rule them out as the cause of a problem")
    ->delimiter(',');
  node->callback(
    [&] { aStatus = RunNode(aArguments.mFile, aArguments.mNode); });

  auto* check = aApp.add_subcommand(
    "check", "Check a configuration or settings file; exits with 0, 1 or 2");
  check
    ->add_option("FILE",
                 aArguments.mFile,
                 "The file (YAML), or a VM's settings on the platform (.toml)")
    ->required();
  check->add_flag("--json", aArguments.mJson, "Print one JSON object");
  check->callback(
    [&] { aStatus = CheckFile(aArguments.mFile, aArguments.mJson); });

  auto* apply = aApp.add_subcommand("apply", "Apply a configuration");
  apply->add_option("FILE", aArguments.mFile, "The file (YAML)")->required();
  AddPlatformOptions(*apply, aArguments);
  apply->callback(
    [&] { aStatus = ApplyFile(aArguments.mFile, aArguments.mPlatform); });
}

void
AddChangeCommands(CLI::App& aApp, Arguments& aArguments, int& aStatus)
{
  auto* zone =
    aApp.add_subcommand("zone", "Take a zone out of service or put it back");
  zone->require_subcommand(1);
  auto* upstream =
    aApp.add_subcommand("upstream", "Drain an upstream or end its draining");
  upstream->require_subcommand(1);
  auto const add = [&](CLI::App* aParent,
                       char const* aName,
                       char const* aHelp,
                       std::function<void()> aRun) {
    auto* command = aParent->add_subcommand(aName, aHelp);
    command->add_option("NAME", aArguments.mName, "Name")->required();
    AddPlatformOptions(*command, aArguments);
    AddDeploymentOption(*command, aArguments);
    command->callback(std::move(aRun));
  };
  add(zone, "out", "Take the zone out of service", [&] {
    aStatus = SetZone(aArguments.mName, ZoneState::Out, aArguments.mPlatform);
  });
  add(zone, "in", "Put the zone back into service", [&] {
    aStatus = SetZone(aArguments.mName, ZoneState::In, aArguments.mPlatform);
  });
  add(upstream, "drain", "Admit no new work to the upstream", [&] {
    aStatus = SetUpstream(
      aArguments.mName, UpstreamAdminState::Draining, aArguments.mPlatform);
  });
  add(upstream, "serve", "Admit new work to the upstream again", [&] {
    aStatus = SetUpstream(
      aArguments.mName, UpstreamAdminState::Serving, aArguments.mPlatform);
  });
}

void
AddShowCommands(CLI::App& aApp, Arguments& aArguments, int& aStatus)
{
  auto* status =
    aApp.add_subcommand("status", "Show entry VMs, services and upstreams");
  status
    ->add_option("--entry",
                 aArguments.mEntries,
                 "Metrics ADDRESS:PORT of an entry VM; may be repeated")
    ->required();
  status->add_flag("--json", aArguments.mJson, "Print one JSON array");
  status->callback(
    [&] { aStatus = ShowStatus(aArguments.mEntries, aArguments.mJson); });

  auto* explain =
    aApp.add_subcommand("explain", "Explain the steering decision for a flow");
  explain
    ->add_option(
      "--entry", aArguments.mEntry, "Metrics ADDRESS:PORT of an entry VM")
    ->required();
  explain->add_option("--service", aArguments.mService, "Service")->required();
  explain->add_option("--flow", aArguments.mFlow, "Caller's ADDRESS:PORT")
    ->required();
  explain->add_option("--protocol", aArguments.mProtocol, "tcp or udp")
    ->check(CLI::IsMember({ "tcp", "udp" }));
  explain->add_flag("--json", aArguments.mJson, "Print one JSON object");
  explain->callback([&] {
    aStatus = ExplainFlow(aArguments.mEntry,
                          aArguments.mService,
                          aArguments.mFlow,
                          aArguments.mProtocol,
                          aArguments.mJson);
  });
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app("tarragonsill, a layer-4 load balancer", "tarragonsill");
  app.require_subcommand(1);
  Arguments arguments;
  int status = ExitStatus::kOk;
  AddFileCommands(app, arguments, status);
  AddChangeCommands(app, arguments, status);
  AddShowCommands(app, arguments, status);
  try {
    app.parse(aCount, aValues);
  } catch (CLI::ParseError const& error) {
    // CLI11 throws, also for --help; convert the exception to an exit status.
    return app.exit(error) == 0 ? ExitStatus::kOk : ExitStatus::kFailure;
  }
  return status;
}

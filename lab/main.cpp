#include "platform/tarragonsill_lab_soak.hpp"
#include "tarragonsill_lab_run.hpp"

#include <filesystem>
#include <iostream>

#include <CLI/CLI.hpp>
#include <unistd.h>

namespace {

using namespace tarragonsill;

constexpr int kGuaranteeViolated = 1;
constexpr int kRunFailed = 2;

/// Creates a temporary directory for the settings and logs of a run.
std::string
MakeTemporaryDirectory()
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "tarragonsill-lab-XXXXXX")
      .string();
  return ::mkdtemp(pattern.data()) == nullptr ? std::string() : pattern;
}

int
Run(Lab::RunOptions aOptions,
    std::vector<std::string> const& aEvents,
    bool aJson)
{
  for (auto const& text : aEvents) {
    auto const event = Lab::ParseEvent(text);
    if (!event) {
      std::cerr << event.LastReason().mText << '\n';
      return kRunFailed;
    }
    aOptions.mEvents.push_back(*event);
  }
  auto const self = std::filesystem::read_symlink("/proc/self/exe");
  aOptions.mProgram = (self.parent_path() / "tarragonsill").string();
  bool const ownDirectory = aOptions.mDirectory.empty();
  if (ownDirectory) {
    aOptions.mDirectory = MakeTemporaryDirectory();
  }
  std::error_code failure;
  std::filesystem::create_directories(aOptions.mDirectory, failure);
  if (failure) {
    std::cerr << "--directory " << aOptions.mDirectory
              << ": cannot create the directory: " << failure.message() << '\n';
    return kRunFailed;
  }
  auto const report = Lab::ExecuteRun(aOptions);
  if (ownDirectory) {
    std::error_code ignored;
    std::filesystem::remove_all(aOptions.mDirectory, ignored);
  }
  if (!report) {
    std::cerr << report.LastReason().mText << '\n';
    return kRunFailed;
  }
  for (auto const& broken : report->mFlows.mBrokenFlows) {
    std::cerr << "broken flow: " << broken << '\n';
  }
  std::cout << (aJson ? report->ToJson() + "\n" : report->ToTable());
  return report->GuaranteesHeld() ? 0 : kGuaranteeViolated;
}

int
Soak(Lab::SoakOptions aOptions, std::string const& aKeep)
{
  auto const self = std::filesystem::read_symlink("/proc/self/exe");
  aOptions.mProgram = (self.parent_path() / "tarragonsill").string();
  aOptions.mDirectory = aKeep.empty() ? MakeTemporaryDirectory() : aKeep;
  std::error_code ignored;
  std::filesystem::create_directories(aOptions.mDirectory, ignored);
  auto const report = Lab::RunSoak(aOptions);
  if (!report) {
    std::cerr << report.LastReason().mText << '\n';
    return kRunFailed;
  }
  std::cout << "seed " << aOptions.mSeed << ": " << report->ToText();
  bool const hasViolations = !report->mViolations.empty();
  auto const missingEvidence = report->FindMissingEvidence();
  if (hasViolations || missingEvidence) {
    std::cout << "events and logs: " << aOptions.mDirectory << '\n';
  } else if (aKeep.empty()) {
    std::filesystem::remove_all(aOptions.mDirectory, ignored);
  }
  if (missingEvidence && !hasViolations) {
    std::cerr << *missingEvidence << '\n';
    return kRunFailed;
  }
  return hasViolations ? kGuaranteeViolated : 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app(
    "tarragonsill-lab, runs entry VMs with stand-ins for callers, upstreams, "
    "the fabric and the platform",
    "tarragonsill-lab");
  app.require_subcommand(1);
  Lab::RunOptions options;
  std::vector<std::string> events;
  bool json = false;
  auto* run = app.add_subcommand(
    "run",
    "Run entry VMs; exits with 0, 1 (a guarantee was violated) or 2 (error)");
  run->add_option("--deployment", options.mDeployment, "reykjavik or amman");
  run->add_option("--entries", options.mEntries, "Number of entry VMs")
    ->check(CLI::Range(1, 40));
  run->add_option("--seconds", options.mSeconds, "Duration of the run")
    ->check(CLI::Range(1, 600));
  run->add_option("--seed", options.mSeed, "Seed of all random choices");
  run->add_option("--flows", options.mFlows, "Number of flows")
    ->check(CLI::Range(1, 200000));
  run->add_option("--rate", options.mRate, "Calls per second");
  run->add_option("--loss", options.mLoss, "Probability that a packet is lost");
  run->add_option("--duplicate",
                  options.mDuplicate,
                  "Probability that a packet is sent twice");
  run->add_option(
    "--reorder", options.mReorder, "Probability that a packet is delayed");
  run->add_option("--event", events, "NAME[:ARGUMENT]@SECOND; repeatable");
  run->add_option("--directory",
                  options.mDirectory,
                  "Directory that keeps settings and logs");
  run->add_option(
    "--log-level", options.mLogLevel, "Log level of the entry VMs");
  run
    ->add_option("--network",
                 options.mNetwork.mNumber,
                 "N of the loopback network 127.N.0.0/16")
    ->check(CLI::Range(0, 254));
  run->add_flag("--json", json, "Print the report as one line of JSON");
  run->add_flag("--verbose", options.mVerbose, "Print the events");
  Lab::SoakOptions soakOptions;
  std::string keep;
  auto* soak = app.add_subcommand(
    "soak",
    "Inject random faults into VM processes; exits with 0, 1 (a guarantee was "
    "violated) or 2 (error, or nothing was checked)");
  soak->add_option("--seed", soakOptions.mSeed, "Seed of the faults");
  soak->add_option("--seconds", soakOptions.mSeconds, "Duration of the soak")
    ->check(CLI::Range(10, 600));
  soak->add_option("--entries", soakOptions.mEntries, "Number of entry VMs")
    ->check(CLI::Range(2, 250));
  soak
    ->add_option(
      "--network",
      soakOptions.mNetwork.mNumber,
      "Number of the loopback networks; concurrent runs need different ones")
    ->check(CLI::Range(0, 50));
  soak->add_option(
    "--keep", keep, "Directory that keeps settings, events and logs");
  soak
    ->add_option(
      "--mutant",
      soakOptions.mMutant,
      "Inject a defect that a check must detect: stale-vm, false-reset, "
      "no-restart, no-era")
    ->transform(CLI::CheckedTransformer(std::map<std::string, Lab::SoakMutant>{
      { "stale-vm", Lab::SoakMutant::StaleVm },
      { "false-reset", Lab::SoakMutant::FalseReset },
      { "no-restart", Lab::SoakMutant::NoRestart },
      { "no-era", Lab::SoakMutant::NoEra } }));
  soak->add_option("--node-without",
                   soakOptions.mDisabledMechanisms,
                   "Mechanisms that the VMs switch off, separated by commas");
  std::vector<std::string> only;
  std::vector<std::string> without;
  auto const names = CLI::IsMember(Lab::SoakFaultNames());
  soak->add_option("--only", only, "Inject these faults only")->check(names);
  soak->add_option("--without", without, "Leave out these faults")
    ->check(names);
  try {
    app.parse(aCount, aValues);
  } catch (CLI::ParseError const& error) {
    return app.exit(error) == 0 ? 0 : kRunFailed;
  }
  for (auto const& name : only) {
    soakOptions.mFaultFilter.mOnly.insert(*Lab::ParseSoakFaultKind(name));
  }
  for (auto const& name : without) {
    soakOptions.mFaultFilter.mWithout.insert(*Lab::ParseSoakFaultKind(name));
  }
  return *soak ? Soak(std::move(soakOptions), keep)
               : Run(std::move(options), events, json);
}

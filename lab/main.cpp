#include "tarragonsill_lab_run.hpp"

#include <filesystem>
#include <iostream>

#include <CLI/CLI.hpp>
#include <unistd.h>

namespace {

using namespace tarragonsill;

constexpr int kPromiseBroken = 1;
constexpr int kTrouble = 2;

/// Makes a directory for the run's settings and logs.
std::string
MakeDirectory()
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
      return kTrouble;
    }
    aOptions.mEvents.push_back(*event);
  }
  auto const self = std::filesystem::read_symlink("/proc/self/exe");
  aOptions.mProgram = (self.parent_path() / "tarragonsill").string();
  bool const ownDirectory = aOptions.mDirectory.empty();
  if (ownDirectory) {
    aOptions.mDirectory = MakeDirectory();
  }
  auto const report = Lab::CarryOut(aOptions);
  if (ownDirectory) {
    std::error_code ignored;
    std::filesystem::remove_all(aOptions.mDirectory, ignored);
  }
  if (!report) {
    std::cerr << report.LastReason().mText << '\n';
    return kTrouble;
  }
  for (auto const& broken : report->mFlows.mBrokenFlows) {
    std::cerr << "broken by " << broken << '\n';
  }
  std::cout << (aJson ? report->ToJson() + "\n" : report->ToTable());
  return report->PromisesKept() ? 0 : kPromiseBroken;
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app("tarragonsill-lab, entry VMs between stand-ins",
               "tarragonsill-lab");
  app.require_subcommand(1);
  Lab::RunOptions options;
  std::vector<std::string> events;
  bool json = false;
  auto* run = app.add_subcommand(
    "run", "Run entry VMs; exits with 0, 1 (a promise was broken) or 2");
  run->add_option("--deployment", options.mDeployment, "reykjavik or amman");
  run->add_option("--entries", options.mEntries, "Entry VMs")
    ->check(CLI::Range(1, 40));
  run->add_option("--seconds", options.mSeconds, "Length of the run")
    ->check(CLI::Range(1, 600));
  run->add_option("--seed", options.mSeed, "Seed of every draw");
  run->add_option("--flows", options.mFlows, "Flows held")
    ->check(CLI::Range(1, 200000));
  run->add_option("--rate", options.mRate, "Calls a second");
  run->add_option("--loss", options.mLoss, "Share of packets lost");
  run->add_option("--duplicate", options.mDuplicate, "Share sent twice");
  run->add_option("--reorder", options.mReorder, "Share held back");
  run->add_option("--event", events, "NAME[:ARGUMENT]@SECOND; repeatable");
  run->add_option("--directory", options.mDirectory, "Keep settings and logs");
  run->add_option("--log-level", options.mLogLevel, "Of the entry VMs");
  run
    ->add_option(
      "--network", options.mNetwork.mNumber, "N of 127.N.0.0/16 to use")
    ->check(CLI::Range(0, 254));
  run->add_flag("--json", json, "Print one JSON object last");
  run->add_flag("--verbose", options.mVerbose, "Tell of the events");
  try {
    app.parse(aCount, aValues);
  } catch (CLI::ParseError const& error) {
    return app.exit(error) == 0 ? 0 : kTrouble;
  }
  return Run(std::move(options), events, json);
}

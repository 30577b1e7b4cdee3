#include "compare.hpp"

#include <iostream>

#include <CLI/CLI.hpp>

namespace {

using namespace tarragonsill::Compare;

void
PrintRow(std::string const& aPolicy, Outcome const& aOutcome)
{
  std::cout << "| " << aPolicy << " | " << aOutcome.mEvent << " | "
            << aOutcome.mFlows << " | " << aOutcome.mBrokenFlows << " | "
            << aOutcome.mControlBytesPerFlow << " | "
            << aOutcome.mStateBytesPerEntry << " | ";
  std::cout.precision(4);
  std::cout << aOutcome.mImbalance << " |\n";
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app("Steering against the baselines", "tarragonsill-compare");
  std::uint64_t seed = 1;
  std::uint32_t flows = 14000;
  app.add_option("--seed", seed, "Seed of all random choices");
  app.add_option("--flows", flows, "Number of flows");
  CLI11_PARSE(app, aCount, aValues);
  std::cout << "| policy | event | flows | broken | control bytes per flow | "
               "state bytes per entry VM | imbalance |\n"
               "|---|---|---|---|---|---|---|\n";
  for (auto const event : kEvents) {
    PrintRow("pure hashing", RunPureHashing(event, flows, seed));
    PrintRow("state per entry VM", RunLocalState(event, flows, seed));
    PrintRow("replicate every flow", RunReplicated(event, flows, seed));
    PrintRow("tarragonsill", RunTarragonsill(event, flows, seed));
  }
  return 0;
}

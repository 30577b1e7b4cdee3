#include "counted.hpp"

#include "support/core_group.hpp"

#include <algorithm>

namespace tarragonsill::Counted {

namespace {

using namespace tarragonsill::Test;

constexpr double kControlTarget = 3 * 1024;

/// The busiest core's bytes a second over a time.
double
BusiestRate(CoreGroup& aGroup, seconds aTime)
{
  std::vector<std::uint64_t> before;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    before.push_back(aGroup.BytesSent(core));
  }
  aGroup.Run(aTime);
  std::uint64_t maxBytes = 0;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    maxBytes = std::max(maxBytes, aGroup.BytesSent(core) - before[core]);
  }
  return static_cast<double>(maxBytes) / static_cast<double>(aTime.count());
}

/// Time until every other core holds the killed one for failed, in seconds.
double
DetectionSeconds(CoreGroup& aGroup, std::size_t aVictim)
{
  constexpr seconds kMax{ 30 };
  auto const name = aGroup.At(aVictim).mControlPlane.Members().Self().mName;
  auto const start = aGroup.Now();
  aGroup.Kill(aVictim);
  while (aGroup.Now() - start < kMax) {
    aGroup.Run(milliseconds{ 100 });
    bool everywhere = true;
    for (std::size_t core = 0; core < aGroup.Count(); ++core) {
      auto const* member = aGroup.At(core).mControlPlane.Members().Find(name);
      bool const knows =
        core == aVictim ||
        (member != nullptr && member->mHealth == MemberHealth::Failed);
      everywhere = everywhere && knows;
    }
    if (everywhere) {
      break;
    }
  }
  return std::chrono::duration<double>(aGroup.Now() - start).count();
}

std::uint64_t
FalseFailures(CoreGroup& aGroup)
{
  std::uint64_t failures = 0;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    failures += aGroup.At(core).mCounters.Value(Counter::MembersFailed);
  }
  return failures;
}

} // namespace

std::vector<Figure>
ControlFigures(unsigned aCores, unsigned aSeconds)
{
  constexpr double kLoss = 0.01;
  CoreGroup::Options options;
  options.mLoss = kLoss;
  CoreGroup group(options, MakeConfiguration({ { "a" }, 18 }));
  for (unsigned core = 0; core < aCores; ++core) {
    group.Add("a");
  }
  bool const serving = group.RunUntilServing();
  auto const size = std::to_string(aCores) + " entry VMs";
  std::vector<Figure> figures;
  figures.push_back(
    { size + " that did not come to serve", serving ? 0.0 : 1.0, 0, "groups" });
  auto const failuresBefore = FalseFailures(group);
  figures.push_back({ size + ", steady, 1 % loss",
                      BusiestRate(group, seconds{ aSeconds }),
                      kControlTarget,
                      "control bytes/s" });
  figures.push_back(
    { size + ", false failures, 1 % loss",
      static_cast<double>(FalseFailures(group) - failuresBefore),
      0,
      "failures" });
  figures.push_back({ size + ", a death is known everywhere",
                      DetectionSeconds(group, aCores / 2),
                      10,
                      "seconds" });
  group.Restart(aCores / 2);
  figures.push_back({ size + ", during a death and a join",
                      BusiestRate(group, seconds{ aSeconds }),
                      kControlTarget,
                      "control bytes/s" });
  return figures;
}

} // namespace tarragonsill::Counted

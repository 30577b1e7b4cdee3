#include "counted.hpp"

#include "support/core_group.hpp"

#include <algorithm>

namespace tarragonsill::Counted {

namespace {

using namespace tarragonsill::Test;

constexpr double kMaxControlBytesPerSecond = 3 * 1024;

/// The maximum control bytes per second that a core sends.
double
MaxSendRate(CoreGroup& aGroup, seconds aDuration)
{
  std::vector<std::uint64_t> before;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    before.push_back(aGroup.BytesSent(core));
  }
  aGroup.Run(aDuration);
  std::uint64_t maxBytes = 0;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    maxBytes = std::max(maxBytes, aGroup.BytesSent(core) - before[core]);
  }
  return static_cast<double>(maxBytes) / static_cast<double>(aDuration.count());
}

/// Seconds until every other core has detected that the killed one failed.
double
DetectionSeconds(CoreGroup& aGroup, std::size_t aKilled)
{
  constexpr seconds kTimeout{ 30 };
  auto const name = aGroup.At(aKilled).mControlPlane.Members().Self().mName;
  auto const start = aGroup.Now();
  aGroup.Kill(aKilled);
  while (aGroup.Now() - start < kTimeout) {
    aGroup.Run(milliseconds{ 100 });
    bool isDetectedEverywhere = true;
    for (std::size_t core = 0; core < aGroup.Count(); ++core) {
      auto const* member = aGroup.At(core).mControlPlane.Members().Find(name);
      bool const isDetected =
        core == aKilled ||
        (member != nullptr && member->mHealth == MemberHealth::Failed);
      isDetectedEverywhere = isDetectedEverywhere && isDetected;
    }
    if (isDetectedEverywhere) {
      break;
    }
  }
  return std::chrono::duration<double>(aGroup.Now() - start).count();
}

std::uint64_t
FailureReports(CoreGroup& aGroup)
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
  figures.push_back({ size + " that did not start to serve",
                      serving ? 0.0 : 1.0,
                      0,
                      "groups" });
  auto const failuresBefore = FailureReports(group);
  figures.push_back({ size + ", steady, 1 % loss",
                      MaxSendRate(group, seconds{ aSeconds }),
                      kMaxControlBytesPerSecond,
                      "control bytes/s" });
  figures.push_back(
    { size + ", false failures, 1 % loss",
      static_cast<double>(FailureReports(group) - failuresBefore),
      0,
      "failures" });
  figures.push_back({ size + ", a death is known everywhere",
                      DetectionSeconds(group, aCores / 2),
                      10,
                      "seconds" });
  group.Restart(aCores / 2);
  figures.push_back({ size + ", during a death and a join",
                      MaxSendRate(group, seconds{ aSeconds }),
                      kMaxControlBytesPerSecond,
                      "control bytes/s" });
  return figures;
}

} // namespace tarragonsill::Counted

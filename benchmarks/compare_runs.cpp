#include "compare.hpp"

#include "support/packet_path.hpp"
#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>

namespace tarragonsill::Compare {

namespace {

using namespace tarragonsill::Test;

constexpr unsigned kEntries = 6;
constexpr unsigned kUpstreams = 14;
constexpr std::size_t kKilled = 2;
constexpr std::size_t kDrained = 5;
/// What a replica of one flow takes on the wire and in memory, in bytes.
constexpr double kReplicaBytes = 24;
constexpr double kEntryBytes = 16;

char const*
NameOf(Event aEvent)
{
  switch (aEvent) {
    case Event::None:
      return "none";
    case Event::KillEntry:
      return "kill an entry VM";
    case Event::DrainUpstream:
      return "drain an upstream";
    case Event::AddUpstream:
      return "add an upstream";
    case Event::KillDuringDrain:
      return "kill during a drain";
  }
  return "";
}

bool
Kills(Event aEvent)
{
  return aEvent == Event::KillEntry || aEvent == Event::KillDuringDrain;
}

bool
Drains(Event aEvent)
{
  return aEvent == Event::DrainUpstream || aEvent == Event::KillDuringDrain;
}

Configuration
MakeShape(Event aEvent, bool aAfter, std::uint64_t aVersion)
{
  ServiceOptions shape;
  shape.mZones = { "a", "b", "c" };
  shape.mUpstreams =
    kUpstreams + (aAfter && aEvent == Event::AddUpstream ? 1 : 0);
  shape.mLimit = { 2000, 4 };
  shape.mColdLimit = shape.mLimit;
  auto configuration = MakeConfiguration(shape, aVersion);
  if (aAfter && Drains(aEvent)) {
    configuration.mServices.front().mUpstreams[kDrained].mState =
      UpstreamAdminState::Draining;
  }
  return configuration;
}

/// How the baselines choose: rendezvous hashing over the serving upstreams,
/// which moves as few flows as any hashing can when the list changes.
class ServingChoice
{
public:
  explicit ServingChoice(Configuration const& aConfiguration)
  {
    for (auto const& upstream : aConfiguration.mServices.front().mUpstreams) {
      if (upstream.mState != UpstreamAdminState::Serving) {
        continue;
      }
      mOrder.push_back(upstream.mAddress);
      mKeys.push_back(PlacementKey(upstream.mAddress));
    }
  }

  Endpoint Pick(std::uint32_t aFlow) const
  {
    return mOrder[RankCandidates(Scramble(aFlow), mKeys, 1).front()];
  }

private:
  std::vector<Endpoint> mOrder;
  std::vector<std::uint64_t> mKeys;
};

double
ImbalanceOf(std::map<std::uint32_t, Endpoint> const& aFlows)
{
  std::map<Endpoint, double> counts;
  for (auto const& [flow, upstream] : aFlows) {
    ++counts[upstream];
  }
  double maxFlows = 0;
  for (auto const& [upstream, count] : counts) {
    maxFlows = std::max(maxFlows, count);
  }
  return maxFlows * kUpstreams / static_cast<double>(aFlows.size());
}

/// A baseline: hashing, with flow state at the entry VMs given by a policy.
template<typename Remembers>
Outcome
RunBaseline(Event aEvent,
            std::uint32_t aFlows,
            std::uint64_t aSeed,
            Remembers aRemembers)
{
  std::mt19937_64 random(aSeed);
  ServingChoice const before(MakeShape(aEvent, false, 1));
  std::map<std::uint32_t, Endpoint> flows;
  std::map<std::uint32_t, std::size_t> openedAt;
  for (std::uint32_t flow = 0; flow < aFlows; ++flow) {
    flows[flow] = before.Pick(flow);
    openedAt[flow] = random() % kEntries;
  }
  ServingChoice const after(MakeShape(aEvent, true, 2));
  Outcome outcome;
  outcome.mEvent = NameOf(aEvent);
  outcome.mFlows = aFlows;
  outcome.mImbalance = ImbalanceOf(flows);
  for (auto const& [flow, upstream] : flows) {
    auto entry = random() % kEntries;
    while (Kills(aEvent) && entry == kKilled) {
      entry = random() % kEntries;
    }
    auto const chosen =
      aRemembers(entry, openedAt[flow]) ? upstream : after.Pick(flow);
    outcome.mBroken += chosen == upstream ? 0 : 1;
  }
  return outcome;
}

} // namespace

Outcome
RunPureHashing(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  return RunBaseline(
    aEvent, aFlows, aSeed, [](std::size_t, std::size_t) { return false; });
}

Outcome
RunLocalState(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  auto outcome = RunBaseline(
    aEvent, aFlows, aSeed, [](std::size_t aEntry, std::size_t aOpenedAt) {
      return aEntry == aOpenedAt;
    });
  outcome.mStateBytesPerNode = kEntryBytes * aFlows / kEntries;
  return outcome;
}

Outcome
RunReplicated(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  auto outcome = RunBaseline(
    aEvent, aFlows, aSeed, [](std::size_t, std::size_t) { return true; });
  outcome.mStateBytesPerNode = kEntryBytes * aFlows;
  outcome.mControlBytesPerFlow = kReplicaBytes * (kEntries - 1);
  return outcome;
}

Outcome
RunOurs(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  CoreGroup::Options options;
  options.mSeed = aSeed;
  CoreGroup group(options, MakeShape(aEvent, false, 1));
  for (unsigned entry = 0; entry < kEntries; ++entry) {
    group.Add(std::string(1, static_cast<char>('a' + entry % 3)));
  }
  group.RunUntilServing();
  group.Run(seconds{ 2 });
  std::mt19937_64 random(aSeed);
  std::map<std::uint32_t, Endpoint> flows;
  std::uint64_t exceptionBytes = 0;
  for (std::uint32_t flow = 0; flow < aFlows; ++flow) {
    if (auto const upstream = OpenFlow(group, random() % kEntries, flow)) {
      flows[flow] = *upstream;
    }
    if (flow % 100 == 0) {
      group.Run(milliseconds{ 100 });
    }
  }
  Outcome outcome;
  outcome.mEvent = NameOf(aEvent);
  outcome.mFlows = flows.size();
  outcome.mImbalance = ImbalanceOf(flows);
  for (std::size_t entry = 0; entry < group.Count(); ++entry) {
    exceptionBytes += group.At(entry).mEngine.ExceptionCount() * 8;
    outcome.mStateBytesPerNode =
      std::max(outcome.mStateBytesPerNode,
               static_cast<double>(group.At(entry).mEngine.MemoryBytes()));
  }
  outcome.mControlBytesPerFlow =
    static_cast<double>(exceptionBytes) / static_cast<double>(flows.size());
  if (Drains(aEvent) || aEvent == Event::AddUpstream) {
    auto const next =
      MakeSuccessor(MakeShape(aEvent, true, 2),
                    &*group.At(0).mControlPlane.CurrentConfiguration());
    auto configuration = *next;
    configuration.mVersion = 2;
    group.ApplyConfiguration(configuration);
  }
  if (Kills(aEvent)) {
    group.Kill(kKilled);
  }
  group.Run(seconds{ 6 });
  for (auto const& [flow, upstream] : flows) {
    auto entry = random() % kEntries;
    while (!group.IsRunning(entry)) {
      entry = random() % kEntries;
    }
    auto const result =
      FollowPacket(group, entry, CallerPacket(flow, TcpFlags::kAck));
    bool const right = result.mDelivered && result.mDestination == upstream;
    outcome.mBroken += right ? 0 : 1;
  }
  return outcome;
}

} // namespace tarragonsill::Compare
